#include "votergroup.h"

#include <algorithm>
#include <utility>

namespace galenaturn::ledger {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr duration plan_interval = std::chrono::milliseconds{100};
constexpr duration announcement_interval = std::chrono::milliseconds{300};
constexpr duration proposal_interval = std::chrono::milliseconds{15};

/** Counts are all the state that commands build, so a snapshot is a number. */
std::string snapshot_of(std::size_t commands)
{
    return std::to_string(commands);
}

} // namespace

voter_group_options varied_options(std::uint64_t seed)
{
    voter_group_options options;
    options.seed = seed;
    options.voters = seed % 2 == 0 ? 3 : 5;
    options.domains = options.voters;
    options.lost = seed % 3 == 0 ? 20 : 0;
    return options;
}

voter_group_options formation_options(std::uint64_t seed)
{
    auto options = varied_options(seed);
    options.forms_ledger = true;
    options.newcomers = seed % 4 == 3 ? 1 : 0;
    return options;
}

voter_group::voter_group(const voter_group_options& options)
    : options_{options}, random_{options.seed}
{
    findings found;
    chart_ = load_chart(std::string{GALENATURN_SOURCE_DIR} + "/charts", "replica",
                        replica_actions(), found);
    GN_INVARIANT(found.empty(), {"findings", found.text()});
    if (options.forms_ledger) {
        start_empty();
        return;
    }
    voter_set set;
    for (std::size_t index = 0; index < options.voters; ++index) {
        const auto& node = make_node(index % options.domains);
        set.voters.emplace(node.voter, node.process);
    }
    for (const auto& node : nodes_) {
        replica_log log;
        log.append(initial_log_batch(set).entries.front());
        start(*node, std::move(log));
    }
    run_for(std::chrono::seconds{4});
    GN_INVARIANT(!leader().empty(), {"seed", options.seed});
}

void voter_group::start_empty()
{
    std::set<process_id> founders;
    for (std::size_t index = 0; index < options_.voters + options_.newcomers; ++index) {
        const auto& node = make_node(index % options_.domains);
        if (index < options_.voters)
            founders.insert(node.process);
    }
    for (const auto& process : founders)
        find(process)->founders = founders;
    for (const auto& node : nodes_) {
        const duration delay{pick(static_cast<std::uint64_t>(options_.start_spread.count()) + 1)};
        const auto life = node->life;
        events_.push({now_ + delay, ++order_, [this, &node = *node, life] {
                          if (node.life == life)
                              start(node, {});
                      }});
    }
}

voter_group::node& voter_group::make_node(std::size_t domain)
{
    auto added = std::make_unique<node>();
    added->process = process_id{"p" + std::to_string(nodes_.size())};
    added->domain = failure_domain_id{"d" + std::to_string(domain)};
    added->voter = voter_id{"v" + std::to_string(++last_voter_)};
    domains_[added->process] = added->domain;
    nodes_.push_back(std::move(added));
    return *nodes_.back();
}

void voter_group::start(node& self, replica_log log)
{
    ++self.life;
    if (!self.founders.empty() && log.last_index().value() == 0) {
        self.voter = founder_voter(self.process, self.founders);
        log.append(initial_log_batch(founder_voters(self.founders)).entries.front());
    }
    self.commands = 0;
    self.syncing = false;
    self.dirty = false;
    self.after_sync.clear();
    replica_start start;
    start.self = self.voter;
    start.hard = hard_state{term{log.last_index().value() > 0 ? 1U : 0U}, voter_id{}};
    if (self.synced_hard.current_term > start.hard.current_term)
        start.hard = self.synced_hard;
    self.synced_hard = start.hard;
    self.synced_log = log;
    self.announcements.clear();
    start.log = std::move(log);
    start.chart = &chart_;
    start.seed = random_();
    if (options_.needs_snapshot)
        start.options.retained_log_bytes = 0;
    self.core = std::make_unique<replica>(make_replica(std::move(start), now_));
    tick_and_plan(self);
    announce(self);
}

void voter_group::schedule(node& self, duration delay, std::function<void(node&)> action)
{
    const auto life = self.life;
    events_.push({now_ + delay, ++order_, [this, &self, life, action = std::move(action)] {
                      if (self.life != life || !self.core)
                          return;
                      if (now_ < self.frozen_until)
                          return schedule(self, self.frozen_until - now_, action);
                      action(self);
                  }});
}

void voter_group::run_for(duration span)
{
    const auto until = now_ + span;
    const auto first_proposal = now_;
    while (now_ < until) {
        const auto next_proposal =
            first_proposal + ((now_ - first_proposal) / proposal_interval + 1) * proposal_interval;
        const auto stop = std::min(until, next_proposal);
        while (!events_.empty() && events_.top().when <= stop) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        now_ = stop;
        propose_at_leader();
    }
}

void voter_group::propose_at_leader()
{
    for (const auto& node : nodes_) {
        if (node->core && node->core->leads && now_ >= node->frozen_until) {
            std::vector<log_index> indexes;
            process_effects(*node, propose(*node->core, now_, {"command"}, indexes));
        }
    }
}

void voter_group::tick_and_plan(node& self)
{
    process_effects(self, tick(*self.core, now_));
    const bool plans = (now_.time_since_epoch() / tick_interval) %
                           static_cast<std::int64_t>(plan_interval / tick_interval) ==
                       0;
    if (plans)
        maintain_voters(self);
    schedule(self, tick_interval, [this](node& later) { tick_and_plan(later); });
}

void voter_group::maintain_voters(node& self)
{
    if (!may_read(*self.core, now_))
        return;
    const auto change = plan_voter_change(make_voter_plan_input(
        *self.core, now_, recently_announced(self), domains_, options_.voters));
    if (!change)
        return;
    refusal_reason reason;
    process_effects(self, change_voters(*self.core, now_, *change, reason));
    voter_changes_ += reason.empty() ? 1 : 0;
}

std::map<voter_id, process_id> voter_group::recently_announced(const node& self) const
{
    std::map<voter_id, process_id> announced;
    for (const auto& [process, last] : self.announcements) {
        if (now_ - last.received_at < bootstrap_message_ttl)
            announced.emplace(last.message.voter, process);
    }
    return announced;
}

voter_contacts voter_group::contacts_at(const process_id& process) const
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                    [&](const auto& node) { return node->process == process; });
    return count_contacts(*(*found)->core, recently_announced(**found));
}

void voter_group::announce(node& self)
{
    if (needs_announcement(*self.core)) {
        const bootstrap_message message{self.process, self.voter,
                                        self.core->log.last_index().value() > 0};
        for (const auto& other : nodes_) {
            if (!other->core || other->process == self.process)
                continue;
            if (options_.forms_ledger)
                send_announcement(*other, message);
            else
                other->announcements[self.process] = {message, now_};
        }
    }
    schedule(self, announcement_interval, [this](node& later) { announce(later); });
}

void voter_group::send_announcement(node& to, const bootstrap_message& message)
{
    if (now_ < to.unreachable_until || pick(1000) < options_.lost)
        return;
    schedule(to, duration{500 + pick(1'500)}, [this, message](node& receiver) {
        receiver.announcements[message.process] = {message, now_};
    });
}

void voter_group::check_committed(const log_entry& entry)
{
    const auto& first = committed_.emplace(entry.index, entry).first->second;
    GN_INVARIANT(first.entry_term == entry.entry_term && first.payload == entry.payload,
                 {"seed", options_.seed}, {"index", entry.index});
}

void voter_group::process_effects(node& self, effects done)
{
    if (done.installed) {
        self.commands = std::stoull(done.installed->data);
        self.dirty = true;
    }
    elected_ += done.role_changed && self.core->leads ? 1 : 0;
    self.dirty = self.dirty || done.hard || done.truncate_after || !done.entries.empty();
    for (const auto& message : done.messages)
        send(self, message);
    for (auto& message : done.after_sync)
        self.after_sync.push_back(std::move(message));
    for (const auto& entry : done.committed) {
        check_committed(entry);
        self.commands += entry.kind == entry_kind::command ? 1 : 0;
        if (self.core->leads)
            acknowledged_ = std::max(acknowledged_, self.commands);
        if (entry.kind == entry_kind::voters)
            schedule(self, duration{}, [this](node& later) { maintain_voters(later); });
    }
    if (done.snapshot_needed && self.core->leads)
        process_effects(self, offer_snapshot(*self.core, now_, snapshot_of(self.commands)));
    if (options_.needs_snapshot)
        compact_log(*self.core, self.core->applied);
    start_sync(self);
}

void voter_group::start_sync(node& self)
{
    if (self.syncing)
        return;
    auto ready = std::exchange(self.after_sync, {});
    if (!std::exchange(self.dirty, false)) {
        for (const auto& message : ready)
            send(self, message);
        return;
    }
    self.syncing = true;
    duration sync_time{6'000 + pick(6'000)};
    if (self.sync_time > duration{})
        sync_time = self.sync_time;
    const bool restarts = options_.forms_ledger;
    schedule(self, sync_time,
             [this, ready = std::move(ready), hard = self.core->hard,
              log = restarts ? self.core->log : replica_log{}](node& synced) {
                 synced.syncing = false;
                 synced.synced_hard = hard;
                 synced.synced_log = log;
                 for (const auto& message : ready)
                     send(synced, message);
                 start_sync(synced);
             });
}

void voter_group::send(node& from, const peer_message& message)
{
    for (const auto& to : nodes_) {
        if (to->voter != message.to || !to->core)
            continue;
        const bool own = to.get() == &from;
        if (!own && (now_ < to->unreachable_until || pick(1000) < options_.lost))
            return;
        const duration latency{own ? 0 : 500 + pick(1'500)};
        schedule(*to, latency, [this, message](node& receiver) {
            process_effects(receiver, receive(*receiver.core, now_, message));
        });
    }
}

process_id voter_group::add_process(std::size_t domain)
{
    auto& added = make_node(domain);
    added.unreachable_until = now_ + options_.reconnect_delay;
    start(added, {});
    return added.process;
}

void voter_group::remove(const process_id& process)
{
    auto* node = find(process);
    ++node->life;
    node->core.reset();
}

void voter_group::wipe(const process_id& process, duration down)
{
    remove(process);
    auto* node = find(process);
    node->voter = voter_id{"v" + std::to_string(++last_voter_)};
    node->founders.clear();
    node->synced_hard = {};
    node->synced_log = {};
    const auto life = node->life;
    events_.push({now_ + down, ++order_, [this, node, life] {
                      if (node->life != life)
                          return;
                      node->unreachable_until = now_ + options_.reconnect_delay;
                      start(*node, {});
                  }});
}

void voter_group::restart(const process_id& process, duration down)
{
    remove(process);
    auto* node = find(process);
    const auto life = node->life;
    events_.push({now_ + down, ++order_, [this, node, life] {
                      if (node->life == life)
                          start(*node, node->synced_log);
                  }});
}

std::vector<process_id> voter_group::processes() const
{
    std::vector<process_id> started;
    for (std::size_t index = 0; index < options_.voters; ++index)
        started.push_back(nodes_[index]->process);
    return started;
}

void voter_group::freeze(const process_id& process, duration span)
{
    find(process)->frozen_until = now_ + span;
}

void voter_group::cut_incoming(const process_id& process)
{
    find(process)->unreachable_until = time_point::max();
}

void voter_group::cut_incoming(const process_id& process, duration span)
{
    find(process)->unreachable_until = now_ + span;
}

void voter_group::slow_disk(const process_id& process, duration sync_time)
{
    find(process)->sync_time = sync_time;
}

voter_group::node* voter_group::find(const process_id& process)
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                    [&](const auto& node) { return node->process == process; });
    return found->get();
}

const voter_group::node* voter_group::leading() const
{
    for (const auto& node : nodes_) {
        if (node->core && now_ >= node->frozen_until && may_read(*node->core, now_))
            return node.get();
    }
    return nullptr;
}

process_id voter_group::leader() const
{
    const auto* node = leading();
    return node == nullptr ? process_id{} : node->process;
}

process_id voter_group::some_follower() const
{
    const auto set = voters();
    for (const auto& [voter, process] : set.voters) {
        if (process != leader() && is_running(process))
            return process;
    }
    return {};
}

std::size_t voter_group::domain_of(const process_id& process) const
{
    return std::stoul(domains_.at(process).value().substr(1));
}

voter_set voter_group::voters() const
{
    const auto* node = leading();
    return node == nullptr ? voter_set{} : node->core->log.voters();
}

bool voter_group::is_running(const process_id& process) const
{
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
        return node->process == process && node->core && now_ >= node->frozen_until;
    });
}

bool voter_group::tolerates_next_loss() const
{
    const auto* node = leading();
    if (node == nullptr || node->core->log.voters_index() > node->core->committed)
        return false;
    const auto set = node->core->log.voters();
    return set.voters.size() == options_.voters && !is_joint(set) &&
           std::all_of(set.voters.begin(), set.voters.end(), [&](const auto& member) {
               return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& other) {
                   return other->voter == member.first && is_running(other->process);
               });
           });
}

std::size_t voter_group::most_voters_in_a_domain() const
{
    std::map<failure_domain_id, std::size_t> counts;
    const auto set = voters();
    for (const auto& [voter, process] : set.voters)
        ++counts[domains_.at(process)];
    std::size_t most = 0;
    for (const auto& [domain, count] : counts)
        most = std::max(most, count);
    return most;
}

std::size_t voter_group::held_commands() const
{
    const auto* node = leading();
    return node == nullptr ? 0 : node->commands;
}

} // namespace galenaturn::ledger
