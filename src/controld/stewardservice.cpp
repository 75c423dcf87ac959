#include "stewardservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iostream>
#include <set>
#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds heartbeat_interval{500};
constexpr std::chrono::seconds heartbeat_timeout{2};
/**
 * Maximum time that the response to a worker's heartbeat is deferred while there are no commands.
 */
constexpr std::chrono::milliseconds max_response_delay{1800};
constexpr std::size_t max_reports_per_command = 1000;
constexpr std::chrono::seconds report_timeout{2};
constexpr std::chrono::milliseconds report_retry_delay{200};
/**
 * Interval of full comparisons with the ledger's state, which an installed snapshot changes without
 * naming the changed tasks.
 */
constexpr std::chrono::seconds resync_interval{10};

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

void register_counters(counter_mirror& mirror, const schedule::steward_counters& counters)
{
    using namespace schedule;
    mirror.add_reasons<eviction_reason>("galenaturn_evictions_total", counters.evictions);
    mirror.add_reasons<park_reason>("galenaturn_tasks_parked_total", counters.parked);
    mirror.add("galenaturn_placements_total", {}, counters.placements);
    mirror.add("galenaturn_placements_refused_total", {}, counters.placements_refused);
    mirror.add("galenaturn_worker_leases_lapsed_total", {}, counters.leases_expired);
    mirror.add("galenaturn_worker_reports_stale_total", {}, counters.stale_reports);
    mirror.add("galenaturn_throttles_total", {}, counters.throttles);
    mirror.add("galenaturn_workers_held_total", {}, counters.workers_reserved);
    mirror.add("galenaturn_worker_quarantines_total", {}, counters.quarantines);
    mirror.add("galenaturn_worker_quarantines_capped_total", {}, counters.quarantines_over_cap);
    mirror.add("galenaturn_tasks_released_total", {}, counters.tasks_released);
    mirror.add("galenaturn_tasks_out_of_memory_total", {}, counters.out_of_memory);
    mirror.add("galenaturn_task_failures_total", {}, counters.task_failures);
}

} // namespace

steward_service::steward_service(daemon::context& shared, control_hub& hub)
    : shared_{shared}, hub_{hub}, counters_{shared.metrics}, waiting_{shared.metrics.make_gauge(
                                                                 "galenaturn_tasks_waiting")},
      workers_{shared.metrics.make_gauge("galenaturn_workers")}, tick_timer_{shared.io},
      heartbeat_timer_{shared.io}, incarnation_{static_cast<std::uint64_t>(
                                       wall_now().time_since_epoch().count())}
{
    register_counters(counters_, steward_.counters);
    const auto& self = shared.settings.self;
    steward_.domain = self.domain;
    steward_.succession_possible = std::any_of(
        shared.settings.members.begin(), shared.settings.members.end(), [&](const auto& member) {
            return member.role == process_role::control && member.domain == self.domain &&
                   member.id != self.id;
        });
    std::set<failure_domain_id> domains;
    for (const auto& member : shared.settings.members)
        domains.insert(member.domain);
    steward_.domain_count = static_cast<std::uint32_t>(domains.size());
    hub.applied.emplace_back(
        [this](const ledger::applied_change& change) { on_applied_change(change); });
    shared.frames.on(
        wire::frame_kind::worker_announcement,
        [this](const wire::hello& /*from*/, wire::frame received, wire::reply_function reply) {
            receive_announcement(std::move(received), std::move(reply));
        });
}

result<void> steward_service::start()
{
    findings found;
    chart_ = schedule::load_task_chart(shared_.settings.charts_folder, found);
    if (!found.empty()) {
        std::cerr << found.text();
        return make_error_code(core_error::invalid_chart);
    }
    steward_.chart = &chart_;
    asio::co_spawn(shared_.io, run_ticks(), asio::detached);
    asio::co_spawn(shared_.io, run_heartbeats(), asio::detached);
    return success();
}

void steward_service::on_applied_change(const ledger::applied_change& change)
{
    applied_index_ = change.index;
    if (change.catalogue)
        schedule::on_catalogue(steward_, hub_.state().entries);
    if (change.stewardships)
        follow_stewardship();
    if (steward_.stewardship == epoch{})
        return;
    for (const auto& id : change.tasks)
        synchronize_task(id, false);
}

/** Begins, renumbers or ends this process's stewardship according to the ledger. */
void steward_service::follow_stewardship()
{
    const auto& stewardships = hub_.state().stewardships;
    const auto found = stewardships.find(steward_.domain);
    if (found == stewardships.end())
        return;
    const auto& held = found->second;
    const bool active = steward_.stewardship != epoch{};
    if (held.steward != shared_.settings.self.id) {
        if (active)
            log_event(log_level::warning, "stewardship_lost", {{"epoch", held.number}});
        schedule::end_stewardship(steward_);
        return;
    }
    if (active && held.number > steward_.stewardship) {
        schedule::renumber_stewardship(steward_, held.number);
        return;
    }
    // The ledger does not say which incarnation of this process holds the stewardship. Only the
    // leader's response to a heartbeat does.
    if (active || held.number != granted_stewardship_)
        return;
    schedule::begin_stewardship(steward_, held.number, monotonic_now());
    schedule::on_catalogue(steward_, hub_.state().entries);
    resynchronize(true);
    log_event(log_level::info, "stewardship_begun",
              {{"failure_domain", steward_.domain},
               {"epoch", held.number},
               {"tasks", steward_.tasks.size()}});
}

void steward_service::resynchronize(bool inherited)
{
    std::vector<task_id> tracked_tasks;
    for (const auto& [id, task] : steward_.tasks)
        tracked_tasks.push_back(id);
    for (const auto& id : tracked_tasks)
        synchronize_task(id, inherited);
    for (const auto& [id, record] : hub_.state().tasks) {
        if (record.phase == wire::task_phase::assigned && record.domain == steward_.domain)
            synchronize_task(id, inherited);
    }
    next_resync_ = monotonic_now() + resync_interval;
}

void steward_service::synchronize_task(const task_id& id, bool inherited)
{
    const auto& tasks = hub_.state().tasks;
    const auto found = tasks.find(id);
    const auto* record = found == tasks.end() ? nullptr : &found->second;
    schedule::on_task_record(steward_, id, record, inherited, monotonic_now());
}

void steward_service::receive_announcement(wire::frame received, wire::reply_function reply)
{
    if (steward_.stewardship == epoch{}) {
        forward(std::move(received), std::move(reply));
        return;
    }
    const auto announced = wire::decode<wire::worker_announcement>(received.payload);
    if (!announced || announced.value().domain != steward_.domain)
        return;
    const auto now = monotonic_now();
    const auto& worker = announced.value().id;
    const auto status = schedule::on_announcement(steward_, announced.value(), now);
    if (status == schedule::announcement_result::outdated)
        return;
    const auto previous = deferred_responses_.find(worker);
    if (previous != deferred_responses_.end())
        send_response(worker, previous->second, now);
    deferred_responses_[worker] = {announced.value().heartbeat, std::move(reply),
                                   now + max_response_delay};
    schedule::on_tick(steward_, now);
    send_due_responses(now);
}

/** Forwards an announcement to the steward of the domain, if that is another process. */
void steward_service::forward(wire::frame received, wire::reply_function reply)
{
    const auto& stewardships = hub_.state().stewardships;
    const auto found = stewardships.find(steward_.domain);
    const bool other =
        found != stewardships.end() && found->second.steward != shared_.settings.self.id;
    auto* link = other ? shared_.peers.find(found->second.steward) : nullptr;
    if (link == nullptr)
        asio::co_spawn(shared_.io, respond_without_lease(std::move(reply)), asio::detached);
    else
        asio::co_spawn(shared_.io, forward_to(link, std::move(received), std::move(reply)),
                       asio::detached);
}

asio::awaitable<void> steward_service::forward_to(wire::peer_link* steward, wire::frame received,
                                                  wire::reply_function reply)
{
    const auto limit = monotonic_now() + 2 * max_response_delay;
    auto response = co_await steward->call(received.kind, std::move(received.payload), limit);
    if (response)
        reply(std::move(response).value());
}

/**
 * Responds without granting leases because there is no steward to ask. The delay keeps the worker
 * from retrying at once.
 */
asio::awaitable<void> steward_service::respond_without_lease(wire::reply_function reply)
{
    wire::boot_timer timer{shared_.io, max_response_delay};
    co_await timer.async_wait(use_result);
    reply(wire::encode(wire::worker_response{}));
}

void steward_service::send_response(const worker_id& worker, const deferred_response& deferred,
                                    time_point now)
{
    auto response = schedule::make_worker_response(steward_, worker, now);
    // If the deferred heartbeat is older than the last one, the worker counts the lease from an
    // earlier time than the steward, which is safe. If its number is higher, it was sent before the
    // worker restarted, and the commands are not for that incarnation.
    if (deferred.heartbeat > response.heartbeat)
        response.commands.clear();
    response.heartbeat = deferred.heartbeat;
    deferred.reply(wire::encode(response));
}

/** Sends the deferred responses for which there are commands or whose deadline has passed. */
void steward_service::send_due_responses(time_point now)
{
    for (auto next = deferred_responses_.begin(); next != deferred_responses_.end();) {
        const auto found = steward_.workers.find(next->first);
        const bool due = found != steward_.workers.end() && found->second.response_due &&
                         !schedule::has_unacknowledged_outcome(steward_, next->first);
        if (!due && now < next->second.deadline) {
            ++next;
            continue;
        }
        send_response(next->first, next->second, now);
        next = deferred_responses_.erase(next);
    }
}

asio::awaitable<void> steward_service::run_ticks()
{
    for (;;) {
        tick_timer_.expires_after(tick_interval);
        co_await tick_timer_.async_wait(use_result);
        const auto now = monotonic_now();
        if (steward_.stewardship != epoch{} && now >= next_resync_)
            resynchronize(false);
        schedule::on_tick(steward_, now);
        send_due_responses(now);
        counters_.update();
        waiting_.set(static_cast<double>(steward_.queue.size()));
        workers_.set(static_cast<double>(steward_.workers.size()));
        if (!reporting_ && !steward_.pending_reports.empty() && now >= next_report_)
            asio::co_spawn(shared_.io, send_reports(), asio::detached);
    }
}

asio::awaitable<void> steward_service::send_reports()
{
    reporting_ = true;
    wire::report_tasks reports;
    reports.items = schedule::next_reports(steward_, max_reports_per_command);
    const auto response =
        co_await hub_.submit(wire::command{reports}, monotonic_now() + report_timeout);
    reporting_ = false;
    const bool accepted = response.status == wire::command_status::accepted ||
                          response.status == wire::command_status::duplicate;
    if (accepted)
        schedule::on_reports_accepted(steward_, reports.items);
    else
        next_report_ = monotonic_now() + report_retry_delay;
}

schedule::steward_heartbeat steward_service::make_heartbeat()
{
    last_heartbeat_ = last_heartbeat_.next();
    schedule::steward_heartbeat beat;
    beat.process = shared_.settings.self.id;
    beat.domain = steward_.domain;
    beat.process_incarnation = incarnation_;
    beat.number = last_heartbeat_;
    beat.stewardship = steward_.stewardship;
    beat.applied_index = applied_index_;
    beat.load = schedule::current_load(steward_);
    return beat;
}

asio::awaitable<void> steward_service::run_heartbeats()
{
    for (;;) {
        heartbeat_timer_.expires_after(heartbeat_interval);
        co_await heartbeat_timer_.async_wait(use_result);
        // Not awaited, so that a leader that does not respond does not delay later heartbeats.
        asio::co_spawn(shared_.io, send_heartbeat(), asio::detached);
    }
}

asio::awaitable<void> steward_service::send_heartbeat()
{
    const auto leader = hub_.leader();
    const auto sent = monotonic_now();
    const auto payload = wire::encode(make_heartbeat());
    if (leader == shared_.settings.self.id) {
        wire::frame local{wire::frame_kind::steward_heartbeat, 0, payload};
        shared_.frames.dispatch(
            shared_.channels.self, std::move(local), [this, sent](std::string reply) {
                const auto response = wire::decode<schedule::steward_heartbeat_response>(reply);
                if (response)
                    on_heartbeat_response(response.value(), sent);
            });
        co_return;
    }
    auto* link = shared_.peers.find(leader);
    if (link == nullptr)
        co_return;
    const auto reply =
        co_await link->call(wire::frame_kind::steward_heartbeat, payload, sent + heartbeat_timeout);
    if (!reply)
        co_return;
    const auto response = wire::decode<schedule::steward_heartbeat_response>(reply.value());
    if (response)
        on_heartbeat_response(response.value(), sent);
}

void steward_service::on_heartbeat_response(const schedule::steward_heartbeat_response& response,
                                            time_point sent)
{
    if (response.stewardship == epoch{})
        return;
    granted_stewardship_ = response.stewardship;
    follow_stewardship();
    // If the stewardship changed, the leader may have reassigned tasks without this process having
    // applied that yet.
    if (steward_.stewardship == response.stewardship)
        schedule::on_heartbeat_acknowledged(steward_, sent);
}

} // namespace galenaturn::controld
