#include "simulation.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace galenaturn::ledger {

namespace {

constexpr duration client_interval = std::chrono::milliseconds{12};
constexpr duration trouble_interval = std::chrono::milliseconds{400};
constexpr duration shortest_sync = std::chrono::microseconds{500};
constexpr std::uint64_t sync_spread_us = 12'000;
constexpr duration shortest_flight = std::chrono::microseconds{700};
constexpr std::uint64_t longest_young_life_us = 40'000;
constexpr unsigned kept_by_cut_link = 800;
constexpr duration resend_interval = std::chrono::milliseconds{300};
constexpr std::uint64_t late_spread_us = 3'000'000;
/** Largest difference of a clock's rate, in thousandths; the lease allows for twice this. */
constexpr std::int64_t largest_skew = 25;
constexpr std::size_t longest_log = 6'000;

/** Small bounds, so that windows, batches, chunks and images all come into play. */
replica_options small_options()
{
    replica_options options;
    options.largest_batch = 400;
    options.largest_window = 1'200;
    options.largest_chunk = 1'500;
    options.kept_bytes = 1'500;
    options.largest_held_log = 20'000;
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
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
        auto& node = nodes_[at];
        node.process = process_id{"p" + std::to_string(at)};
        node.voter = voter_id{"v" + std::to_string(++last_voter_)};
        node.clock_skew = static_cast<std::int64_t>(pick(2 * largest_skew + 1)) - largest_skew;
        voters.voters.emplace(node.voter, node.process);
    }
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
        disk_write write;
        write.batches.push_back(first_batch(voters));
        nodes_[at].disk.queue(std::move(write));
        nodes_[at].disk.begin_sync();
        nodes_[at].disk.end_sync();
        start(at);
    }
    schedule(event_kind::client, 0, client_interval);
    schedule(event_kind::trouble, 0, trouble_interval);
}

void simulation::start(std::size_t at)
{
    auto& node = nodes_[at];
    ++node.life;
    node.state = ledger_state{};
    if (node.disk.image()) {
        auto read = read_image(node.disk.image()->data);
        require(read.has_value(), "an image that was written can be read");
        node.state = std::move(read).value();
    }
    replica_start start;
    start.self = node.voter;
    start.hard = node.disk.hard();
    start.log = node.disk.log();
    start.options = small_options();
    start.faults = options_.faults;
    start.chart = &chart_;
    start.seed = random_();
    node.core = std::make_unique<replica>(make_replica(std::move(start), local_time(node)));
    schedule(event_kind::tick, at, std::chrono::milliseconds{1});
}

time_point simulation::local_time(const sim_node& node) const
{
    const auto elapsed = now_.time_since_epoch();
    return time_point{elapsed + elapsed * node.clock_skew / 1000 + std::chrono::hours{1}};
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
    next.life = nodes_[node].life;
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
        act_as_client();
        return schedule(event_kind::client, 0, client_interval);
    }
    if (next.kind == event_kind::trouble) {
        make_trouble();
        return schedule(event_kind::trouble, 0, trouble_interval);
    }
    const bool from_other = next.kind == event_kind::deliver && next.sender != next.node;
    if (!node.alive() || (next.life != node.life && !from_other))
        return;
    if (next.kind == event_kind::deliver) {
        if (!cut_.contains({next.sender, next.node}))
            return take(next.node, receive(*node.core, local_time(node), next.message));
        // A cut link keeps some messages until it heals, as a transport that resends does.
        if (chance(kept_by_cut_link)) {
            auto kept = next;
            kept.when += resend_interval;
            events_.push(std::move(kept));
        }
        return;
    }
    if (next.kind == event_kind::crash) {
        if (options_.crashes)
            crash(next.node);
        return;
    }
    if (next.kind == event_kind::synced) {
        node.disk.end_sync();
        return release(next.node);
    }
    take(next.node, tick(*node.core, local_time(node)));
    schedule(event_kind::tick, next.node, std::chrono::milliseconds{40});
}

void simulation::take(std::size_t at, effects done)
{
    auto& node = nodes_[at];
    if (done.installed) {
        ++result_.images_installed;
        auto read = read_image(done.installed->data);
        require(read.has_value(), "an image that was sent can be read");
        node.state = std::move(read).value();
        disk_write write;
        write.image = std::move(done.installed);
        write.new_log = present_log(*node.core);
        node.disk.queue(std::move(write));
    }
    disk_write write;
    write.batches.push_back({{}, done.hard, done.cut_after, std::move(done.entries)});
    if (!write.batches.front().empty())
        node.disk.queue(std::move(write));
    if (done.role_changed && node.core->leads) {
        check_leader(at);
        // Leaders that die young leave entries behind that only some replicas have.
        if (options_.crashes && chance(300))
            schedule(event_kind::crash, at, duration{pick(longest_young_life_us)});
    }
    for (const auto& message : done.messages)
        post(at, message);
    for (auto& message : done.after_sync)
        node.waiting.push_back(std::move(message));
    for (const auto& entry : done.committed)
        apply(at, entry);
    if (done.image_wanted && node.core->leads)
        take(at, offer_image(*node.core, local_time(node), write_image(node.state)));
    shorten_log(at);
    flush(at);
}

void simulation::apply(std::size_t at, const log_entry& entry)
{
    check_committed(at, entry);
    if (entry.kind != entry_kind::command)
        return;
    auto& node = nodes_[at];
    const auto request = wire::decode<wire::command_request>(entry.payload);
    require(request.has_value(), "a committed command can be read");
    applied_change change;
    const auto response = apply_command(node.state, request.value(), entry.index, change);
    check_outcome(at, entry, request.value(), response, change);
    check_state(at, entry.index);
}

void simulation::flush(std::size_t at)
{
    auto& node = nodes_[at];
    if (node.disk.syncing())
        return;
    auto ready = std::exchange(node.waiting, {});
    if (node.disk.idle()) {
        for (const auto& message : ready)
            post(at, message);
        return;
    }
    node.released = std::move(ready);
    node.disk.begin_sync();
    schedule(event_kind::synced, at, shortest_sync + duration{pick(sync_spread_us)});
}

void simulation::release(std::size_t at)
{
    for (const auto& message : std::exchange(nodes_[at].released, {}))
        post(at, message);
    flush(at);
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
            next.when +=
                shortest_flight +
                duration{pick(static_cast<std::uint64_t>(options_.longest_flight.count()))};
        if (!own && !healed_ && chance(options_.late))
            next.when += duration{pick(late_spread_us)};
        next.order = ++next_order_;
        next.kind = event_kind::deliver;
        next.node = to;
        next.life = nodes_[to].life;
        next.message = message;
        next.sender = from;
        events_.push(std::move(next));
    }
}

void simulation::shorten_log(std::size_t at)
{
    auto& node = nodes_[at];
    const auto& log = node.core->log;
    const auto kept = std::min(log.bytes_held(), node.core->options.kept_bytes);
    if (log.bytes_held() - kept < longest_log || node.disk.syncing())
        return;
    const auto index = node.core->applied;
    disk_write write;
    write.image =
        state_image{index, log.term_of(index), log.voters_at(index), write_image(node.state)};
    compact_log(*node.core, index);
    write.new_log = present_log(*node.core);
    node.disk.queue(std::move(write));
}

simulation_options options_of(std::uint64_t seed)
{
    simulation_options options;
    options.seed = seed;
    options.processes = seed % 3 == 0 ? 5 : 3 + seed % 2;
    if (seed % 4 == 0)
        options.longest_flight = std::chrono::milliseconds{150};
    return options;
}

log_batch present_log(const replica& core)
{
    const auto& log = core.log;
    log_batch batch;
    batch.start = log_start{log.base(), log.base_term(), log.voters_at(log.base())};
    batch.hard = core.hard;
    for (auto index = log.base().next(); index <= log.last_index(); index = index.next())
        batch.entries.push_back(log.at(index));
    return batch;
}

} // namespace galenaturn::ledger
