#pragma once

#include <galenaturn/messages.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaturn::standin {

/** How the tasks of a stand-in worker behave. */
struct task_behaviour {
    /** How long a task runs at its full processors. */
    duration run_time = std::chrono::seconds{1};
    duration checkpoint_interval = std::chrono::milliseconds{500};
    /** Jobs whose names hold one of these texts run until they are stopped. */
    std::vector<std::string> endless_jobs;
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
struct held_task {
    wire::worker_task report;
    resources demand;
    bool endless{false};
    bool running{false};
    /** The task is stopped here once this has passed. */
    time_point lease_end;
    time_point advanced;
    time_point checkpointed;
    time_point ended;
    duration progress{};
    /** Share of the demanded processors that a throttle left. */
    double speed{1};
};

/** Runs tasks by the steward's commands. Never runs a task past its lease or under an old epoch. */
class worker_tasks {
public:
    explicit worker_tasks(task_behaviour behaviour);

    /** Carries out the commands of an answer to a heartbeat that was sent at `sent`. */
    void apply(const wire::worker_answer& answer, time_point sent, time_point now);
    /** Advances running tasks, takes checkpoints, ends what is done or whose lease has run out. */
    void advance(time_point now);
    void stop_all(time_point now, const std::string& reason);

    [[nodiscard]] std::vector<wire::worker_task> reports() const;
    [[nodiscard]] std::size_t running() const;
    /** Returns the events since the last call. */
    std::vector<task_event> take_events();

private:
    void start(const wire::worker_command& command, time_point lease_end, time_point now);
    void end(held_task& task, wire::worker_task_state state, const std::string& reason,
             time_point now);
    void advance_task(held_task& task, time_point now);
    static void take_checkpoint(held_task& task, time_point now);
    void forget_ended(time_point now);
    [[nodiscard]] bool is_endless(const job_id& job) const;

    task_behaviour behaviour_;
    std::map<task_id, held_task> tasks_;
    /** The highest epoch seen of each task; a command of a lower one is refused. */
    std::map<task_id, epoch> highest_;
    std::vector<task_event> events_;
};

} // namespace galenaturn::standin
