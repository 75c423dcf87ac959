#include "simulation.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace galenaturn::ledger {

namespace {

constexpr duration client_interval = std::chrono::milliseconds{12};
constexpr duration fault_interval = std::chrono::milliseconds{400};
constexpr duration min_sync_time = std::chrono::microseconds{500};
constexpr std::uint64_t max_extra_sync_us = 12'000;
constexpr std::uint64_t max_stall_us = 8'000'000;
constexpr duration min_latency = std::chrono::microseconds{700};
constexpr std::uint64_t max_new_leader_lifetime_us = 40'000;
constexpr unsigned retransmitted_by_cut_link_thousandths = 800;
constexpr duration resend_interval = std::chrono::milliseconds{300};
constexpr std::uint64_t max_extra_delay_us = 3'000'000;
/** Maximum clock rate error. The lease tolerates twice this between two processes. */
constexpr std::int64_t max_clock_skew_thousandths = 25;
constexpr std::size_t max_log_bytes = 6'000;

/** Returns options with limits so small that batches, windows, chunks and snapshots all occur. */
replica_options options_with_small_limits()
{
    replica_options options;
    options.max_batch_bytes = 400;
    options.max_in_flight_bytes = 1'200;
    options.max_chunk_bytes = 1'500;
    options.retained_log_bytes = 1'500;
    options.max_log_bytes_during_transfer = 20'000;
    return options;
}

} // namespace

simulation::simulation(const simulation_options& options) : options_{options}, random_{options.seed}
{
    findings found;
    chart_ = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "replica",
                        replica_actions(), found);
    require(found.empty(), found.text());
}

simulation_result simulation::run()
{
    try {
        form();
        while (result_.steps < options_.steps)
            step();
        heal();
        check_convergence();
    }
    catch (const violation_error& error) {
        result_.violation = error.what();
        result_.trace = trace_;
    }
    return result_;
}

void simulation::form()
{
    nodes_.resize(options_.processes);
    voter_set voters;
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
        auto& node = nodes_[node_index];
        node.process = process_id{"p" + std::to_string(node_index)};
        node.voter = voter_id{"v" + std::to_string(++last_voter_)};
        node.clock_skew_thousandths =
            static_cast<std::int64_t>(pick(2 * max_clock_skew_thousandths + 1)) -
            max_clock_skew_thousandths;
        voters.voters.emplace(node.voter, node.process);
    }
    for (std::size_t node_index = 0; node_index < nodes_.size(); ++node_index) {
        disk_write write;
        write.batches.push_back(initial_log_batch(voters));
        nodes_[node_index].disk.queue(std::move(write));
        nodes_[node_index].disk.begin_sync();
        nodes_[node_index].disk.end_sync();
        start(node_index);
    }
    schedule(event_kind::client, 0, client_interval);
    schedule(event_kind::fault, 0, fault_interval);
}

void simulation::start(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    ++node.incarnation;
    node.suspended_until = time_point{};
    node.state = ledger_state{};
    if (node.disk.snapshot()) {
        auto read = decode_snapshot(node.disk.snapshot()->data);
        require(read.has_value(), "a snapshot that was written can be decoded");
        node.state = std::move(read).value();
    }
    replica_start start;
    start.self = node.voter;
    start.hard = node.disk.hard();
    start.log = node.disk.log();
    start.options = options_with_small_limits();
    start.faults = options_.faults;
    start.chart = &chart_;
    start.seed = random_();
    node.core = std::make_unique<replica>(make_replica(std::move(start), local_time(node)));
    schedule(event_kind::tick, node_index, std::chrono::milliseconds{1});
}

time_point simulation::local_time(const sim_node& node) const
{
    const auto elapsed = now_.time_since_epoch();
    return time_point{elapsed + elapsed * node.clock_skew_thousandths / 1000 +
                      std::chrono::hours{1} - node.omitted};
}

bool simulation::is_suspended(const sim_node& node) const
{
    return node.alive() && now_ < node.suspended_until;
}

std::size_t simulation::node_of(const voter_id& voter) const
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                    [&](const auto& node) { return node.voter == voter; });
    return static_cast<std::size_t>(found - nodes_.begin());
}

void simulation::schedule(event_kind kind, std::size_t node, duration delay)
{
    event next;
    next.when = now_ + delay;
    next.order = ++next_order_;
    next.kind = kind;
    next.node = node;
    next.incarnation = nodes_[node].incarnation;
    events_.push(std::move(next));
}

void simulation::step()
{
    const auto next = events_.top();
    events_.pop();
    now_ = next.when;
    ++result_.steps;
    carry_out(next);
}

void simulation::carry_out(const event& next)
{
    auto& node = nodes_[next.node];
    if (next.kind == event_kind::client) {
        act_as_client(pick(nodes_.size()));
        return schedule(event_kind::client, 0, client_interval);
    }
    if (next.kind == event_kind::fault) {
        inject_fault();
        return schedule(event_kind::fault, 0, fault_interval);
    }
    if (next.kind == event_kind::restart && !node.alive())
        return start(next.node);
    const bool from_other = next.kind == event_kind::deliver && next.sender != next.node;
    if (!node.alive() || (next.incarnation != node.incarnation && !from_other))
        return;
    if (next.kind == event_kind::deliver && cut_links_.contains({next.sender, next.node}))
        return retransmit(next);
    if (next.kind == event_kind::crash) {
        if (options_.crashes)
            crash(next.node);
        return;
    }
    if (is_suspended(node))
        return postpone(next);
    carry_out_at(node, next);
    if (options_.suspensions && node.alive() && !is_suspended(node))
        check_reads(next.node);
}

void simulation::retransmit(event next)
{
    // Some messages arrive after the link heals, as with a transport that retransmits.
    if (!chance(retransmitted_by_cut_link_thousandths))
        return;
    next.when += resend_interval;
    events_.push(std::move(next));
}

void simulation::carry_out_at(sim_node& node, const event& next)
{
    if (next.kind == event_kind::deliver)
        return process_effects(next.node, receive(*node.core, local_time(node), next.message));
    if (next.kind == event_kind::suspend)
        return suspend(next.node);
    if (next.kind == event_kind::wake)
        return wake(next.node);
    if (next.kind == event_kind::synced) {
        node.disk.end_sync();
        return send_after_sync(next.node);
    }
    const bool led = node.core->leads;
    const bool disk_hung = disk_hangs(*node.core, local_time(node));
    process_effects(next.node, tick(*node.core, local_time(node)));
    result_.leaders_with_hung_disk += led && disk_hung && !node.core->leads ? 1 : 0;
    schedule(event_kind::tick, next.node, std::chrono::milliseconds{40});
}

void simulation::process_effects(std::size_t node_index, effects done)
{
    auto& node = nodes_[node_index];
    if (done.installed) {
        ++result_.snapshots_installed;
        auto read = decode_snapshot(done.installed->data);
        require(read.has_value(), "a snapshot that was sent can be decoded");
        node.state = std::move(read).value();
        disk_write write;
        write.snapshot = std::move(done.installed);
        write.new_log = whole_log_batch(node.core->log, node.core->hard);
        node.disk.queue(std::move(write));
    }
    disk_write write;
    write.batches.push_back({{}, done.hard, done.truncate_after, std::move(done.entries)});
    if (!write.batches.front().empty())
        node.disk.queue(std::move(write));
    require(done.contradicting_leader.empty() || !options_.checks_leases,
            "no leader is elected within the lease of another");
    if (done.role_changed && node.core->leads) {
        check_leader(node_index);
        // Leaders that crash soon after election leave entries that only some replicas have.
        if (options_.crashes && chance(300))
            schedule(event_kind::crash, node_index, duration{pick(max_new_leader_lifetime_us)});
    }
    for (const auto& message : done.messages)
        post(node_index, message);
    for (auto& message : done.after_sync)
        node.messages_for_next_sync.push_back(std::move(message));
    for (const auto& entry : done.committed)
        apply(node_index, entry);
    if (done.snapshot_needed && node.core->leads)
        process_effects(node_index,
                        offer_snapshot(*node.core, local_time(node), encode_snapshot(node.state)));
    check_confirmed_reads(node_index);
    compact_log_if_large(node_index);
    start_sync(node_index);
}

void simulation::apply(std::size_t node_index, const log_entry& entry)
{
    check_committed(node_index, entry);
    if (entry.kind != entry_kind::command)
        return;
    auto& node = nodes_[node_index];
    const auto request = wire::decode<wire::command_request>(entry.payload);
    require(request.has_value(), "a committed command can be decoded");
    applied_change change;
    const auto response = apply_command(node.state, request.value(), entry.index, change);
    check_outcome(node_index, entry, request.value(), response, change);
    check_state(node_index, entry.index);
}

void simulation::start_sync(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    if (node.disk.syncing())
        return;
    auto ready = std::exchange(node.messages_for_next_sync, {});
    if (node.disk.idle()) {
        for (const auto& message : ready)
            post(node_index, message);
        return;
    }
    node.messages_of_current_sync = std::move(ready);
    node.disk.begin_sync();
    auto sync_time = min_sync_time + duration{pick(max_extra_sync_us)};
    if (options_.stalled > 0 && !healed_ && chance(options_.stalled))
        sync_time += duration{pick(max_stall_us)};
    schedule(event_kind::synced, node_index, sync_time);
}

void simulation::send_after_sync(std::size_t node_index)
{
    for (const auto& message : std::exchange(nodes_[node_index].messages_of_current_sync, {}))
        post(node_index, message);
    start_sync(node_index);
}

void simulation::post(std::size_t from, const peer_message& message)
{
    const auto to = node_of(message.to);
    if (to == nodes_.size())
        return;
    const bool own = to == from;
    if (!own && !healed_ && chance(options_.lost))
        return;
    const int copies = !own && !healed_ && chance(options_.duplicated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        event next;
        next.when = now_;
        if (!own)
            next.when += min_latency +
                         duration{pick(static_cast<std::uint64_t>(options_.max_latency.count()))};
        if (!own && !healed_ && chance(options_.delayed))
            next.when += duration{pick(max_extra_delay_us)};
        next.order = ++next_order_;
        next.kind = event_kind::deliver;
        next.node = to;
        next.incarnation = nodes_[to].incarnation;
        next.message = message;
        next.sender = from;
        events_.push(std::move(next));
    }
}

void simulation::compact_log_if_large(std::size_t node_index)
{
    auto& node = nodes_[node_index];
    const auto& log = node.core->log;
    const auto kept = std::min(log.payload_bytes(), node.core->options.retained_log_bytes);
    if (log.payload_bytes() - kept < max_log_bytes || node.disk.syncing())
        return;
    const auto index = node.core->applied;
    disk_write write;
    write.snapshot = state_snapshot{index, log.term_of(index), log.voters_at(index),
                                    encode_snapshot(node.state)};
    compact_log(*node.core, index);
    write.new_log = whole_log_batch(node.core->log, node.core->hard);
    node.disk.queue(std::move(write));
}

simulation_options options_for_seed(std::uint64_t seed)
{
    simulation_options options;
    options.seed = seed;
    options.processes = seed % 3 == 0 ? 5 : 3 + seed % 2;
    if (seed % 4 == 0)
        options.max_latency = std::chrono::milliseconds{150};
    return options;
}

simulation_options suspension_options(std::uint64_t seed)
{
    auto options = options_for_seed(seed);
    options.suspensions = true;
    options.crashes = seed % 2 == 0;
    options.partitions = seed % 2 == 0;
    options.voter_changes = seed % 2 == 0;
    return options;
}

} // namespace galenaturn::ledger
