#include "simulation.h"

#include <algorithm>

namespace galenaturn::ledger {

namespace {

constexpr std::size_t max_open_requests = 12;
constexpr std::uint64_t max_steps_after_heal = 60'000;
constexpr std::uint64_t max_cut_us = 6'000'000;
constexpr std::uint64_t task_id_count = 40;
/** Suspensions within a lease, and those during which others elect a leader. */
constexpr std::uint64_t max_short_suspension_us = 900'000;
constexpr std::uint64_t max_suspension_us = 6'000'000;
constexpr std::uint64_t max_time_to_next_suspension_us = 1'000'000;
constexpr std::uint64_t max_delay_after_wake_us = 40'000;
constexpr std::uint64_t max_prompt_restart_us = 200'000;
constexpr duration quiet_interval = std::chrono::seconds{4};

} // namespace

bool simulation::is_quiet(const sim_node& node) const
{
    // A process that has missed writes is not elected. Quiet times let one be that was suspended.
    const bool is_new = local_time(node) - node.core->leader_since < quiet_interval / 10;
    return options_.suspensions && !is_new && now_.time_since_epoch() / quiet_interval % 2 == 1;
}

void simulation::act_as_client(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    if (!node.alive() || is_suspended(node))
        return;
    check_reads(node_index);
    if (options_.confirmed_reads && node.core->leads && chance(300))
        start_read(node_index);
    if (!node.core->leads || is_quiet(node))
        return;
    // Sometimes resends an open request with the same id.
    if (commands_.size() >= max_open_requests || (!commands_.empty() && chance(300))) {
        const auto resent = pick(commands_.size());
        std::vector<log_index> indexes;
        process_effects(node_index, propose(*node.core, local_time(node),
                                            {wire::encode(commands_[resent])}, indexes));
        if (chance(400))
            commands_.erase(commands_.begin() + static_cast<std::ptrdiff_t>(resent));
        return;
    }
    wire::command_request request{request_id{"r" + std::to_string(++last_request_)},
                                  make_command(node.state)};
    commands_.push_back(request);
    std::vector<std::string> batch;
    const auto copies = 1 + pick(3);
    for (std::uint64_t copy = 0; copy < copies; ++copy)
        batch.push_back(wire::encode(request));
    std::vector<log_index> indexes;
    process_effects(node_index, propose(*node.core, local_time(node), std::move(batch), indexes));
}

void simulation::start_read(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    waiting_read read;
    read.begun_in = node.core->hard.current_term;
    read.acknowledged_index = acknowledged_index_;
    read.acknowledged_version = acknowledged_version_;
    auto begun = begin_read(*node.core, local_time(node), read.round);
    node.reads.push_back(read);
    process_effects(node_index, std::move(begun));
}

wire::command simulation::make_command(const ledger_state& seen)
{
    const task_id task{"t" + std::to_string(pick(task_id_count))};
    const auto existing = seen.tasks.find(task);
    const auto assignment = existing == seen.tasks.end() ? epoch{} : existing->second.assignment;
    switch (pick(8)) {
    case 0: {
        static const std::string document = "owners:\n"
                                            "  - {name: o, quota: {processors: 9, memory: 9GiB}, "
                                            "rate: 1, concurrency: 1}\n"
                                            "jobs:\n"
                                            "  - {name: j, owner: o, class: batch, processors: 1, "
                                            "memory: 1GiB, hold: 1s}\n";
        return wire::write_catalogue{catalogue_in_force(seen).version, document,
                                     wire::content_digest(document), "operator"};
    }
    case 1:
    case 2:
        return wire::start_task{task, job_id{"j"}, wall_time{std::chrono::seconds{1}}, {}, {}};
    case 3:
        return wire::cancel_task{task};
    case 4:
    case 5: {
        wire::assign_tasks body;
        body.items.push_back(
            {task, failure_domain_id{"d" + std::to_string(pick(3))}, assignment, {}});
        return body;
    }
    case 6: {
        wire::report_tasks body;
        const auto outcome = chance(500) ? wire::task_outcome::succeeded : wire::task_outcome::none;
        body.items.push_back({task, assignment, outcome, chance(300), {}, "", worker_id{"w"}});
        return body;
    }
    default:
        return wire::reserve_key{
            owner_id{"o"}, service_id{"s"}, idempotency_key{std::to_string(pick(30))},
            "digest",      process_id{"e"}, wall_time{std::chrono::hours{1}}};
    }
}

void simulation::inject_fault()
{
    // Other failures are rarer then, so that there is a leader most of the time.
    if (options_.suspensions && chance(700))
        return chance(300) ? suspend_some() : void();
    const auto node_index = pick(nodes_.size());
    if (!nodes_[node_index].alive()) {
        add_trace_line("restart " + nodes_[node_index].voter.value());
        return start(node_index);
    }
    const auto kind = pick(10);
    if (kind < 3 && options_.crashes)
        return crash(node_index);
    if (kind < 6 && options_.partitions)
        return cut_links();
    if (kind < 7 && options_.voter_changes)
        return lose_disk(node_index);
    if (options_.voter_changes) {
        change_some_voter();
        if (chance(500))
            change_some_voter();
    }
}

void simulation::crash(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    add_trace_line("crash " + node.voter.value());
    ++result_.crashes;
    node.disk.crash(pick(node.disk.parts_in_flight() + 1));
    node.core.reset();
    node.messages_for_next_sync.clear();
    node.messages_of_current_sync.clear();
    node.reads.clear();
    ++node.incarnation;
    if (options_.suspensions && chance(500))
        schedule(event_kind::restart, node_index, duration{pick(max_prompt_restart_us)});
}

void simulation::lose_disk(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    if (!quorum_survives_disk_loss(node_index))
        return;
    crash(node_index);
    add_trace_line("disk of " + node.voter.value() + " lost");
    ++result_.disks_lost;
    lost_voters_.insert(node.voter);
    node.disk = fake_disk{};
    node.last_read_index = log_index{};
    node.voter = voter_id{"v" + std::to_string(++last_voter_)};
    if (!options_.power_lost_with_disks)
        return;
    ++result_.power_losses;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (nodes_[other].alive())
            crash(other);
    }
}

void simulation::suspend_some()
{
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
        const auto& node = nodes_[node_index];
        if (chance(node.alive() && node.core->leads ? 500 : 250))
            suspend(node_index);
    }
}

void simulation::suspend(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    if (!node.alive() || is_suspended(node) || !options_.suspensions)
        return;
    const duration span{pick(chance(500) ? max_short_suspension_us : max_suspension_us)};
    node.suspended_until = now_ + span;
    node.lost_while_suspended = static_cast<unsigned>(500 * pick(3));
    if (options_.clocks_omit_suspensions)
        node.omitted += span;
    ++result_.suspensions;
    result_.suspended_leaders += node.core->leads ? 1 : 0;
    add_trace_line(node.voter.value() + " is suspended for " + std::to_string(span.count()) +
                   "us, " + std::to_string(node.lost_while_suspended) + " of 1000 messages lost");
    schedule(event_kind::wake, node_index, span);
}

void simulation::postpone(event next)
{
    const auto& node = nodes_[next.node];
    const bool from_other = next.kind == event_kind::deliver && next.sender != next.node;
    if (from_other && chance(node.lost_while_suspended))
        return;
    // Its own messages and the end of its sync keep their order.
    const bool in_order =
        next.kind == event_kind::synced || (next.kind == event_kind::deliver && !from_other);
    next.when = node.suspended_until + duration{1};
    if (!in_order)
        next.when += duration{pick(max_delay_after_wake_us)};
    events_.push(std::move(next));
}

void simulation::wake(std::size_t node_index)
{
    add_trace_line(nodes_[node_index].voter.value() + " wakes");
    // A request is handled before the messages that waited, and before the timers.
    act_as_client(node_index);
    if (chance(300))
        schedule(event_kind::suspend, node_index, duration{pick(max_time_to_next_suspension_us)});
    // A leader that is away while this process campaigns, since it heard of no leader.
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (nodes_[other].alive() && nodes_[other].core->leads && chance(500))
            schedule(event_kind::suspend, other, duration{pick(max_delay_after_wake_us)});
    }
}

void simulation::cut_links()
{
    if (now_ < cut_until_)
        return;
    const auto kind = pick(5);
    cut_links_.clear();
    if (kind == 0)
        return add_trace_line("links heal");
    auto node_index = pick(nodes_.size());
    for (std::size_t leader = 0; leader < nodes_.size() && chance(700); ++leader) {
        if (nodes_[leader].alive() && nodes_[leader].core->leads)
            node_index = leader;
    }
    cut_until_ = now_ + duration{pick(max_cut_us)};
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other == node_index)
            continue;
        // Cut in both directions, only outgoing, only incoming, or outgoing to some nodes.
        if (kind == 1 || kind == 2 || (kind == 3 && chance(500)))
            cut_links_.insert({node_index, other});
        if (kind == 1 || kind == 4)
            cut_links_.insert({other, node_index});
    }
    add_trace_line("links of " + nodes_[node_index].voter.value() + " cut, kind " +
                   std::to_string(kind));
}

void simulation::change_some_voter()
{
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
        auto& node = nodes_[node_index];
        if (!node.alive() || !node.core->leads || is_suspended(node))
            continue;
        const auto& set = node.core->log.voters();
        const auto& target = nodes_[pick(nodes_.size())];
        voter_change change{voter_change_kind::add_learner, target.voter, target.process, {}};
        for (const auto& lost : lost_voters_) {
            if (set.voters.contains(lost) && set.learners.contains(target.voter))
                change = {voter_change_kind::replace, target.voter, target.process, lost};
            else if (all_members(set).contains(lost) && set.learners.empty())
                change = {voter_change_kind::remove, lost, {}, {}};
        }
        if (is_joint(set))
            change.kind = voter_change_kind::complete;
        else if (change.kind == voter_change_kind::add_learner &&
                 set.learners.contains(target.voter))
            change.kind = voter_change_kind::promote;
        else if (set.voters.contains(target.voter) && set.voters.size() > 3 && chance(300))
            change.kind = voter_change_kind::remove;
        refusal_reason reason;
        process_effects(node_index, change_voters(*node.core, local_time(node), change, reason));
        if (!reason.empty())
            continue;
        ++result_.voter_changes;
        add_trace_line("voter change " + std::to_string(static_cast<int>(change.kind)) + " of " +
                       change.voter.value() + " at " + node.voter.value());
    }
}

void simulation::heal()
{
    healed_ = true;
    cut_links_.clear();
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
        if (!nodes_[node_index].alive())
            start(node_index);
    }
    options_.crashes = false;
    options_.partitions = false;
    options_.voter_changes = false;
    options_.suspensions = false;
    const auto until = now_ + std::chrono::seconds{20};
    const auto max_steps = result_.steps + max_steps_after_heal;
    while (now_ < until) {
        step();
        require(result_.steps < max_steps,
                "messages do not multiply after all failures have ended");
    }
}

} // namespace galenaturn::ledger
