#include "virtualgroup.h"

#include <utility>

namespace galenaturn::bench {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{20};

} // namespace

virtual_group::virtual_group(const options& wanted) : options_{wanted}, random_{wanted.seed}
{
    findings found;
    chart_ = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "replica",
                        ledger::replica_actions(), found);
    GN_INVARIANT(found.empty(), {"findings", found.text()});
    ledger::voter_set set;
    for (std::size_t voter = 0; voter < wanted.voters; ++voter) {
        const auto name = "control-" + std::to_string(voter);
        voter_indexes_.emplace(voter_id{name + ".1796330614021.17"}, voter);
        set.voters.emplace(voter_id{name + ".1796330614021.17"}, process_id{name});
    }
    nodes_.resize(wanted.voters);
    for (const auto& [name, voter] : voter_indexes_) {
        ledger::replica_start start;
        start.self = name;
        start.hard = ledger::hard_state{term{1}, voter_id{}};
        start.log.append(ledger::initial_log_batch(set).entries.front());
        start.chart = &chart_;
        start.seed = random_();
        nodes_[voter].core =
            std::make_unique<ledger::replica>(ledger::make_replica(std::move(start), now_));
        schedule_tick(voter);
    }
    while (leader() == nodes_.size())
        run_for(std::chrono::milliseconds{100});
    run_for(std::chrono::seconds{1});
    reset_counts();
}

void virtual_group::run_for(duration span)
{
    const auto until = now_ + span;
    while (!events_.empty() && events_.top().when <= until) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.action();
    }
    now_ = until;
}

std::size_t virtual_group::leader() const
{
    for (std::size_t voter = 0; voter < nodes_.size(); ++voter) {
        if (nodes_[voter].core->leads)
            return voter;
    }
    return nodes_.size();
}

void virtual_group::propose(std::string command)
{
    const auto voter = leader();
    if (voter == nodes_.size())
        return;
    nodes_[voter].queued.push_back(std::move(command));
    schedule(duration::zero(), [this, voter] { start_sync(voter); });
}

void virtual_group::schedule(duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, ++order_, std::move(action)});
}

void virtual_group::schedule_tick(std::size_t voter)
{
    schedule(tick_interval, [this, voter] {
        process_effects(voter, ledger::tick(*nodes_[voter].core, now_));
        schedule_tick(voter);
    });
}

void virtual_group::process_effects(std::size_t voter, ledger::effects done)
{
    auto& self = nodes_[voter];
    self.dirty = self.dirty || done.hard || done.truncate_after || !done.entries.empty();
    for (const auto& message : done.messages)
        send(voter, message);
    for (auto& message : done.after_sync)
        self.messages_after_sync.push_back(std::move(message));
    for (const auto& entry : done.committed) {
        counts_.commits += voter == leader() ? 1 : 0;
        if (applied)
            applied(voter, entry);
    }
    start_sync(voter);
}

void virtual_group::start_sync(std::size_t voter)
{
    auto& self = nodes_[voter];
    if (self.syncing)
        return;
    if (!self.queued.empty() && self.core->leads) {
        std::vector<log_index> indexes;
        return process_effects(
            voter, ledger::propose(*self.core, now_, std::exchange(self.queued, {}), indexes));
    }
    auto ready = std::exchange(self.messages_after_sync, {});
    if (!std::exchange(self.dirty, false)) {
        for (const auto& message : ready)
            send(voter, message);
        return;
    }
    self.syncing = true;
    ++counts_.syncs;
    schedule(options_.sync, [this, voter, ready = std::move(ready)] {
        nodes_[voter].syncing = false;
        for (const auto& message : ready)
            send(voter, message);
        start_sync(voter);
    });
}

void virtual_group::send(std::size_t from, const ledger::peer_message& message)
{
    const auto to = voter_indexes_.at(message.to);
    if (to == from) {
        schedule(duration::zero(), [this, to, message] {
            process_effects(to, ledger::receive(*nodes_[to].core, now_, message));
        });
        return;
    }
    const auto size = wire::frame_header_size + wire::encode(message).size();
    ++counts_.messages;
    counts_.bytes_sent += size;
    if (from == leader() && to == (from == 0 ? 1U : 0U))
        counts_.follower_bytes += size;
    if (std::uniform_real_distribution<double>{0, 1}(random_) < options_.loss)
        return;
    schedule(options_.latency, [this, to, message] {
        process_effects(to, ledger::receive(*nodes_[to].core, now_, message));
    });
}

} // namespace galenaturn::bench
