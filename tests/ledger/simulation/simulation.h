#pragma once

#include "fakedisk.h"

#include <galenaturn/ledger.h>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace galenaturn::ledger {

struct simulation_options {
    std::uint64_t seed{0};
    std::size_t processes{3};
    std::uint64_t steps{20'000};
    replica_faults faults;
    /** Slow links make rival candidates of one term more frequent. */
    duration max_latency{std::chrono::milliseconds{7}};
    /** Shares of messages that are lost, duplicated and delayed, in thousandths. */
    unsigned lost{20};
    unsigned duplicated{20};
    unsigned delayed{40};
    /** Share of syncs that take up to max_stall_us, in thousandths. */
    unsigned stalled{0};
    bool crashes{true};
    bool partitions{true};
    bool voter_changes{true};
    /** Whenever a disk is lost, all other processes lose power at the same moment. */
    bool power_lost_with_disks{false};
    /**
     * Processes are suspended for up to some seconds, leaders more often, also several at once and
     * one again right after it woke.
     */
    bool suspensions{false};
    /** The clocks leave out the time of suspensions, so no lease ends by them. */
    bool clocks_omit_suspensions{false};
    /** Leaders confirm reads by rounds of heartbeats. */
    bool confirmed_reads{false};
    /** Whether reads under a lease are checked; they need true clocks. */
    bool checks_leases{true};
};

struct simulation_result {
    /** The violated invariant; empty if all held. */
    std::string violation;
    /** The last events before the violation. */
    std::vector<std::string> trace;
    std::uint64_t steps{0};
    std::uint64_t commits{0};
    std::uint64_t elections{0};
    std::uint64_t crashes{0};
    std::uint64_t snapshots_installed{0};
    std::uint64_t voter_changes{0};
    std::uint64_t disks_lost{0};
    std::uint64_t power_losses{0};
    /** How often a leader has ceased to lead since its disk completed no write. */
    std::uint64_t leaders_with_hung_disk{0};
    std::uint64_t fresh_reads{0};
    std::uint64_t confirmed_reads{0};
    /** Reads that were begun at a leader and not confirmed in its term. */
    std::uint64_t refused_reads{0};
    std::uint64_t write_races_won{0};
    std::uint64_t suspensions{0};
    std::uint64_t suspended_leaders{0};
};

/** Thrown when an invariant is violated. */
struct violation_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** A read that waits for a round, and what had been acknowledged when it arrived. */
struct waiting_read {
    std::uint64_t round{0};
    term begun_in;
    log_index acknowledged_index;
    catalogue_version acknowledged_version;
};

/** One process with its replica, its disk and its own clock. */
struct sim_node {
    process_id process;
    voter_id voter;
    fake_disk disk;
    std::unique_ptr<replica> core;
    ledger_state state;
    /** Messages to send after the next sync, and after the running one. */
    std::vector<peer_message> messages_for_next_sync;
    std::vector<peer_message> messages_of_current_sync;
    std::vector<waiting_read> reads;
    /** Number of starts and crashes; events of an earlier incarnation are ignored. */
    std::uint64_t incarnation{0};
    /** How much faster its clock runs; negative if slower. */
    std::int64_t clock_skew_thousandths{0};
    /** Highest index at which this process has served a read, over all its incarnations. */
    log_index last_read_index;
    time_point suspended_until;
    /** Share of the messages from others that are lost while it is suspended, in thousandths. */
    unsigned lost_while_suspended{0};
    /** The time that its clock has left out. */
    duration omitted{};

    [[nodiscard]] bool alive() const { return core != nullptr; }
};

/**
 * Simulates a group of replicas: the network loses, delays, reorders and duplicates messages and is
 * partitioned, disks lose unsynced writes, and clocks run at different rates. Deterministic for a
 * given seed.
 */
class simulation {
public:
    explicit simulation(const simulation_options& options);

    /** Runs all steps, then ends all failures and checks that the group still works. */
    simulation_result run();

private:
    enum class event_kind : std::uint8_t {
        tick,
        deliver,
        synced,
        client,
        fault,
        crash,
        restart,
        suspend,
        wake
    };
    struct event {
        time_point when;
        std::uint64_t order{0};
        event_kind kind{event_kind::tick};
        std::size_t node{0};
        std::uint64_t incarnation{0};
        peer_message message;
        std::size_t sender{0};

        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    // simulation.cpp: events, network, disks.
    void form();
    void start(std::size_t node_index);
    void schedule(event_kind kind, std::size_t node, duration delay);
    void step();
    void carry_out(const event& next);
    void carry_out_at(sim_node& node, const event& next);
    void retransmit(event next);
    void process_effects(std::size_t node_index, effects done);
    void apply(std::size_t node_index, const log_entry& entry);
    void start_sync(std::size_t node_index);
    void send_after_sync(std::size_t node_index);
    void post(std::size_t from, const peer_message& message);
    void compact_log_if_large(std::size_t node_index);
    [[nodiscard]] bool is_quiet(const sim_node& node) const;
    [[nodiscard]] bool is_suspended(const sim_node& node) const;
    [[nodiscard]] time_point local_time(const sim_node& node) const;
    [[nodiscard]] std::size_t node_of(const voter_id& voter) const;
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    bool chance(unsigned thousandths) { return pick(1000) < thousandths; }

    // simfaults.cpp: client requests and injected failures.
    void act_as_client(std::size_t node_index);
    void start_read(std::size_t node_index);
    wire::command make_command(const ledger_state& seen);
    void inject_fault();
    void crash(std::size_t node_index);
    void lose_disk(std::size_t node_index);
    void suspend_some();
    void suspend(std::size_t node_index);
    /** Lets an event at a suspended process wait until it wakes, or loses it. */
    void postpone(event next);
    void wake(std::size_t node_index);
    void cut_links();
    void change_some_voter();
    void heal();

    // simchecks.cpp: the invariants.
    void check_leader(std::size_t node_index);
    void check_committed(std::size_t node_index, const log_entry& entry);
    void check_outcome(std::size_t node_index, const log_entry& entry,
                       const wire::command_request& request, const wire::command_response& response,
                       const applied_change& change);
    void check_state(std::size_t node_index, log_index index);
    void check_reads(std::size_t node_index);
    void check_confirmed_reads(std::size_t node_index);
    [[nodiscard]] bool quorum_survives_disk_loss(std::size_t node_index) const;
    void check_convergence();
    void require(bool holds, const std::string& invariant);
    void add_trace_line(const std::string& what);

    simulation_options options_;
    state_chart chart_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t next_order_{0};
    std::priority_queue<event> events_;
    std::vector<sim_node> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    time_point cut_until_;
    std::set<voter_id> lost_voters_;
    /** Open requests, which a client may resend. */
    std::vector<wire::command_request> commands_;
    std::uint64_t last_request_{0};
    std::uint64_t last_voter_{0};
    bool healed_{false};

    std::map<term, voter_id> leaders_;
    struct committed_entry {
        term entry_term;
        std::uint64_t digest{0};
        /** Term of the leader that committed it. */
        term committed_in;
    };
    std::map<log_index, committed_entry> committed_;
    std::map<log_index, std::uint64_t> state_digests_;
    std::map<catalogue_version, request_id> write_winners_;
    std::map<task_id, wire::task_outcome> outcomes_;
    catalogue_version acknowledged_version_;
    log_index acknowledged_index_;

    std::vector<std::string> trace_;
    simulation_result result_;
};

/** Returns the options for a seed: 3 to 5 processes, slow links in every fourth run. */
simulation_options options_for_seed(std::uint64_t seed);
/** The same with suspensions, which are the only failures in every second run. */
simulation_options suspension_options(std::uint64_t seed);
/** Runs one simulation; a failed GN_INVARIANT of the code is a violation too. */
simulation_result run_simulation(const simulation_options& options);

} // namespace galenaturn::ledger
