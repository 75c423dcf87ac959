#include "runrecord.h"

#include <algorithm>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

namespace galenaturn::soak {

namespace {

constexpr auto still_running = std::numeric_limits<std::int64_t>::max();

struct run_interval {
    std::string worker;
    std::int64_t run{0};
    std::int64_t begin{0};
    std::int64_t end{still_running};
    std::string how;
    bool acknowledged{false};
};

/** A place in the list of runs of a task. */
struct run_place {
    std::string task;
    std::size_t index{0};
};

struct record {
    std::map<std::string, std::vector<run_interval>> tasks;
    /** Ends of the present life of each worker that have not been acknowledged, by number. */
    std::map<std::string, std::map<std::int64_t, run_place>> listed_ends;
    std::size_t late_calls{0};
};

void end_life(record& all, const std::string& worker, std::int64_t at)
{
    all.listed_ends.erase(worker);
    for (auto& [task, runs] : all.tasks) {
        for (auto& run : runs) {
            if (run.worker != worker || run.end != still_running)
                continue;
            run.end = std::max(run.begin, at);
            run.how = "lost";
        }
    }
}

void end_run(record& all, const std::string& worker, std::int64_t at, std::istream& words)
{
    std::string task;
    std::string how;
    std::int64_t run{0};
    std::int64_t number{0};
    words >> task >> run >> how >> number;
    auto& runs = all.tasks[task];
    for (std::size_t index = 0; index < runs.size(); ++index) {
        auto& each = runs[index];
        if (each.worker != worker || each.run != run || each.end != still_running)
            continue;
        each.end = at;
        each.how = how;
        all.listed_ends[worker][number] = {task, index};
    }
}

void acknowledge(record& all, const std::string& worker, std::int64_t seen)
{
    auto& ends = all.listed_ends[worker];
    const auto behind = ends.upper_bound(seen);
    for (auto each = ends.begin(); each != behind; ++each)
        all.tasks[each->second.task][each->second.index].acknowledged = true;
    ends.erase(ends.begin(), behind);
}

void add_line(record& all, const std::string& line)
{
    std::istringstream words{line};
    std::int64_t at{0};
    std::string worker;
    std::string kind;
    words >> at >> worker >> kind;
    if (kind == "up" || kind == "still" || kind == "gone")
        end_life(all, worker, at);
    if (kind == "lapse")
        all.listed_ends.erase(worker);
    if (kind == "late" || kind == "former")
        ++all.late_calls;
    if (kind == "end")
        end_run(all, worker, at, words);
    if (kind == "seen") {
        std::int64_t seen{0};
        words >> seen;
        acknowledge(all, worker, seen);
    }
    if (kind == "start") {
        std::string task;
        run_interval run{worker, 0, at, still_running, "", false};
        words >> task >> run.run;
        all.tasks[task].push_back(run);
    }
}

std::string describe(const run_interval& run)
{
    const auto end = run.end == still_running ? "now" : std::to_string(run.end);
    return "run " + std::to_string(run.run) + " on " + run.worker + " from " +
           std::to_string(run.begin) + " to " + end + " " + run.how;
}

void check_task(const std::string& task, const std::vector<run_interval>& runs,
                std::vector<std::string>& violations)
{
    for (const auto& first : runs) {
        for (const auto& second : runs) {
            if (&first == &second || second.begin < first.begin ||
                (second.begin == first.begin && &second < &first))
                continue;
            if (second.begin < first.end)
                violations.push_back("task " + task + " ran twice at once: " + describe(first) +
                                     "; " + describe(second));
            else if (first.how == "done" && first.acknowledged)
                violations.push_back("task " + task + " began after its acknowledged end: " +
                                     describe(first) + "; " + describe(second));
        }
    }
}

} // namespace

run_summary check_runs(std::istream& journal)
{
    record all;
    for (std::string line; std::getline(journal, line);)
        add_line(all, line);
    run_summary summary;
    summary.tasks = all.tasks.size();
    summary.late_calls = all.late_calls;
    for (const auto& [task, runs] : all.tasks) {
        summary.runs += runs.size();
        const auto job = task.substr(0, task.find('.'));
        summary.jobs.insert(job);
        if (std::any_of(runs.begin(), runs.end(),
                        [](const auto& run) { return run.end == still_running; }))
            summary.running_jobs.insert(job);
        check_task(task, runs, summary.violations);
    }
    return summary;
}

} // namespace galenaturn::soak
