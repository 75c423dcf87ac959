#include "assignerservice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds assignment_interval{50};
/** Maximum number of assignments in one ledger command. */
constexpr std::size_t max_assignments_per_command = 1000;
constexpr std::chrono::seconds proposal_timeout{2};

void register_counters(counter_mirror& mirror, const schedule::assigner_counters& counters)
{
    mirror.add_reasons<schedule::pending_reason>("galenaturn_assigner_refusals_total",
                                                 counters.refusals);
    mirror.add("galenaturn_assigner_assigned_total", {}, counters.assigned);
    mirror.add("galenaturn_assigner_moved_total", {}, counters.moved);
    mirror.add("galenaturn_assigner_overtake_limit_total", {}, counters.overtake_limit_reached);
    mirror.add("galenaturn_assigner_stewardship_grants_total", {}, counters.grants);
    mirror.add("galenaturn_assigner_heartbeats_refused_total", {}, counters.heartbeats_refused);
}

bool has_several_control_processes(const process_settings& settings,
                                   const failure_domain_id& domain)
{
    return std::count_if(settings.members.begin(), settings.members.end(), [&](const auto& member) {
               return member.role == process_role::control && member.domain == domain;
           }) > 1;
}

} // namespace

assigner_service::assigner_service(daemon::context& shared, control_hub& hub)
    : shared_{shared}, hub_{hub}, counters_{shared.metrics},
      pending_{shared.metrics.make_gauge("galenaturn_tasks_pending")}, timer_{shared.io}
{
    register_counters(counters_, assigner_.counters);
    for (const auto& member : shared.settings.members)
        assigner_.domains[member.domain].succession_possible =
            has_several_control_processes(shared.settings, member.domain);
    hub.applied.emplace_back(
        [this](const ledger::applied_change& change) { on_applied_change(change); });
    hub.leadership.emplace_back([this](bool leads) { on_leadership_change(leads); });
    shared.frames.on(
        wire::frame_kind::steward_heartbeat,
        [this](const wire::hello& /*from*/, wire::frame received, wire::reply_function reply) {
            on_heartbeat(std::move(received), reply);
        });
}

result<void> assigner_service::start()
{
    resynchronize();
    if (hub_.leads() && !assigner_.leading)
        on_leadership_change(true);
    asio::co_spawn(shared_.io, run(), asio::detached);
    return success();
}

void assigner_service::resynchronize()
{
    const auto& state = hub_.state();
    const auto now = monotonic_now();
    schedule::on_catalogue(assigner_, state.entries);
    synchronize_stewardships();
    std::vector<task_id> removed;
    for (const auto& [id, task] : assigner_.tasks) {
        if (!state.tasks.contains(id))
            removed.push_back(id);
    }
    for (const auto& id : removed)
        schedule::on_task_record(assigner_, id, nullptr, applied_index_, now);
    for (const auto& [id, record] : state.tasks)
        schedule::on_task_record(assigner_, id, &record, applied_index_, now);
    assignment_due_ = true;
}

void assigner_service::synchronize_stewardships()
{
    for (const auto& [domain, held] : hub_.state().stewardships)
        schedule::on_stewardship(assigner_, domain, held.steward, held.number);
}

void assigner_service::on_applied_change(const ledger::applied_change& change)
{
    const auto& state = hub_.state();
    const auto now = monotonic_now();
    applied_index_ = change.index;
    if (change.catalogue)
        schedule::on_catalogue(assigner_, state.entries);
    if (change.stewardships)
        synchronize_stewardships();
    for (const auto& id : change.tasks) {
        const auto found = state.tasks.find(id);
        const auto* record = found == state.tasks.end() ? nullptr : &found->second;
        schedule::on_task_record(assigner_, id, record, change.index, now);
    }
    assignment_due_ = true;
}

void assigner_service::on_leadership_change(bool leads)
{
    log_event(log_level::info, "assigner_leadership", {{"leads", leads}});
    if (!leads) {
        schedule::end_leading(assigner_);
        return;
    }
    schedule::begin_leading(assigner_, monotonic_now());
    resynchronize();
}

void assigner_service::on_heartbeat(wire::frame received, const wire::reply_function& reply)
{
    const auto beat = wire::decode<schedule::steward_heartbeat>(received.payload);
    if (!beat || !hub_.leads())
        return;
    const auto decision = schedule::on_steward_heartbeat(assigner_, beat.value(), monotonic_now());
    if (decision.grant)
        asio::co_spawn(shared_.io, grant(*decision.grant), asio::detached);
    if (decision.response)
        reply(wire::encode(*decision.response));
    assignment_due_ = true;
}

asio::awaitable<void> assigner_service::run()
{
    for (;;) {
        timer_.expires_after(assignment_interval);
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        counters_.update();
        std::size_t waiting = 0;
        for (const auto& [id, owner] : assigner_.owners)
            waiting += owner.waiting.size();
        pending_.set(static_cast<double>(waiting));
        if (!hub_.leads() || proposing_)
            continue;
        const auto now = monotonic_now();
        auto proposal =
            schedule::reassign_from_silent_domains(assigner_, max_assignments_per_command, now);
        if (proposal.items.empty() && std::exchange(assignment_due_, false))
            proposal = schedule::assign_pending(assigner_, max_assignments_per_command, now);
        if (proposal.items.size() == max_assignments_per_command)
            assignment_due_ = true;
        if (!proposal.items.empty())
            asio::co_spawn(shared_.io, propose(std::move(proposal)), asio::detached);
    }
}

asio::awaitable<void> assigner_service::propose(wire::assign_tasks proposal)
{
    // Checked here because submit() forwards commands to another leader, where a proposal made from
    // an older state could exceed a quota.
    if (!hub_.leads()) {
        schedule::on_proposal_failed(assigner_, proposal);
        co_return;
    }
    proposing_ = true;
    const auto response =
        co_await hub_.submit(wire::command{proposal}, monotonic_now() + proposal_timeout);
    proposing_ = false;
    if (response.status != wire::command_status::accepted) {
        log_event(log_level::warning, "assignment_failed",
                  {{"tasks", proposal.items.size()},
                   {"status", wire::to_string(response.status)},
                   {"reason", response.reason}});
    }
    // Items that the ledger applied are no longer marked as proposed, so only the others are
    // released.
    schedule::on_proposal_failed(assigner_, proposal);
    assignment_due_ = true;
}

asio::awaitable<void> assigner_service::grant(wire::grant_stewardship proposal)
{
    const auto response =
        co_await hub_.submit(wire::command{proposal}, monotonic_now() + proposal_timeout);
    log_event(log_level::info, "stewardship_granted",
              {{"failure_domain", proposal.domain},
               {"steward", proposal.steward},
               {"epoch", proposal.expected.next()},
               {"status", wire::to_string(response.status)}});
}

} // namespace galenaturn::controld
