#pragma once

#include "controlhub.h"
#include "countermirror.h"
#include "queuetable.h"
#include "workercommands.h"

#include <galenaturn/daemon.h>
#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace galenaturn::controld {

/** Maximum time that a caller waits for the ledger. */
inline constexpr duration ledger_command_timeout = std::chrono::milliseconds{1500};
/** A worker whose latest announcement is older may be gone. */
inline constexpr duration max_announcement_age = std::chrono::seconds{10};

/**
 * Accepts jobs and runs their tasks on workers while this process leads the ledger. The term of the
 * leader is the fencing token of all its commands. Every control process receives announcements and
 * shares them with the others.
 */
class job_service : public daemon::service {
public:
    /**
     * `hub` and `roster` must outlive the service. `read_queues` decodes the queue settings that
     * operators publish.
     */
    job_service(daemon::context& shared, control_hub& hub, daemon::roster_service& roster,
                std::unique_ptr<worker_commands> commands, queue_reader read_queues);
    result<void> start() override;

    /** Handles an announcement that a worker sent to this process. */
    void on_announcement(wire::worker_presence presence);
    /** Handles a request of a caller. Processes that do not lead reply `unavailable`. */
    boost::asio::awaitable<wire::job_response> handle_request(wire::job_request request);

private:
    /** Task and number of a run. */
    using run_key = std::pair<wire::task_ref, std::uint32_t>;

    /** Connection state of one worker in the current term. */
    struct worker_connection {
        /** Tells it from earlier connections to the same worker. */
        std::uint64_t number{0};
        /** The clock of the worker; empty while it is not known whose clock it would be. */
        std::optional<std::chrono::milliseconds> clock;
        time_point clock_read_at;
        time_point last_reply_at;
        std::deque<schedule::start_command> starts;
        std::deque<schedule::stop_command> stops;
        std::deque<schedule::pace_command> paces;
        /** Paces and starts are being sent, one at a time. */
        bool sending{false};
        /** The worker has confirmed that it may forget the completions up to this number. */
        std::uint64_t forgotten_up_to{0};
        /** Number of reports of which completions are being recorded. */
        std::size_t recording{0};
        /** Runs while the next poll waits for that. */
        std::shared_ptr<wire::boot_timer> recording_timer;
        /** The start in flight, whose stop waits for its reply. */
        std::optional<run_key> starting;
        /** Runs with a stop in flight. */
        std::set<run_key> stopping;
    };

    /** Work and delays since the last `leader_load` event. */
    struct interval_load {
        std::uint64_t passes{0};
        std::uint64_t slices{0};
        std::uint64_t candidates{0};
        duration passing{};
        duration longest_pass{};
        duration longest_slice{};
        /** From the end of one pass to the end of the next. */
        duration longest_interval{};
        duration longest_stop_delay{};
        duration longest_accept{};
        duration longest_record{};
        duration longest_tick_delay{};
    };

    // Terms of leadership.
    void begin_term_if_leading();
    void begin_term();
    void end_term(const char* cause);
    [[nodiscard]] bool in_term(std::uint64_t generation) const;
    void on_applied_change(const ledger::applied_change& change);

    // Announcements of workers.
    bool accept_announcement(const wire::worker_presence& presence);
    void queue_for_sharing(const wire::worker_presence& presence);
    void start_share_timer();
    void send_queued_announcements();
    void send_to_controls(wire::frame_kind kind, const std::string& payload);
    void apply_announcement(const wire::worker_presence& presence);
    void update_ledger_workers(std::vector<wire::worker_record> admitted,
                               std::vector<worker_id> retired);
    static boost::asio::awaitable<void>
    record_in_ledger(job_service* self, wire::record_workers changes, std::uint64_t generation);

    // Connections to workers.
    void open_connection(const worker_id& worker);
    static boost::asio::awaitable<void> poll_worker(job_service* self, worker_id worker,
                                                    std::uint64_t connection);
    /** Returns whether the connection of this number is still the one to the worker. */
    [[nodiscard]] bool is_connected(const worker_id& worker, std::uint64_t connection) const;
    boost::asio::awaitable<bool> poll_once(worker_id worker, std::uint64_t number,
                                           std::uint64_t generation);
    boost::asio::awaitable<void> submit_until_recorded(wire::command body, std::size_t items,
                                                       std::uint64_t generation);
    static boost::asio::awaitable<void> record_crash(job_service* self, wire::record_crash crash,
                                                     std::uint64_t generation);
    static boost::asio::awaitable<void>
    record_completions(job_service* self, worker_id worker,
                       std::vector<wire::record_completions::item> items, std::uint64_t read_up_to,
                       std::uint64_t generation);
    /** Waits until the completions of the worker are recorded, but not for long. */
    boost::asio::awaitable<void> await_recording(worker_id worker, std::uint64_t generation);
    /** Logs the leases that have expired, and the starts that outlast them. */
    void log_expired_leases(const std::vector<schedule::expired_lease>& leases,
                            time_point now) const;
    /** Logs the runs that end with the worker. */
    void log_lost_runs(const worker_id& worker, const char* cause) const;
    void retire_worker(const worker_id& worker, const char* cause);
    /** Retires a worker that has left, and at whose address nothing listens any more. */
    void retire_if_gone(const worker_id& worker, const command_reply& reply);
    /** Retires the workers that have left and whose leases have expired since. */
    void retire_ended_departures();
    /**
     * Retires workers that neither respond nor announce themselves, so that a later leader does not
     * wait for them.
     */
    void retire_silent_workers();
    /** Retires the workers again that the ledger still has after their retirement. */
    void repeat_retirements();
    /** Handles that another worker responded in its place, or `next`, its next life. */
    void on_worker_crash(const worker_id& worker, const worker_id& next = {});
    /** Retires the worker in the ledger, which admits others in the same step. */
    void forget_worker(const worker_id& worker, std::vector<wire::worker_record> admitted = {});
    /** Handles that a later life of the worker has replied to a call to an earlier one. */
    void on_other_life(const worker_id& worker, incarnation life);
    void update_clock(worker_connection& connection, const command_reply& reply);
    /**
     * Takes the clock from the reply to a command. Where the clock is that of another life, the
     * reply says nothing of the life that was addressed: its result becomes `none`, and the worker
     * is asked at once which life it is in.
     */
    void check_clock(const worker_id& worker, time_point requested_at, command_reply& reply);
    /** Asks the worker in which life it is. Such a poll is harmless in any life. */
    static boost::asio::awaitable<void> probe_life(job_service* self, worker_id worker,
                                                   std::uint64_t generation);
    /** Returns the end of a lease that begins at `now`, on the clock of the worker. */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    lease_for(const worker_connection& connection, time_point now) const;
    /**
     * Sends what is queued for the worker. While the lease of this leader has lapsed, it stays
     * queued.
     */
    void send_commands(const worker_id& worker);
    /** Sends the commands that were held because the lease of this leader had lapsed. */
    void send_held_commands();
    /** Takes the stops to send now out of the queue. */
    std::vector<schedule::stop_command> take_stops(worker_connection& connection);
    static boost::asio::awaitable<void> send_queued_commands(job_service* self, worker_id worker,
                                                             std::uint64_t generation);
    boost::asio::awaitable<void> send_start(worker_id worker, std::uint64_t generation);
    /** Drops the starts that wait for a worker that does not answer, so that others can run them.
     */
    void drop_queued_starts(const worker_id& worker);
    void drop_start(const schedule::start_command& command, schedule::drop_reason reason);
    static boost::asio::awaitable<void> send_stop(job_service* self, schedule::stop_command command,
                                                  std::uint64_t generation);
    /** Member function that sends a command that does not extend the lease. */
    template <class Command>
    using command_call = boost::asio::awaitable<command_reply> (worker_commands::*)(worker_target,
                                                                                    Command,
                                                                                    command_header);
    /** Sends a command. Returns nothing where it was not sent, or the term has ended since. */
    template <class Command>
    boost::asio::awaitable<std::optional<command_reply>>
    send_command(worker_id worker, std::uint64_t generation, Command command,
                 command_call<Command> method);
    boost::asio::awaitable<void> send_pace(worker_id worker, std::uint64_t generation);

    // Scheduling passes.
    /** Requests a pass, because something has changed. */
    void schedule_pass();
    /** Runs the next slice when it is due. */
    void schedule_slice();
    void run_slice();
    /**
     * Sends the stops and paces that are due and ends the runs whose leases have expired. Separate
     * from passes, which take longer the more work waits.
     */
    void send_due_commands();
    /** The same, once the event that is being handled has ended. */
    void schedule_due_commands();
    /** Queues commands for their workers, skipping workers that are gone. */
    template <class Command>
    void queue_commands(const std::vector<Command>& commands,
                        std::deque<Command> worker_connection::*queue);
    void queue_start(schedule::start_command command);
    /** Sends the start once the ledger has recorded it. */
    static boost::asio::awaitable<void>
    start_suspect(job_service* self, schedule::start_command command, std::uint64_t generation);
    void record_slice(time_point began, bool ends_pass);
    void log_begun_jobs();
    /** Logs the end of a job that is still open in the scheduler. */
    void log_end(const wire::job_record& record, time_point now) const;
    void schedule_tick();
    void log_capacity();
    void log_load();
    void share_tail_model();

    // Requests of callers.
    boost::asio::awaitable<wire::job_response> submit(wire::job_request request,
                                                      wire::queue_settings queue);
    boost::asio::awaitable<wire::job_response> cancel(wire::job_request request, std::string queue);
    /** Refuses a submission that was cancelled before it arrived: nothing of it ever runs. */
    wire::job_response refuse_cancelled(std::string reason);
    /** Refuses to cancel a job that is not known while too many such are recorded. */
    wire::job_response refuse_unknown_cancel(std::string reason);
    wire::job_response show(const wire::job_request& request) const;
    /** Logs what a count of waiting jobs was made of. */
    void log_count(const std::string& queue, std::uint64_t waiting) const;

    daemon::context& shared_;
    control_hub& hub_;
    daemon::roster_service& roster_;
    std::unique_ptr<worker_commands> commands_;
    queue_reader read_queues_;
    queue_table queues_;
    schedule::announced_workers announcements_;
    std::vector<wire::worker_presence> announcements_to_share_;
    bool share_pending_{false};
    /**
     * Number of terms that this process has begun or ended. Asynchronous work keeps the value from
     * its start and stops once it has changed.
     */
    std::uint64_t generation_{0};
    bool term_active_{false};
    term token_;
    time_point term_began_at_;
    schedule::job_scheduler scheduler_;
    schedule::job_counts counts_;
    counter_mirror counters_;
    std::map<worker_id, worker_connection> connections_;
    std::uint64_t last_connection_{0};
    time_point next_retirement_check_;
    /** Workers with commands that are held while the lease of this leader has lapsed. */
    std::set<worker_id> held_workers_;
    bool due_commands_posted_{false};
    schedule::pass_timing timing_;
    /** When the next slice runs, if one is to. */
    std::optional<time_point> slice_due_;
    time_point next_capacity_log_;
    time_point next_model_share_;
    /**
     * Tail model received from the previous leader, so that a new leader does not start without a
     * model.
     */
    schedule::tail_model last_model_;
    wire::boot_timer tick_timer_;
    wire::boot_timer slice_timer_;
    wire::boot_timer share_timer_;
    gauge& open_jobs_;
    gauge& known_workers_;
    gauge& queues_version_;
    /** Seconds since 1970. */
    gauge& queues_since_;
    std::map<wire::job_response_status, counter*> response_counters_;
    counter& submissions_cancelled_before_;
    counter& unknown_cancels_refused_;
    ledger::unknown_cancels unknown_cancels_;
    latency_summary& accept_latency_;
    latency_summary& record_latency_;
    latency_summary& pass_latency_;
    latency_summary& slice_latency_;
    latency_summary& pass_interval_;
    /** From the decision to stop a run until its first stop is sent. */
    latency_summary& stop_delay_;
    latency_summary& tick_delay_;
    /** When the tick timer is due; its delay shows how busy this process is. */
    time_point tick_due_;
    interval_load load_;
};

} // namespace galenaturn::controld
