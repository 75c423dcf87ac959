#include "slotexchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** An entry that does not reply in this time is skipped. */
constexpr duration request_timeout = std::chrono::milliseconds{100};
/** Pause after a round in which no entry lent a slot. */
constexpr duration search_pause = std::chrono::milliseconds{5};
constexpr std::size_t max_searches = 16;
/** Lets a loan expire later at the lender than at the borrower, even if clock rates differ. */
constexpr duration lender_margin = std::chrono::milliseconds{200};
constexpr duration max_loan_duration = std::chrono::minutes{10};
constexpr duration expiry_interval = std::chrono::milliseconds{200};

} // namespace

slot_exchange::slot_exchange(daemon::context& shared, slot_broker& broker, request_metrics& metrics)
    : shared_{shared}, broker_{broker}, metrics_{metrics},
      // Loan numbers start at the wall time, so that a slot return that is meant for an earlier
      // incarnation of this process does not match a new loan.
      last_loan_{static_cast<std::uint64_t>(wall_now().time_since_epoch().count()) << 20U},
      expiry_timer_{shared.io}
{
    const auto& self = shared.settings.self;
    for (const auto& member : shared.settings.members) {
        if (member.role != process_role::entry || member.id == self.id)
            continue;
        const bool in_own_domain = member.domain == self.domain;
        lenders_.insert(in_own_domain ? lenders_.begin() : lenders_.end(), member.id);
        own_domain_lenders_ += in_own_domain ? 1 : 0;
    }
}

void slot_exchange::start()
{
    shared_.frames.on(wire::frame_kind::slot_request,
                      [self = shared_from_this()](const wire::hello& /*from*/, wire::frame received,
                                                  wire::reply_function reply) {
                          const auto request = wire::decode<slot_request>(received.payload);
                          if (request)
                              reply(wire::encode(self->lend(request.value())));
                      });
    shared_.frames.on(wire::frame_kind::slot_return,
                      [self = shared_from_this()](const wire::hello& /*from*/, wire::frame received,
                                                  const wire::reply_function& /*reply*/) {
                          const auto returned = wire::decode<slot_return>(received.payload);
                          if (returned)
                              self->on_slot_return(returned.value());
                      });
    const auto weak = weak_from_this();
    broker_.set_shortage_handler([weak](std::uint32_t service) {
        if (const auto self = weak.lock())
            self->search(service);
    });
    broker_.set_borrow_check([weak] {
        const auto self = weak.lock();
        return self && self->can_borrow();
    });
}

slot_response slot_exchange::lend(const slot_request& request)
{
    slot_response response;
    response.has_upstreams = broker_.has_upstreams(request.service);
    const auto grant = shared_.accepting ? broker_.lend(request.service, request.excluded)
                                         : std::optional<slot_grant>{};
    if (!grant) {
        metrics_.loans_denied.add();
        return response;
    }
    metrics_.loans_granted.add();
    const auto& upstream = broker_.table().records[grant->index];
    response.granted = true;
    response.loan = ++last_loan_;
    response.upstream = upstream.id;
    response.incarnation_number = upstream.incarnation_number;
    response.address = upstream.address;
    response.slots = upstream.slots;
    response.connections = upstream.connections;
    const auto span = std::clamp(request.span, duration::zero(), max_loan_duration);
    loans_.emplace(response.loan, loan{*grant, monotonic_now() + span + lender_margin});
    schedule_expiry_check();
    return response;
}

void slot_exchange::on_slot_return(const slot_return& returned)
{
    const auto found = loans_.find(returned.loan);
    if (found == loans_.end())
        return;
    const auto grant = found->second.grant;
    loans_.erase(found);
    auto outcome = returned.failed ? route::attempt_outcome::connection_lost
                                   : route::attempt_outcome::answered;
    if (!returned.counts_for_health)
        outcome = route::attempt_outcome::cancelled;
    broker_.release_slot(grant, outcome, returned.took);
}

void slot_exchange::schedule_expiry_check()
{
    if (expiry_check_scheduled_ || loans_.empty())
        return;
    expiry_check_scheduled_ = true;
    expiry_timer_.expires_after(expiry_interval);
    expiry_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->expiry_check_scheduled_ = false;
        self->expire_loans();
        self->schedule_expiry_check();
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
        broker_.release_slot(grant, route::attempt_outcome::cancelled, {});
    }
}

bool slot_exchange::can_borrow()
{
    return std::any_of(lenders_.begin(), lenders_.end(), [this](const process_id& lender) {
        auto* link = shared_.peers.find(lender);
        return link != nullptr && link->connected();
    });
}

asio::awaitable<std::optional<slot_grant>> slot_exchange::request_slot(wire::peer_link& link,
                                                                       const process_id& lender,
                                                                       const slot_request& request,
                                                                       bool& has_upstreams)
{
    const auto sent = monotonic_now();
    auto payload = wire::encode(request);
    const auto reply = co_await link.call(wire::frame_kind::slot_request, std::move(payload),
                                          sent + request_timeout);
    if (!reply)
        co_return std::nullopt;
    const auto response = wire::decode<slot_response>(reply.value());
    if (!response)
        co_return std::nullopt;
    has_upstreams |= response.value().has_upstreams;
    if (!response.value().granted)
        co_return std::nullopt;
    metrics_.loans_taken.add();
    slot_grant grant;
    grant.target = {
        response.value().upstream, response.value().incarnation_number, response.value().address,
        broker_.max_idle_connections(response.value().slots, response.value().connections)};
    grant.lender = lender;
    grant.loan = response.value().loan;
    grant.usable_until = sent + request.span;
    co_return grant;
}

asio::awaitable<std::optional<slot_grant>> slot_exchange::borrow(service_id service,
                                                                 std::vector<upstream_id> tried)
{
    const slot_request request{service, std::move(tried), broker_.max_request_duration(service)};
    bool has_upstreams = false;
    // The first entry asked rotates, in the own failure domain and then among the others.
    const auto first = ++next_lender_;
    const auto other_lenders = lenders_.size() - own_domain_lenders_;
    for (std::size_t step = 0; step < lenders_.size(); ++step) {
        const bool in_own_domain = step < own_domain_lenders_;
        const auto index = in_own_domain ? (first + step) % own_domain_lenders_
                                         : own_domain_lenders_ + (first + step) % other_lenders;
        auto* link = shared_.peers.find(lenders_[index]);
        if (link == nullptr || !link->connected())
            continue;
        const auto lender = lenders_[index];
        auto grant = co_await request_slot(*link, lender, request, has_upstreams);
        if (grant)
            co_return grant;
    }
    if (!has_upstreams)
        broker_.refuse_waiting(service);
    co_return std::nullopt;
}

void slot_exchange::search(std::uint32_t service)
{
    auto& running = searches_[service];
    const auto target_count = std::min(max_searches, broker_.waiting(service));
    while (running < target_count && can_borrow()) {
        ++running;
        asio::co_spawn(shared_.io,
                       search_loop(shared_from_this(), service, broker_.service_name(service)),
                       asio::detached);
    }
}

asio::awaitable<void> slot_exchange::search_loop(std::shared_ptr<slot_exchange> self,
                                                 std::uint32_t service, service_id id)
{
    wire::boot_timer pause{self->shared_.io};
    while (self->broker_.waiting(service) > 0) {
        auto grant = co_await self->borrow(id, {});
        if (grant && !self->broker_.assign_borrowed_slot(service, *grant))
            self->return_slot(*grant, route::attempt_outcome::cancelled, {});
        if (grant)
            continue;
        pause.expires_after(search_pause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --self->searches_[service];
}

void slot_exchange::return_slot(const slot_grant& grant, route::attempt_outcome outcome,
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
