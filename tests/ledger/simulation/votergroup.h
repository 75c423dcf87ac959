#pragma once

#include <galenaturn/ledger.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::ledger {

struct voter_group_options {
    std::uint64_t seed{1};
    std::size_t voters{3};
    std::size_t domains{3};
    /** Share of messages that are lost, in thousandths. */
    unsigned lost{0};
    /** Compact the log so far that a newcomer needs a snapshot. */
    bool needs_snapshot{false};
    /** A process that starts during the run receives no messages of voters for this time. */
    duration reconnect_delay{};
    /** The processes start empty, within `start_spread`, and form a ledger. */
    bool forms_ledger{false};
    duration start_spread{std::chrono::milliseconds{300}};
    /** Number of further processes that are no founders. */
    std::size_t newcomers{0};
};

/** Returns options that vary with the seed: the number of voters, and lost messages. */
voter_group_options varied_options(std::uint64_t seed);
/** The same for processes that start empty, with further ones at some seeds. */
voter_group_options formation_options(std::uint64_t seed);

/**
 * Control processes in virtual time whose leader maintains the voters by plan_voter_change, as the
 * daemon does. Processes are frozen, removed for good, lose their disk or are added by the test.
 */
class voter_group {
public:
    explicit voter_group(const voter_group_options& options);

    void run_for(duration span);
    /** Starts an empty process in a failure domain. Returns its name. */
    process_id add_process(std::size_t domain);
    /** Stops a process for good. */
    void remove(const process_id& process);
    /** Stops a process, which starts again with an empty disk after `down`. */
    void wipe(const process_id& process, duration down);
    /** Stops a process, which starts again with what it had synced after `down`. */
    void restart(const process_id& process, duration down);
    void freeze(const process_id& process, duration span);
    /** Drops all messages to a process, while those that it sends arrive. */
    void cut_incoming(const process_id& process);
    void cut_incoming(const process_id& process, duration span);
    /** Each sync of a process takes this long from now on. */
    void slow_disk(const process_id& process, duration sync_time);
    /** Returns how often a replica has become or ceased to be leader. */
    [[nodiscard]] std::size_t elected() const { return elected_; }

    /** Returns the processes that were started first, in any order. */
    [[nodiscard]] std::vector<process_id> processes() const;
    /** Returns the process that leads with a valid lease, or an empty name. */
    [[nodiscard]] process_id leader() const;
    [[nodiscard]] process_id some_follower() const;
    /** Returns the number of the failure domain of a process. */
    [[nodiscard]] std::size_t domain_of(const process_id& process) const;
    /** Returns the committed voter set of the leader. */
    [[nodiscard]] voter_set voters() const;
    [[nodiscard]] bool is_running(const process_id& process) const;
    /** Returns whether all voters run, hold the log and number `2f + 1`. */
    [[nodiscard]] bool tolerates_next_loss() const;
    /** Returns the largest number of voters of the leader's set in one failure domain. */
    [[nodiscard]] std::size_t most_voters_in_a_domain() const;
    /** Returns how many committed commands the leader holds, and how many were acknowledged. */
    [[nodiscard]] std::size_t held_commands() const;
    [[nodiscard]] std::size_t acknowledged_commands() const { return acknowledged_; }
    /** Returns what a process without a leader knows of the other voters. */
    [[nodiscard]] voter_contacts contacts_at(const process_id& process) const;
    [[nodiscard]] std::size_t voter_changes() const { return voter_changes_; }
    [[nodiscard]] duration elapsed() const { return now_ - time_point{std::chrono::hours{1}}; }

private:
    struct node {
        process_id process;
        failure_domain_id domain;
        voter_id voter;
        std::unique_ptr<replica> core;
        /** Changes with each start and stop; events of an earlier life are ignored. */
        std::uint64_t life{0};
        time_point frozen_until;
        /** Messages of voters to this process are dropped until then. */
        time_point unreachable_until;
        /** Time of each sync; 0 for the usual one. */
        duration sync_time{};
        std::vector<peer_message> after_sync;
        bool dirty{false};
        bool syncing{false};
        /** Empty after the loss of the disk. */
        std::set<process_id> founders;
        /** What a sync has made durable. */
        hard_state synced_hard;
        replica_log synced_log;
        std::size_t commands{0};
        std::map<process_id, bootstrap_state::received_message> announcements;
    };
    struct event {
        time_point when;
        std::uint64_t order{0};
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    node& make_node(std::size_t domain);
    void start(node& self, replica_log log);
    void start_empty();
    void send_announcement(node& to, const bootstrap_message& message);
    /** Fails if another entry was committed at this index before: there would be two ledgers. */
    void check_committed(const log_entry& entry);
    /** Runs `action` unless the process has stopped; later, if it is frozen. */
    void schedule(node& self, duration delay, std::function<void(node&)> action);
    void tick_and_plan(node& self);
    void maintain_voters(node& self);
    void announce(node& self);
    void propose_at_leader();
    void process_effects(node& self, effects done);
    void start_sync(node& self);
    void send(node& from, const peer_message& message);
    [[nodiscard]] std::map<voter_id, process_id> recently_announced(const node& self) const;
    [[nodiscard]] node* find(const process_id& process);
    [[nodiscard]] const node* leading() const;
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }

    voter_group_options options_;
    state_chart chart_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t order_{0};
    std::priority_queue<event> events_;
    /** Nodes stay here after they were removed, so that references remain valid. */
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<process_id, failure_domain_id> domains_;
    std::map<log_index, log_entry> committed_;
    std::size_t acknowledged_{0};
    std::size_t voter_changes_{0};
    std::size_t elected_{0};
    std::uint64_t last_voter_{0};
};

} // namespace galenaturn::ledger
