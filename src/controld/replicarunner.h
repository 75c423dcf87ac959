#pragma once

#include "pendingreads.h"

#include <galenaturn/daemon.h>
#include <galenaturn/ledger.h>

#include <boost/asio/thread_pool.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace galenaturn::controld {

/** Payload of a frame between the replicas of two processes. */
using ledger_frame = std::variant<ledger::peer_message, ledger::bootstrap_message>;

constexpr duration missing_leader_report_interval = std::chrono::seconds{4};
constexpr duration lost_voters_report_interval = std::chrono::seconds{4};

/** Metrics of one replica. */
struct replica_counters {
    explicit replica_counters(metrics_registry& metrics);

    counter& commits;
    counter& syncs;
    counter& elections;
    counter& snapshots_offered;
    counter& snapshots_installed;
    /** Leaders of later terms that were elected within the lease of this one. */
    counter& leases_contradicted;
    counter& reads_confirmed;
    counter& reads_refused;
    /** Rounds of heartbeats that were begun for reads. */
    counter& read_rounds;
    gauge& term_number;
    gauge& applied_index;
    gauge& log_bytes;
    /** 1 while this voter has known no leader for some seconds. */
    gauge& leader_missing;
    /** Voters that do not respond to this leader and are not replaced yet. */
    gauge& voters_lost;
};

/** Callbacks of replica_runner. */
struct runner_events {
    /** Called for each committed entry, in order. */
    std::function<void(const ledger::log_entry&)> committed;
    /** Replaces the state by a snapshot. Returns false if the snapshot cannot be decoded. */
    std::function<bool(const std::string& snapshot)> install_snapshot;
    /** Returns a snapshot of the current state. */
    std::function<std::string()> snapshot;
    /** Called when the replica becomes leader or steps down. */
    std::function<void(bool leads)> leadership;
    /** Called when the disk has failed; the replica acknowledges nothing any more. */
    std::function<void()> failed;
    /** Called when a disk write has completed and queued commands can be proposed. */
    std::function<void()> disk_idle;
    /** Returns the process that recently told this one that it leads, or an empty id. */
    std::function<process_id()> reported_leader;
};

/**
 * Runs a replica: calls its timer, sends and receives its messages and writes to its disk. The disk
 * has a thread of its own; all else runs on the thread of the io_context.
 */
class replica_runner {
public:
    replica_runner(daemon::context& shared, runner_events events);
    ~replica_runner();
    replica_runner(const replica_runner&) = delete;
    replica_runner& operator=(const replica_runner&) = delete;

    /** Opens the data folder and starts the replica. */
    result<void> start();

    [[nodiscard]] bool running() const { return replica_ != nullptr && !failed_; }
    [[nodiscard]] const ledger::replica& state() const { return *replica_; }
    [[nodiscard]] bool disk_busy() const { return disk_busy_; }
    [[nodiscard]] bool may_read() const;
    /** Returns how much is left of the lease of this leader. */
    [[nodiscard]] duration lease_left() const;
    [[nodiscard]] process_id process_of(const voter_id& voter) const;
    /** Returns the new voter id that a process without a log announced, or an empty id. */
    [[nodiscard]] voter_id newcomer_of(const process_id& process) const;

    std::vector<log_index> propose(std::vector<std::string> commands);
    ledger::refusal_reason change_voters(const ledger::voter_change& change);
    /**
     * Calls `read` once a quorum has confirmed that this process still leads, or with false once
     * it does not. Rests on no clock. The term is the same from this call to that one.
     */
    void confirm_leadership(pending_reads::answer read);
    /** Starts the next voter change, if any, towards the number of voters in the settings. */
    void maintain_voters();

private:
    /** Writes to the disk, in this order: snapshot, new log, batches. */
    struct disk_job {
        std::optional<ledger::state_snapshot> snapshot;
        std::optional<ledger::log_batch> new_log;
        std::vector<ledger::log_batch> batches;
    };

    result<void> open_folder();
    void on_frame(const wire::hello& from, const std::string& payload);
    void on_bootstrap_message(const ledger::bootstrap_message& message);
    /** Queues the effects of a step; executes all queued ones in order, unless called by itself. */
    void process_effects(ledger::effects done);
    void execute(ledger::effects done);
    void on_effects_executed();
    /** Answers the reads that are decided, and begins a round for those that wait for one. */
    void answer_reads();
    void install_snapshot(ledger::state_snapshot snapshot);
    void queue_writes(ledger::effects& done);
    void start_disk_write();
    void on_written(const result<void>& outcome, std::vector<ledger::peer_message> released);
    static result<void> write(ledger::storage& disk, const std::deque<disk_job>& jobs);
    void send(const ledger::peer_message& message);
    void compact_log_if_large();
    void schedule_tick();
    /** Returns the control processes that the settings list. */
    [[nodiscard]] std::vector<process_id> listed_processes() const;
    /** Returns the seeds if this process is one of them and forms a new ledger with them. */
    [[nodiscard]] std::set<process_id> founders() const;
    [[nodiscard]] voter_id new_voter() const;
    /** Writes the first entry of a new ledger, if this process is a founder with an empty log. */
    result<void> write_founder_entry();
    [[nodiscard]] ledger::voter_plan_input voter_plan_input() const;
    /** Announces this process at intervals, as long as the leader does not replicate to it. */
    void announce_bootstrap();
    /** Returns the voters that other processes announced recently, members included. */
    [[nodiscard]] std::map<voter_id, process_id> recently_announced() const;
    /** Logs at intervals which voters are missing while there is no leader. */
    void report_missing_leader();
    /** Logs at intervals which voters do not respond to this leader. */
    void report_lost_voters();
    void send_bootstrap_message();
    void try_to_form_ledger();
    void make_replica();

    daemon::context& shared_;
    runner_events events_;
    replica_counters counters_;
    state_chart chart_;
    std::unique_ptr<ledger::storage> disk_;
    std::unique_ptr<ledger::replica> replica_;
    ledger::bootstrap_state bootstrap_;
    std::map<voter_id, process_id> routes_;
    std::deque<ledger::effects> effects_;
    bool executing_effects_{false};
    bool snapshot_needed_{false};
    std::deque<disk_job> jobs_;
    std::vector<ledger::peer_message> messages_after_sync_;
    pending_reads reads_;
    std::size_t last_snapshot_bytes_{0};
    bool disk_busy_{false};
    bool failed_{false};
    bool waiting_warning_logged_{false};
    /** Whether this process is a founder that has seen no commit yet. */
    bool founding_{false};
    time_point waiting_warning_due_;
    time_point missing_leader_report_due_;
    ledger::leader_contact leader_contact_{ledger::leader_contact::known};
    /** Whether the present time without contact to the leader has been logged. */
    bool not_contacted_logged_{false};
    time_point lost_voters_report_due_;
    wire::boot_timer tick_timer_;
    wire::boot_timer bootstrap_timer_;
    boost::asio::thread_pool disk_thread_{1};
};

} // namespace galenaturn::controld
