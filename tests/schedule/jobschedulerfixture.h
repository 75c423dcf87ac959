#pragma once

#include <galenaturn/ledger.h>
#include <galenaturn/schedule.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** The scheduler of a leader beside a ledger, with workers that list what a test says. */
class job_scheduler_fixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        settings_.lease = std::chrono::seconds{8};
        state_.settings = settings_;
    }

protected:
    using completions = std::vector<wire::record_completions::item>;

    void announce(const std::string& id, std::int64_t cores = 4)
    {
        wire::worker_presence announcement;
        announcement.worker.id = worker_id{id};
        announcement.worker.service = service_id{"desk"};
        announcement.worker.capacity = {
            millicores{cores * 1000}, bytes{std::int64_t{64} << 30}, {}};
        on_worker_announcement(state_, announcement);
        wire::record_workers admitted;
        admitted.admitted.push_back(announcement.worker);
        apply(std::move(admitted));
    }

    void add_worker(const std::string& id, std::int64_t cores = 4)
    {
        announce(id, cores);
        report(id, {});
        extend_lease(state_, worker_id{id}, now_);
    }

    /** Accepts a job with one step. Each task needs all cores of a worker of the default size. */
    void submit(wire::job_step step = {}, std::int64_t cores = 4)
    {
        wire::submit_job body;
        body.id = job_id_;
        body.queue.name = "q";
        body.queue.service = service_id{"desk"};
        body.queue.max_attempts = 3;
        body.queue.latency = std::chrono::seconds{1};
        step.demand.processors = millicores{cores * 1000};
        step.estimate = std::chrono::seconds{1};
        body.spec.steps.push_back(std::move(step));
        apply(std::move(body));
    }

    completions report(const std::string& id, const worker_report& reported)
    {
        now_ += std::chrono::milliseconds{10};
        record_reply(state_, worker_id{id}, now_);
        return on_worker_report(state_, worker_id{id}, reported, now_, now_);
    }

    /** Records the completions in the ledger. */
    void record(const std::string& id, const completions& items)
    {
        wire::record_completions body;
        body.items = items;
        apply(std::move(body));
        on_completions_recorded(state_, items);
        const auto worker = state_.workers.find(worker_id{id});
        acknowledge_completions(state_, worker_id{id}, worker->second.completions_read);
    }

    std::vector<start_command> plan() { return plan_starts(state_, now_, wall_); }

    /** Plans starts, which workers confirm. */
    std::vector<start_command> start_planned()
    {
        auto commands = plan();
        for (const auto& command : commands) {
            on_start_sent(state_, command, now_);
            on_start_result(state_, command, command_result::accepted, now_);
        }
        now_ += std::chrono::milliseconds{100};
        return commands;
    }

    start_command start_one()
    {
        const auto commands = start_planned();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        return commands.front();
    }

    /** The next leader knows what the ledger has recorded, and no report. */
    void change_leader()
    {
        now_ += std::chrono::seconds{1};
        state_ = take_over(ledger_.jobs, ledger_.workers, settings_, now_, wall_);
    }

    /** Run 1 on w1 is an orphan, because run 2 on w2 is kept; w3 is idle. */
    void list_an_orphan()
    {
        for (const auto* id : {"w1", "w2", "w3"})
            add_worker(id);
        submit();
        change_leader();
        report("w2", runs(task(), 2));
        report("w1", runs(task(), 1));
        report("w3", {});
    }

    /** Confirms the stops that are due. Returns their number. */
    std::size_t stop_due()
    {
        const auto stops = plan_stops(state_, now_);
        for (const auto& stop : stops) {
            on_stop_sent(state_, stop);
            on_stop_result(state_, stop, command_result::accepted, now_);
        }
        return stops.size();
    }

    [[nodiscard]] wire::task_ref task(std::uint32_t index = 0) const
    {
        return {job_id_, 0, 0, index};
    }

    open_task& open(std::uint32_t index = 0) { return state_.jobs.at(job_id_).tasks.at(index); }

    static worker_report runs(const wire::task_ref& ref, std::uint32_t run,
                              const std::string& checkpoint = {})
    {
        worker_report reported;
        reported.running.push_back({ref, run, checkpoint, 50});
        return reported;
    }

    static worker_report ends(std::uint64_t number, const wire::task_ref& ref, std::uint32_t run,
                              run_outcome outcome, const std::string& checkpoint = {})
    {
        worker_report reported;
        reported.ended.push_back({number, ref, run, outcome, checkpoint});
        return reported;
    }

    void apply(wire::command body)
    {
        ledger::applied_change change;
        const wire::command_request request{request_id{"r" + std::to_string(++index_)},
                                            std::move(body)};
        ledger::apply_command(ledger_, request, log_index{index_}, change);
        for (const auto& id : change.jobs)
            on_job_record(state_, ledger_.jobs.at(id), now_);
        for (const auto& [id, worker] : ledger_.workers)
            admit_worker(state_, id);
    }

    const submission_id job_id_{"0123456789abcdef"};
    job_settings settings_;
    job_scheduler state_;
    ledger::ledger_state ledger_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{500'000}};
    std::uint64_t index_{0};
};

} // namespace galenaturn::schedule
