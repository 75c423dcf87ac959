#include "soak.h"

#include "callers.h"
#include "disruptor.h"
#include "leavingcaller.h"
#include "runrecord.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace galenaturn::soak {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Bounds of the rules. */
constexpr milliseconds contact{3000};
constexpr milliseconds loss_slack{200};
constexpr milliseconds cancelled_job_stops_within{3200};
constexpr seconds acknowledged_within{4};
constexpr seconds recovery{12};
constexpr seconds jobs_finish_within{14};

constexpr seconds start_limit{60};
constexpr std::size_t most_callers{24};
constexpr std::size_t leaving_callers{3};

class running_soak {
public:
    explicit running_soak(const soak_options& options)
        : options_{options}, random_{options.seed}, folder_{options.logs /
                                                            ("seed-" +
                                                             std::to_string(options.seed) + "-" +
                                                             std::to_string(getpid()))},
          processes_{options.programs, folder_, options.sizes}
    {
        std::filesystem::remove(processes_.journal());
        processes_.observe_suspensions(options.on_suspension);
        callers_.seed = options.seed;
        callers_.life_of = [this](const std::string& name) { return processes_.life_of(name); };
    }

    soak_result run()
    {
        if (start())
            disturb_and_settle();
        callers_.operates = false;
        callers_.stopped = true;
        for (auto& thread : threads_)
            thread.join();
        return finish();
    }

private:
    bool start()
    {
        if (!processes_.start(random_))
            return fail("no free ports");
        for (const auto* control : processes_.all_of(process_kind::control))
            callers_.controls.push_back({control->name, control->address});
        for (const auto* entry : processes_.all_of(process_kind::entry))
            callers_.entries.push_back({entry->name, entry->address});
        const auto limit = monotonic_now() + start_limit;
        if (!publish_next(callers_, limit))
            return fail("the first configuration was not acknowledged");
        for (const auto& entry : callers_.entries) {
            while (!serves_jobs(entry)) {
                if (monotonic_now() > limit)
                    return fail(entry.name + " does not serve jobs");
                std::this_thread::sleep_for(milliseconds{50});
            }
        }
        for (const auto& member : callers_.controls)
            threads_.emplace_back([this, &member] { run_watcher(callers_, member, true); });
        for (const auto& member : callers_.entries)
            threads_.emplace_back([this, &member] { run_watcher(callers_, member, false); });
        const auto count = std::min(most_callers, 3 * callers_.entries.size());
        callers_.job_interval = milliseconds{2000} * count /
                                static_cast<std::size_t>(std::max(options_.sizes.workers, 2));
        for (std::size_t number = 0; number < count; ++number)
            threads_.emplace_back([this, number] { run_caller(callers_, number); });
        for (std::size_t number = 0; number < leaving_callers; ++number)
            threads_.emplace_back([this, number] { run_leaving_caller(callers_, left_, number); });
        threads_.emplace_back([this] { run_operator(callers_); });
        return true;
    }

    bool fail(const std::string& what)
    {
        violations_.push_back(what);
        return false;
    }

    /** Advances the processes until the predicate holds; returns false at the deadline. */
    template <class Predicate>
    bool advance_until(disruptor& trouble, time_point deadline, Predicate done)
    {
        while (!done()) {
            if (monotonic_now() >= deadline)
                return false;
            for (auto& fault : trouble.advance())
                violations_.push_back(std::move(fault));
            std::this_thread::sleep_for(milliseconds{10});
        }
        return true;
    }

    std::size_t open_jobs()
    {
        const std::scoped_lock lock{callers_.mutex};
        return callers_.open_jobs.size();
    }

    void disturb_and_settle()
    {
        disruptor trouble{processes_, options_.seed, options_.on_suspension != nullptr,
                          options_.cutter};
        const auto never = [] { return false; };
        advance_until(trouble, monotonic_now() + options_.disturbed, never);
        trouble.heal();
        callers_.submits = false;
        disturbances_ = trouble.count();
        processes_.note("all is healed");
        const auto jobs_end = monotonic_now() + recovery + jobs_finish_within + longest_work;
        advance_until(trouble, monotonic_now() + contact, never);
        if (!advance_until(trouble, jobs_end, [this] { return open_jobs() == 0; }))
            report_open_jobs();
        advance_until(trouble, last_cancelling() + contact + cancelled_job_stops_within, never);
        check_cancelled_jobs(monotonic_now() - contact - cancelled_job_stops_within);
        callers_.operates = false;
        check_last_change(trouble);
        stop_all(trouble);
    }

    time_point last_cancelling()
    {
        const std::scoped_lock lock{left_.mutex};
        time_point last;
        for (const auto& [job, acknowledged] : left_.cancelled)
            last = std::max(last, acknowledged);
        return last;
    }

    /** The jobs whose cancelling was acknowledged by `due` do not run any more. */
    void check_cancelled_jobs(time_point due)
    {
        std::ifstream journal{processes_.journal()};
        const auto running = check_runs(journal).running_jobs;
        const std::scoped_lock lock{left_.mutex};
        for (const auto& [job, acknowledged] : left_.cancelled) {
            if (acknowledged <= due && running.contains(job))
                violations_.push_back(
                    "cancelled job " + job + " runs on; its cancelling was acknowledged at " +
                    std::to_string(acknowledged.time_since_epoch() / milliseconds{1}));
        }
    }

    void report_open_jobs()
    {
        const std::scoped_lock lock{callers_.mutex};
        for (const auto& [id, accepted] : callers_.open_jobs)
            violations_.push_back("accepted job " + id + " has not ended");
    }

    /** Calm processes acknowledge a change in time, and all control processes can be read then. */
    void check_last_change(disruptor& trouble)
    {
        threads_.back().join();
        threads_.pop_back();
        if (!publish_next(callers_, monotonic_now() + acknowledged_within))
            fail("the last configuration was not acknowledged in time");
        advance_until(trouble, monotonic_now() + config_bounds{}.applied, [] { return false; });
        const auto version = callers_.changes.back().version;
        for (const auto& control : callers_.controls) {
            if (const auto read = read_version(control); read != version)
                fail(control.name + " has version " + std::to_string(read) + " at the end");
        }
    }

    /** Ends all entries as planned under requests, then the control processes. */
    void stop_all(disruptor& trouble)
    {
        for (auto* entry : processes_.all_of(process_kind::entry))
            processes_.signal(*entry, SIGTERM);
        wait_for_ends(trouble, process_kind::entry);
        for (auto* control : processes_.all_of(process_kind::control))
            processes_.signal(*control, SIGTERM);
        wait_for_ends(trouble, process_kind::control);
    }

    void wait_for_ends(disruptor&, process_kind kind)
    {
        const auto any_runs = [&] {
            for (const auto* process : processes_.all_of(kind)) {
                if (process->pid != 0)
                    return true;
            }
            return false;
        };
        while (any_runs()) {
            for (auto& fault : processes_.collect_ended())
                violations_.push_back(std::move(fault));
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    /** A request that was read in full has an answer, but near failures that were not planned. */
    void check_broken_requests()
    {
        for (const auto& each : callers_.broken) {
            const bool was_read =
                each.end == read_end::closed || each.ended > each.sent + loss_slack;
            if (!was_read || processes_.disruptions().unplanned_near(
                                 each.entry, each.sent - contact, each.ended))
                continue;
            violations_.push_back("request " + each.request + " sent to " + each.entry + " at " +
                                  std::to_string(each.sent.time_since_epoch() / milliseconds{1}) +
                                  " lost its " + "connection after " +
                                  std::to_string((each.ended - each.sent) / milliseconds{1}) +
                                  " ms" + (each.end == read_end::closed ? ", closed" : ", reset"));
        }
    }

    void check_unknown_jobs()
    {
        const auto& disruptions = processes_.disruptions();
        for (const auto& each : callers_.unknown) {
            const auto from = each.sent - contact;
            if (disruptions.disturbed(each.entry, from, each.answered) ||
                disruptions.controls_disturbed(from, each.answered))
                continue;
            violations_.push_back("accepted job " + each.job + " is not known at " + each.entry);
        }
    }

    soak_result finish()
    {
        std::ifstream journal{processes_.journal()};
        const auto runs = check_runs(journal);
        violations_.insert(violations_.end(), runs.violations.begin(), runs.violations.end());
        violations_.insert(violations_.end(), callers_.violations.begin(),
                           callers_.violations.end());
        check_broken_requests();
        check_unknown_jobs();
        for (auto& fault :
             check_configurations(callers_.changes, callers_.probes, processes_.disruptions()))
            violations_.push_back(std::move(fault));
        for (const auto& job : callers_.refused) {
            if (runs.jobs.contains(job))
                violations_.push_back("refused job " + job + " ran");
        }
        for (const auto& job : left_.refused) {
            if (runs.jobs.contains(job))
                violations_.push_back("job " + job + " ran, refused as certainly not run");
        }
        std::ostringstream summary;
        summary << "disturbances=" << disturbances_ << " requests=" << callers_.requests
                << " unanswered=" << callers_.unanswered << " jobs=" << callers_.accepted
                << " refused=" << callers_.refused.size() << " tasks=" << runs.tasks
                << " runs=" << runs.runs << " late_calls=" << runs.late_calls
                << " cancelled=" << left_.cancelled.size()
                << " not_cancelled=" << left_.unacknowledged << " not_run=" << left_.refused.size()
                << " changes=" << callers_.changes.size() << " probes=" << callers_.probes.size();
        return {violations_, processes_.notes(), summary.str(), folder_};
    }

    soak_options options_;
    std::mt19937_64 random_;
    std::filesystem::path folder_;
    deployment processes_;
    caller_record callers_;
    left_jobs left_;
    std::vector<std::thread> threads_;
    std::vector<std::string> violations_;
    std::size_t disturbances_{0};
};

void write_record(const soak_result& result)
{
    std::ofstream out{result.folder / "record"};
    for (const auto& note : result.notes)
        out << note << '\n';
    for (const auto& violation : result.violations)
        out << "FAILED " << violation << '\n';
}

} // namespace

soak_result run_soak(const soak_options& options)
{
    auto result = [&] {
        running_soak soak{options};
        return soak.run();
    }();
    if (result.violations.empty())
        std::filesystem::remove_all(result.folder);
    else
        write_record(result);
    return result;
}

int run_seeds(soak_options options, int count)
{
    constexpr std::size_t violations_printed = 25;
    int failed = 0;
    for (int run = 0; run < count; ++run, ++options.seed) {
        const auto result = run_soak(options);
        std::cout << (result.violations.empty() ? "ok" : "FAILED") << " seed=" << options.seed
                  << " " << result.summary << std::endl;
        if (result.violations.empty())
            continue;
        ++failed;
        const auto shown = std::min(violations_printed, result.violations.size());
        for (std::size_t index = 0; index < shown; ++index)
            std::cout << "  " << result.violations[index] << '\n';
        std::cout << "  " << result.violations.size() << " in all; logs and record in "
                  << result.folder.string() << std::endl;
    }
    return failed;
}

} // namespace galenaturn::soak
