#pragma once

#include "controld/jobservice.h"

#include <galenaturn/daemon.h>
#include <galenaturn/ledger.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace galenaturn::controld {

/** A stop command as a worker received it. */
struct received_stop {
    schedule::stop_command command;
    /** Number of scheduling passes that the leader had completed by then. */
    std::uint64_t passes{0};
};

/**
 * The job service of a leader, with a ledger that applies commands immediately and workers in the
 * same process that carry out every command.
 */
class test_leader {
public:
    using worker_factory =
        std::function<std::unique_ptr<worker_commands>(boost::asio::io_context& io)>;

    explicit test_leader(std::size_t workers);
    test_leader(job_settings settings, wire::record_workers fleet,
                const worker_factory& make_workers);
    ~test_leader();
    test_leader(const test_leader&) = delete;
    test_leader& operator=(const test_leader&) = delete;

    /** Returns the answer to a caller's request for the number of waiting jobs. */
    wire::job_response count_jobs();
    /** Hands in a caller's request for a job of the only queue. Its answer comes later. */
    std::shared_ptr<std::optional<wire::job_response>> request(wire::job_verb verb,
                                                               const std::string& name);
    /** The ledger refuses the next command that records workers. */
    void refuse_next_workers() { refuses_workers_ = true; }
    /** While held, commands wait for the disk; then they are applied in their order. */
    void hold_commands(bool hold) { commands_held_ = hold; }
    /** Value of a counter of requests that were refused. */
    [[nodiscard]] std::uint64_t refused(const std::string& reason);
    /** The operator publishes a version without any queue. */
    void publish(std::uint64_t version) { apply(wire::publish_queues{version, {}}); }
    /** Accepts a job with one task. */
    void submit(const std::string& name, bool long_running = true);
    /** The ledger has forgotten the worker. */
    void retire(const worker_id& worker) { apply(wire::record_workers{{}, {worker}}); }
    void cancel(const std::string& name);
    /** Accepts a job with one step of this many tasks. */
    void submit_tasks(const std::string& name, std::uint32_t count,
                      millicores each = millicores{10});
    /** Lets a run on any worker succeed. */
    void end_a_run();
    /** Lets all runs succeed at the same time. */
    void end_all_runs();
    /** Workers list this many ends at a time. */
    void limit_listed_ends(std::size_t most) { max_listed_ends_ = most; }
    /** From now on the ledger does not answer commands that record completions. */
    void stall_completions() { completions_stalled_ = true; }
    void resume_completions() { completions_stalled_ = false; }
    /** Runs the event loop until the condition holds. Returns false after `limit`. */
    bool run_until(const std::function<bool()>& condition,
                   duration limit = std::chrono::seconds{10});
    /** Runs what the event loop can run without waiting. */
    void run_ready_handlers() { shared_.io.poll(); }
    /** Runs the event loop until a scheduling pass has ended. */
    bool run_until_pass();
    [[nodiscard]] std::uint64_t passes();
    /** Runs the event loop for about this time. */
    void run_for(duration span);

    /** Begins to count how often the event loop comes round. */
    void count_rounds();
    [[nodiscard]] std::uint64_t rounds() const { return rounds_; }

    /** The leader is lost; the next one knows what the ledger has recorded. */
    void begin_next_term();
    /** A worker announces itself. */
    void announce(const wire::worker_record& worker);
    /** A worker announces that it is about to end. */
    void announce_end(const worker_id& worker);

    /** The lease of the leader lapses, or is renewed. */
    void set_leads(bool leads) { leads_ = leads; }
    /** Whether a quorum confirms that this process leads, whatever its lease says. */
    void set_quorum_confirms(bool confirms) { quorum_confirms_ = confirms; }
    /** How often a quorum was asked. */
    [[nodiscard]] std::uint64_t confirmations() const { return confirmations_; }
    /** Workers carry out starts and stops at once, but reply only once they are not held. */
    void hold_start_replies(bool hold) { start_replies_held_ = hold; }
    void hold_stop_replies(bool hold) { stop_replies_held_ = hold; }

    /** The ledger has recorded that all tasks of the job have succeeded. */
    [[nodiscard]] bool has_succeeded(const std::string& name) const;
    /** The ledger has the worker, so that the next leader asks it for its runs. */
    [[nodiscard]] bool knows(const worker_id& worker) const
    {
        return state_.workers.contains(worker);
    }
    /** Tasks that run on any worker. */
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] const std::vector<received_stop>& stops() const { return stops_; }
    /** Leases that the worker of the last ended run has received in polls since then. */
    [[nodiscard]] std::size_t leases_since_end() const { return leases_since_end_; }
    /** Polls of that worker since then. */
    [[nodiscard]] std::size_t polls_since_end() const { return polls_since_end_; }
    /** The highest completion number that this worker may forget. */
    [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
    [[nodiscard]] const std::vector<schedule::start_command>& starts() const { return starts_; }

private:
    class workers_in_process;

    wire::command_response apply(wire::command body);
    boost::asio::awaitable<void> wait_for_turn(std::uint64_t turn);
    void submit_step(const std::string& name, wire::job_step step);

    daemon::context shared_;
    control_hub hub_;
    daemon::roster_service roster_;
    ledger::ledger_state state_;
    std::uint64_t index_{0};
    bool commands_held_{false};
    std::uint64_t commands_received_{0};
    std::uint64_t commands_applied_{0};
    std::uint64_t term_{1};
    std::uint64_t announcements_{0};
    std::map<worker_id, std::map<wire::task_ref, std::uint32_t>> runs_;
    std::map<worker_id, std::vector<schedule::worker_report::ended_run>> ended_;
    std::vector<received_stop> stops_;
    bool completions_stalled_{false};
    std::uint64_t last_completion_{0};
    worker_id ended_on_;
    std::size_t leases_since_end_{0};
    std::size_t polls_since_end_{0};
    std::uint64_t acknowledged_{0};
    std::vector<schedule::start_command> starts_;
    std::uint64_t rounds_{0};
    bool leads_{true};
    bool refuses_workers_{false};
    bool quorum_confirms_{true};
    std::uint64_t confirmations_{0};
    std::size_t max_listed_ends_{std::numeric_limits<std::size_t>::max()};
    bool start_replies_held_{false};
    bool stop_replies_held_{false};
    std::unique_ptr<job_service> service_;
};

} // namespace galenaturn::controld
