#include "slotexchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** A neighbour that does not answer in this time is passed over. */
constexpr duration ask_limit = std::chrono::milliseconds{100};
/** Pause after a round in which no entry had a slot. */
constexpr duration search_pause = std::chrono::milliseconds{5};
constexpr std::size_t most_searches = 16;
/** Keeps a lender's count of a loan longer than the borrower's, whatever their clock rates. */
constexpr duration loan_margin = std::chrono::milliseconds{200};
constexpr duration longest_loan = std::chrono::minutes{10};
constexpr duration expiry_interval = std::chrono::milliseconds{200};

} // namespace

slot_exchange::slot_exchange(daemon::context& shared, slot_broker& broker, request_metrics& metrics)
    : shared_{shared}, broker_{broker}, metrics_{metrics},
      // A restarted lender must not take a return of its earlier life for one of its own loans.
      last_loan_{static_cast<std::uint64_t>(wall_now().time_since_epoch().count()) << 20U},
      expiry_timer_{shared.io}
{
    const auto& self = shared.settings.self;
    for (const auto& member : shared.settings.members) {
        if (member.role != process_role::entry || member.id == self.id)
            continue;
        const bool near = member.domain == self.domain;
        lenders_.insert(near ? lenders_.begin() : lenders_.end(), member.id);
        own_domain_lenders_ += near ? 1 : 0;
    }
}

void slot_exchange::start()
{
    shared_.frames.on(wire::frame_kind::slot_request,
                      [self = shared_from_this()](const wire::hello& /*from*/, wire::frame received,
                                                  wire::reply_function reply) {
                          const auto wanted = wire::decode<slot_request>(received.payload);
                          if (wanted)
                              reply(wire::encode(self->lend(wanted.value())));
                      });
    shared_.frames.on(wire::frame_kind::slot_return,
                      [self = shared_from_this()](const wire::hello& /*from*/, wire::frame received,
                                                  const wire::reply_function& /*reply*/) {
                          const auto returned = wire::decode<slot_return>(received.payload);
                          if (returned)
                              self->take_back(returned.value());
                      });
    const auto weak = weak_from_this();
    broker_.on_shortage([weak](std::uint32_t service) {
        if (const auto self = weak.lock())
            self->search(service);
    });
    broker_.ask_before_giving_up([weak] {
        const auto self = weak.lock();
        return self && self->can_borrow();
    });
}

slot_answer slot_exchange::lend(const slot_request& wanted)
{
    slot_answer answer;
    answer.has_upstreams = broker_.has_upstreams(wanted.service);
    const auto grant = shared_.accepting ? broker_.lend(wanted.service, wanted.excluded)
                                         : std::optional<slot_grant>{};
    if (!grant) {
        metrics_.loans_denied.add();
        return answer;
    }
    metrics_.loans_granted.add();
    const auto& upstream = broker_.table().records[grant->place];
    answer.granted = true;
    answer.loan = ++last_loan_;
    answer.upstream = upstream.id;
    answer.life = upstream.life;
    answer.address = upstream.address;
    answer.slots = upstream.slots;
    answer.connections = upstream.connections;
    const auto span = std::clamp(wanted.span, duration::zero(), longest_loan);
    loans_.emplace(answer.loan, loan{*grant, monotonic_now() + span + loan_margin});
    watch_expiry();
    return answer;
}

void slot_exchange::take_back(const slot_return& returned)
{
    const auto found = loans_.find(returned.loan);
    if (found == loans_.end())
        return;
    const auto grant = found->second.grant;
    loans_.erase(found);
    auto outcome = returned.failed ? route::attempt_outcome::connection_lost
                                   : route::attempt_outcome::answered;
    if (!returned.counts)
        outcome = route::attempt_outcome::cancelled;
    broker_.settle(grant, outcome, returned.took);
}

void slot_exchange::watch_expiry()
{
    if (watching_ || loans_.empty())
        return;
    watching_ = true;
    expiry_timer_.expires_after(expiry_interval);
    expiry_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->watching_ = false;
        self->expire_loans();
        self->watch_expiry();
    });
}

void slot_exchange::expire_loans()
{
    const auto now = monotonic_now();
    for (auto item = loans_.begin(); item != loans_.end();) {
        if (item->second.expires > now) {
            ++item;
            continue;
        }
        const auto grant = item->second.grant;
        item = loans_.erase(item);
        metrics_.loans_expired.add();
        broker_.settle(grant, route::attempt_outcome::cancelled, {});
    }
}

bool slot_exchange::can_borrow()
{
    return std::any_of(lenders_.begin(), lenders_.end(), [this](const process_id& lender) {
        auto* link = shared_.peers.find(lender);
        return link != nullptr && link->connected();
    });
}

asio::awaitable<std::optional<slot_grant>> slot_exchange::ask(wire::peer_link& link,
                                                              const process_id& lender,
                                                              const slot_request& wanted,
                                                              bool& has_upstreams)
{
    const auto sent = monotonic_now();
    auto payload = wire::encode(wanted);
    const auto reply =
        co_await link.call(wire::frame_kind::slot_request, std::move(payload), sent + ask_limit);
    if (!reply)
        co_return std::nullopt;
    const auto answer = wire::decode<slot_answer>(reply.value());
    if (!answer)
        co_return std::nullopt;
    has_upstreams |= answer.value().has_upstreams;
    if (!answer.value().granted)
        co_return std::nullopt;
    metrics_.loans_taken.add();
    slot_grant grant;
    grant.target = {answer.value().upstream, answer.value().life, answer.value().address,
                    broker_.idle_limit(answer.value().slots, answer.value().connections)};
    grant.lender = lender;
    grant.loan = answer.value().loan;
    grant.until = sent + wanted.span;
    co_return grant;
}

asio::awaitable<std::optional<slot_grant>> slot_exchange::borrow(service_id service,
                                                                 std::vector<upstream_id> tried)
{
    const slot_request wanted{service, std::move(tried), broker_.longest_request(service)};
    bool has_upstreams = false;
    // Neighbours take turns in being asked first, the own failure domain before the others.
    const auto first = ++next_lender_;
    const auto far = lenders_.size() - own_domain_lenders_;
    for (std::size_t step = 0; step < lenders_.size(); ++step) {
        const bool near = step < own_domain_lenders_;
        const auto index = near ? (first + step) % own_domain_lenders_
                                : own_domain_lenders_ + (first + step) % far;
        auto* link = shared_.peers.find(lenders_[index]);
        if (link == nullptr || !link->connected())
            continue;
        const auto lender = lenders_[index];
        auto grant = co_await ask(*link, lender, wanted, has_upstreams);
        if (grant)
            co_return grant;
    }
    if (!has_upstreams)
        broker_.give_up(service);
    co_return std::nullopt;
}

void slot_exchange::search(std::uint32_t service)
{
    auto& running = searches_[service];
    const auto wanted = std::min(most_searches, broker_.waiting(service));
    while (running < wanted && can_borrow()) {
        ++running;
        asio::co_spawn(shared_.io,
                       search_loop(shared_from_this(), service, broker_.service_name(service)),
                       asio::detached);
    }
}

asio::awaitable<void> slot_exchange::search_loop(std::shared_ptr<slot_exchange> self,
                                                 std::uint32_t service, service_id id)
{
    asio::steady_timer pause{self->shared_.io};
    while (self->broker_.waiting(service) > 0) {
        auto grant = co_await self->borrow(id, {});
        if (grant && !self->broker_.offer(service, *grant))
            self->give_back(*grant, route::attempt_outcome::cancelled, {});
        if (grant)
            continue;
        pause.expires_after(search_pause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --self->searches_[service];
}

void slot_exchange::give_back(const slot_grant& grant, route::attempt_outcome outcome,
                              duration took)
{
    auto* link = shared_.peers.find(grant.lender);
    if (link == nullptr)
        return;
    const slot_return returned{grant.loan, route::counts_as_failure(outcome),
                               outcome != route::attempt_outcome::cancelled, took};
    link->send(wire::frame_kind::slot_return, wire::encode(returned));
}

} // namespace galenaturn::entryd
