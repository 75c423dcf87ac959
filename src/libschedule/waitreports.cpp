#include "waitreports.h"

namespace galenaturn::schedule {

namespace {

using std::chrono::seconds;

/** Shorter waits are normal and not worth a ledger command. */
constexpr seconds first_report_after{5};
constexpr seconds repeated_report_interval{30};
constexpr seconds pass_interval{2};

void report_reason(steward_state& steward, const task_entry& task, const std::string& reason)
{
    auto& item = steward.pending_reports[task.record.id];
    if (item.outcome != wire::task_outcome::none || item.released)
        return;
    item.id = task.record.id;
    item.assignment = task.record.assignment;
    item.reason = reason;
}

} // namespace

const char* describe(wait_reason reason)
{
    switch (reason) {
    case wait_reason::none:
        return "";
    case wait_reason::no_worker:
        return "waits: its failure domain has no worker";
    case wait_reason::no_capacity:
        return "waits: no worker of its failure domain has room for it";
    case wait_reason::would_slow_service:
        return "waits: where it fits it would slow a service";
    case wait_reason::hold_ending:
        return "waits: its failure domain is cut off and its hold is ending";
    case wait_reason::predecessor_lease:
        return "waits: leases of the previous steward are not over";
    case wait_reason::backing_off:
        return "waits: pause after a failure";
    case wait_reason::fits_no_worker:
        return "waits: larger than every worker of its failure domain";
    case wait_reason::count:
        break;
    }
    return "waits";
}

void report_long_waits(steward_state& steward, time_point now)
{
    if (now < steward.next_wait_report)
        return;
    steward.next_wait_report = now + pass_interval;
    for (const auto& position : steward.queue) {
        auto& task = steward.tasks.at(position.id);
        const bool due = now >= task.waiting_since + first_report_after &&
                         now >= task.wait_reported_at + repeated_report_interval;
        if (!due || task.blocking_reason == task.reported_wait_reason)
            continue;
        task.reported_wait_reason = task.blocking_reason;
        task.wait_reported_at = now;
        report_reason(steward, task, describe(task.blocking_reason));
    }
}

void clear_reported_wait(steward_state& steward, task_entry& task)
{
    if (task.reported_wait_reason == wait_reason::none || task.withdrawn)
        return;
    task.reported_wait_reason = wait_reason::none;
    report_reason(steward, task, {});
}

} // namespace galenaturn::schedule
