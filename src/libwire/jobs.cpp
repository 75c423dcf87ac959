#include "jobs.h"

#include <algorithm>

namespace galenaturn::wire {

namespace {

constexpr std::size_t max_steps = 64;
constexpr std::uint64_t max_tasks = 20'000;
constexpr std::size_t max_text_bytes = 64 << 10;

std::string check_step(const job_spec& spec, std::size_t index)
{
    const auto& step = spec.steps[index];
    const auto step_name = "step " + std::to_string(index);
    if (step.count == 0)
        return step_name + " has no tasks";
    const auto& demand = step.demand;
    if (demand.processors.value() < 0 || demand.memory.value() < 0 ||
        demand.accelerators.value() < 0)
        return step_name + " has a negative size";
    const bool ordered = std::all_of(step.after.begin(), step.after.end(),
                                     [&](std::uint32_t earlier) { return earlier < index; });
    return ordered ? std::string{} : step_name + " comes after a step that is not an earlier one";
}

} // namespace

std::ostream& operator<<(std::ostream& out, const task_ref& task)
{
    return out << task.job << '.' << task.occurrence << '.' << task.step << '.' << task.index;
}

std::uint32_t occurrences_of(const job_spec& spec)
{
    return std::max<std::uint32_t>(1, spec.schedule.occurrences);
}

std::size_t tasks_of_occurrence(const job_spec& spec)
{
    std::size_t tasks = 0;
    for (const auto& step : spec.steps)
        tasks += step.count;
    return tasks;
}

std::optional<std::size_t> position_of(const job_spec& spec, const task_ref& task)
{
    if (task.occurrence >= occurrences_of(spec) || task.step >= spec.steps.size() ||
        task.index >= spec.steps[task.step].count)
        return std::nullopt;
    std::size_t position = task.occurrence * tasks_of_occurrence(spec) + task.index;
    for (std::size_t step = 0; step < task.step; ++step)
        position += spec.steps[step].count;
    return position;
}

std::optional<task_ref> task_at(const job_spec& spec, const submission_id& job,
                                std::size_t position)
{
    const auto tasks = tasks_of_occurrence(spec);
    if (tasks == 0 || position >= tasks * occurrences_of(spec))
        return std::nullopt;
    auto index = position % tasks;
    std::uint32_t step = 0;
    for (; index >= spec.steps[step].count; ++step)
        index -= spec.steps[step].count;
    return task_ref{job, static_cast<std::uint32_t>(position / tasks), step,
                    static_cast<std::uint32_t>(index)};
}

std::string check_job(const job_spec& spec)
{
    if (spec.steps.empty())
        return "the job has no steps";
    if (spec.steps.size() > max_steps)
        return "the job has more than 64 steps";
    if (spec.text.size() > max_text_bytes)
        return "the text of the job is larger than 64 KiB";
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        if (auto problem = check_step(spec, index); !problem.empty())
            return problem;
        tasks += spec.steps[index].count;
    }
    if (tasks * occurrences_of(spec) > max_tasks)
        return "the job has more than 20000 tasks";
    return {};
}

job_response unavailable_response(std::string reason)
{
    // An election takes less than a second if a majority of the voters can communicate.
    constexpr std::chrono::seconds election_retry_delay{1};
    job_response response;
    response.status = job_response_status::unavailable;
    response.retry_after = election_retry_delay;
    response.reason = std::move(reason);
    return response;
}

const char* to_string(job_phase phase)
{
    switch (phase) {
    case job_phase::open:
        return "open";
    case job_phase::succeeded:
        return "succeeded";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

const char* to_string(crash_suspicion suspicion)
{
    switch (suspicion) {
    case crash_suspicion::cleared:
        return "cleared";
    case crash_suspicion::suspect:
        return "suspect";
    case crash_suspicion::only_suspect:
        return "only_suspect";
    }
    return "unknown";
}

const char* to_string(job_verb verb)
{
    switch (verb) {
    case job_verb::submit:
        return "submit";
    case job_verb::show:
        return "show";
    case job_verb::cancel:
        return "cancel";
    case job_verb::count:
        return "count";
    }
    return "unknown";
}

const char* to_string(job_response_status status)
{
    switch (status) {
    case job_response_status::ok:
        return "ok";
    case job_response_status::unknown_queue:
        return "unknown_queue";
    case job_response_status::unknown_job:
        return "unknown_job";
    case job_response_status::overloaded:
        return "overloaded";
    case job_response_status::unavailable:
        return "unavailable";
    case job_response_status::rejected:
        return "rejected";
    case job_response_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace galenaturn::wire
