#pragma once

#include <galenaturn/messages.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaturn::standin {

/** How the tasks of a stand-in worker behave. */
struct task_behaviour {
    /** Duration of a task that runs at full speed. */
    duration run_time = std::chrono::seconds{1};
    duration checkpoint_interval = std::chrono::milliseconds{500};
    /** Jobs whose names contain one of these texts run until they are stopped. */
    std::vector<std::string> long_running_jobs;
    bool fail_all{false};
};

/** One start or end of a task, for the journal. */
struct task_event {
    task_id id;
    epoch assignment;
    bool started{false};
    std::string reason;
};

/** One task on a stand-in worker. */
struct task_state {
    wire::worker_task report;
    resources demand;
    bool long_running{false};
    bool running{false};
    /** The worker ends the task at this time unless the lease is renewed. */
    time_point lease_end;
    /** When `progress` was last updated. */
    time_point advanced;
    time_point checkpointed;
    time_point ended;
    duration progress{};
    /** Share of the demanded processors that the task may use; less than 1 if throttled. */
    double speed{1};
};

/**
 * Runs tasks as the steward (the scheduler of the failure domain) commands. Never runs a task past
 * its lease or under an old epoch.
 */
class worker_tasks {
public:
    explicit worker_tasks(task_behaviour behaviour);

    /** Carries out the commands in the reply to a heartbeat that was sent at `sent`. */
    void apply(const wire::worker_response& response, time_point sent, time_point now);
    /**
     * Advances the running tasks, takes their checkpoints, and ends those that are done or whose
     * lease has expired.
     */
    void advance(time_point now);
    void stop_all(time_point now, const std::string& reason);

    [[nodiscard]] std::vector<wire::worker_task> reports() const;
    [[nodiscard]] std::size_t running() const;
    /** Returns the events since the last call. */
    std::vector<task_event> take_events();

private:
    void start(const wire::worker_command& command, time_point lease_end, time_point now);
    void end(task_state& task, wire::worker_task_state state, const std::string& reason,
             time_point now);
    void advance_task(task_state& task, time_point now);
    static void take_checkpoint(task_state& task, time_point now);
    void forget_ended(time_point now);
    [[nodiscard]] bool is_long_running(const job_id& job) const;

    task_behaviour behaviour_;
    std::map<task_id, task_state> tasks_;
    /** Highest epoch seen for each task; commands with a lower epoch are ignored. */
    std::map<task_id, epoch> highest_epochs_;
    std::vector<task_event> events_;
};

} // namespace galenaturn::standin
