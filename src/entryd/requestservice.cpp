#include "requestservice.h"

#include "requestmetrics.h"
#include "requestparser.h"
#include "slotbroker.h"
#include "slotexchange.h"
#include "upstreamclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace galenaturn::entryd {

namespace asio = boost::asio;
using route::attempt_outcome;
using route::refusal_reason;

namespace {

/** Maximum number of attempts of a request, the first one included. */
constexpr std::size_t max_attempts = 3;

broker_settings make_broker_settings(const process_settings& settings)
{
    const auto entries =
        std::count_if(settings.members.begin(), settings.members.end(),
                      [](const auto& member) { return member.role == process_role::entry; });
    return {settings.self.id, settings.self.domain,
            std::max<std::size_t>(static_cast<std::size_t>(entries), 1)};
}

std::int64_t whole_seconds(duration span)
{
    return std::chrono::ceil<std::chrono::seconds>(span).count();
}

} // namespace

/** The request path of one entry. Its coroutines hold it by shared pointer. */
struct request_service::pipeline : std::enable_shared_from_this<pipeline> {
    pipeline(daemon::context& context, key_ledger shared_ledger)
        : shared{context}, ledger{std::move(shared_ledger)}, metrics{context.metrics},
          upstreams{context.io, context.settings.body_limit, metrics},
          broker{context.io, make_broker_settings(context.settings), metrics},
          exchange{std::make_shared<slot_exchange>(context, broker, metrics)},
          id_prefix{context.settings.self.id.value() + "-" +
                    std::to_string(wall_now().time_since_epoch().count()) + "-"}
    {
    }

    daemon::context& shared;
    key_ledger ledger;
    request_metrics metrics;
    upstream_client upstreams;
    slot_broker broker;
    std::shared_ptr<slot_exchange> exchange;
    std::string id_prefix;
    std::uint64_t last_id{0};
    /** Keyed requests whose completion is not recorded in the ledger yet. */
    std::size_t pending_completions{0};
    std::shared_ptr<const catalogue> entries;
    std::map<owner_id, route::retry_budget> owner_budgets;
    std::map<service_id, route::retry_budget> service_budgets;

    /** State of one request. Owned by the coroutine that serves it. */
    struct progress {
        explicit progress(asio::io_context& io) : waiter{io} {}

        std::string id;
        parsed_request request;
        http::request message;
        slot_waiter waiter;
        exchange_control exchange;
        std::vector<upstream_id> tried;
        /** Whether an upstream may have started to run the request. */
        bool may_have_run{false};
        /** Set while the key is reserved under this id. */
        std::optional<request_id> reservation;
        bool caller_gone{false};
    };

    /** Result of the last attempt, and the upstream to which it was sent. */
    struct attempts_result {
        attempt_result last;
        upstream_id upstream;
    };

    http::response refuse(refusal_reason reason, const std::string& id, bool may_have_run,
                          duration retry_after)
    {
        metrics.count_refusal(reason);
        const auto& details = route::describe(reason);
        http::problem problem;
        problem.code = static_cast<http::status>(details.http_status);
        problem.reason = details.name;
        problem.detail = details.text;
        problem.not_run = details.not_run && !may_have_run;
        if (details.retryable)
            problem.retry_after_seconds = std::max<std::int64_t>(1, whole_seconds(retry_after));
        auto response = http::make_problem(problem);
        response.set(request_id_header, id);
        return response;
    }

    static asio::awaitable<http::response> handle(std::shared_ptr<pipeline> self,
                                                  http::call& incoming)
    {
        self->metrics.requests.add();
        progress work{self->shared.io};
        work.id = self->id_prefix + std::to_string(++self->last_id);
        if (!self->shared.accepting)
            co_return self->refuse(refusal_reason::leaving, work.id, false, {});
        if (!self->entries)
            co_return self->refuse(refusal_reason::no_catalogue, work.id, false, {});
        auto parsed = parse_request(incoming, *self->entries);
        if (parsed.refused)
            co_return self->refuse(*parsed.refused, work.id, false, {});
        work.request = std::move(parsed.request);
        work.message = make_upstream_request(incoming.message, work.request, work.id);
        incoming.on_abandoned = [self = self.get(), &work] { self->abandon(work); };
        auto digest = work.request.key ? digest_of(incoming.message, work.request) : std::string{};
        auto response = co_await self->serve(work, std::move(digest));
        self->metrics.latency.record(monotonic_now() - work.request.arrived);
        co_return response;
    }

    asio::awaitable<http::response> serve(progress& work, std::string digest)
    {
        if (work.request.key) {
            if (auto early =
                    broker.check(work.request.owner, work.request.service, work.request.deadline))
                co_return refuse(early->reason, work.id, false, early->retry_after);
            const auto reserved = co_await reserve_key(ledger, work.request, std::move(digest),
                                                       shared.settings.self.id);
            if (reserved.decision.action == route::reservation_action::replay)
                co_return replay(work, reserved.recorded);
            if (reserved.decision.release)
                release_key(work, reserved.id);
            if (reserved.decision.action == route::reservation_action::refuse)
                co_return refuse(reserved.decision.refused, work.id, false, {});
            work.reservation = reserved.id;
        }
        co_return co_await serve_admitted(work);
    }

    asio::awaitable<http::response> serve_admitted(progress& work)
    {
        co_await broker.acquire(work.waiter, work.request.owner, work.request.service,
                                work.request.deadline);
        if (work.waiter.refused) {
            if (work.reservation)
                release_key(work, *work.reservation);
            co_return refuse(*work.waiter.refused, work.id, false, work.waiter.retry_after);
        }
        const auto result = co_await attempt(work);
        const auto outcome = result.last.outcome;
        const bool complete_response = outcome == attempt_outcome::answered;
        broker.finish(work.waiter,
                      complete_response ? std::optional{result.last.took} : std::nullopt);
        if (work.reservation)
            complete(work, result.last);
        if (!complete_response && outcome != attempt_outcome::server_error)
            co_return refuse(route::refusal_of(outcome), work.id, work.may_have_run, {});
        co_return make_response(work, result);
    }

    http::response replay(const progress& work, const wire::recorded_response& recorded)
    {
        metrics.replayed.add();
        auto response = http::make_response(static_cast<http::status>(recorded.status),
                                            recorded.body, recorded.content_type);
        response.set(request_id_header, work.id);
        response.set(replayed_header, "true");
        return response;
    }

    void complete(const progress& work, const attempt_result& last)
    {
        const auto completion = route::decide_completion(last.outcome, work.may_have_run);
        if (completion == route::key_completion::release)
            release_key(work, *work.reservation);
        if (completion != route::key_completion::record)
            return;
        const std::string media_type{last.response[http::field::content_type]};
        spawn_completion(make_completion(
            work.request, *work.reservation,
            wire::recorded_response{last.response.result_int(), media_type, last.response.body()}));
    }

    void release_key(const progress& work, const request_id& reservation)
    {
        spawn_completion(make_completion(work.request, reservation, std::nullopt));
    }

    void spawn_completion(wire::complete_key body)
    {
        asio::co_spawn(shared.io, run_completion(shared_from_this(), std::move(body)),
                       asio::detached);
    }

    static asio::awaitable<void> run_completion(std::shared_ptr<pipeline> self,
                                                wire::complete_key body)
    {
        ++self->pending_completions;
        co_await complete_key(self->ledger, std::move(body));
        --self->pending_completions;
    }

    http::response make_response(const progress& work, const attempts_result& result)
    {
        metrics.answered.add();
        metrics.upstream_time.record(result.last.took);
        http::response response = result.last.response;
        remove_hop_headers(response);
        response.set(request_id_header, work.id);
        response.set(upstream_header, result.upstream.value());
        response.keep_alive(true);
        return response;
    }

    /** Sends the request; retries at other upstreams while that is safe and allowed. */
    asio::awaitable<attempts_result> attempt(progress& work)
    {
        auto grant = *work.waiter.grant;
        for (;;) {
            GN_INVARIANT(work.request.idempotent || !work.may_have_run, {"request", work.id},
                         {"upstream", grant.target.id});
            attempts_result result;
            result.upstream = grant.target.id;
            const auto deadline = std::min(work.request.deadline, grant.usable_until);
            result.last = co_await upstreams.exchange(grant.target, work.message, work.id, deadline,
                                                      !work.request.idempotent, &work.exchange);
            if (work.caller_gone)
                result.last.outcome = attempt_outcome::cancelled;
            const auto outcome = result.last.outcome;
            work.tried.push_back(grant.target.id);
            work.may_have_run |= !route::certainly_not_run(outcome);
            release_slot(grant, outcome, result.last.took);
            if (outcome == attempt_outcome::answered) {
                route::earn_retry(owner_budgets[work.request.owner]);
                route::earn_retry(service_budgets[work.request.service]);
                co_return result;
            }
            auto next = co_await plan_retry(work, outcome);
            if (!next)
                co_return result;
            grant = *next;
        }
    }

    void release_slot(const slot_grant& grant, attempt_outcome outcome, duration took)
    {
        if (grant.borrowed())
            exchange->return_slot(grant, outcome, took);
        else
            broker.release_slot(grant, outcome, took);
    }

    /** Returns why a retry that would be safe is denied, or nothing if it is allowed. */
    std::optional<route::retry_denial> retry_denial_of(const progress& work)
    {
        if (work.tried.size() >= max_attempts)
            return route::retry_denial::attempts;
        if (monotonic_now() >= work.request.deadline)
            return route::retry_denial::deadline;
        if (!route::can_spend_retry(service_budgets[work.request.service],
                                    owner_budgets[work.request.owner]))
            return route::retry_denial::budget;
        return {};
    }

    /** Returns a slot for another attempt, or nothing if there is no further attempt. */
    asio::awaitable<std::optional<slot_grant>> plan_retry(progress& work, attempt_outcome outcome)
    {
        const auto reason = route::safe_retry(outcome, work.request.idempotent);
        if (!reason)
            co_return std::nullopt;
        auto denial = retry_denial_of(work);
        std::optional<slot_grant> grant;
        if (!denial) {
            // Spent before any wait, so that concurrent failures can't spend the same retry.
            route::spend_retry(service_budgets[work.request.service],
                               owner_budgets[work.request.owner]);
            grant = broker.acquire_other(work.waiter.service, work.tried);
            if (!grant)
                grant = co_await exchange->borrow(work.request.service, work.tried);
            if (!grant) {
                route::refund_retry(service_budgets[work.request.service],
                                    owner_budgets[work.request.owner]);
                denial = route::retry_denial::no_other_upstream;
            }
        }
        if (denial) {
            metrics.count_retry_denial(*denial);
            co_return std::nullopt;
        }
        metrics.count_retry(*reason);
        co_return grant;
    }

    /** Cancels a request whose caller has closed the connection. */
    void abandon(progress& work)
    {
        // A keyed request continues, since the caller may resend it to get the recorded outcome.
        if (work.reservation || work.caller_gone)
            return;
        work.caller_gone = true;
        broker.cancel(work.waiter);
        if (work.exchange.cancel)
            work.exchange.cancel();
    }
};

request_service::request_service(daemon::context& shared, entry_hub& hub)
    : request_service{shared, hub, key_ledger_of(shared)}
{
}

request_service::request_service(daemon::context& shared, entry_hub& hub, key_ledger ledger)
    : pipeline_{std::make_shared<pipeline>(shared, std::move(ledger))}
{
    shared.routes.add(
        http::verb::unknown, "/v1/services/{service}/{path...}",
        [self = pipeline_](http::call& incoming) { return pipeline::handle(self, incoming); });
    shared.work_in_progress.emplace_back(
        [self = pipeline_] { return self->broker.admitted_count() + self->pending_completions; });
    hub.catalogue_changed.emplace_back([self = pipeline_](const catalogue_in_force& in_force) {
        self->entries = std::make_shared<const catalogue>(in_force.entries);
        self->broker.set_catalogue(in_force.entries);
    });
    hub.upstream_announced.emplace_back(
        [self = pipeline_](const wire::upstream_announcement& announcement,
                           time_point /*last_seen*/) {
            self->broker.on_announcement(announcement);
            if (announcement.leaving)
                self->upstreams.close_idle(announcement.id);
        });
    pipeline_->exchange->start();
    hub.upstream_expired.emplace_back([self = pipeline_](const upstream_id& id) {
        self->broker.expire(id);
        self->upstreams.close_idle(id);
    });
    hub.entries_changed.emplace_back([self = pipeline_](const std::vector<live_entry>& entries) {
        self->broker.set_entries(entries);
    });
}

result<void> request_service::start()
{
    return success();
}

} // namespace galenaturn::entryd
