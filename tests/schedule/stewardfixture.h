#pragma once

#include <galenaturn/schedule.h>

#include <algorithm>
#include <string>

namespace galenaturn::schedule {

/** A steward with its state chart, and the task records that it would receive from the ledger. */
struct steward_fixture {
    steward_fixture()
    {
        findings found;
        chart = load_task_chart(GALENATURN_SOURCE_DIR "/charts", found);
        GN_INVARIANT(found.empty(), {"findings", found.text()});
        steward.domain = failure_domain_id{"hall-a"};
        steward.chart = &chart;
        begin_stewardship(steward, epoch{1}, now);
        advance_time(std::chrono::seconds{7});
    }

    /** Advances the virtual time. If `connected`, the leader acknowledges a heartbeat. */
    void advance_time(duration span, bool connected = true)
    {
        now += span;
        if (connected)
            on_heartbeat_acknowledged(steward, now);
        on_tick(steward, now);
    }

    wire::task_record& add_task(const std::string& name, std::int64_t processors = 1000,
                                work_class task_class = work_class::batch,
                                const std::string& job = "job")
    {
        auto& record = records[task_id{name}];
        record.id = task_id{name};
        record.job = job_id{job};
        record.owner = owner_id{"owner"};
        record.task_class = task_class;
        record.demand = {millicores{processors}, bytes{1000}, {}};
        record.hold = std::chrono::seconds{60};
        record.phase = wire::task_phase::assigned;
        record.domain = steward.domain;
        record.assignment = epoch{1};
        on_task_record(steward, record.id, &record, false, now);
        on_tick(steward, now);
        return record;
    }

    /** Sends the worker's next heartbeat with `tasks` and returns the response. */
    wire::worker_response beat(const std::string& name, std::vector<wire::worker_task> tasks = {},
                               std::int64_t processors = 4000)
    {
        wire::worker_announcement announced;
        announced.id = worker_id{name};
        announced.domain = steward.domain;
        announced.rack = rack_id{"rack-" + name};
        announced.incarnation_number = incarnation{1};
        announced.heartbeat = heartbeat_number{++heartbeats[announced.id]};
        announced.capacity = {millicores{processors}, bytes{100'000}, {}};
        announced.tasks = std::move(tasks);
        on_announcement(steward, announced, now);
        on_tick(steward, now);
        return make_worker_response(steward, announced.id, now);
    }

    static wire::worker_task report(const wire::worker_command& command,
                                    wire::worker_task_state state)
    {
        wire::worker_task task;
        task.id = command.id;
        task.assignment = command.assignment;
        task.state = state;
        return task;
    }

    static std::size_t count(const wire::worker_response& response, wire::worker_command_kind kind)
    {
        return static_cast<std::size_t>(
            std::count_if(response.commands.begin(), response.commands.end(),
                          [kind](const auto& command) { return command.kind == kind; }));
    }

    const task_entry& task(const std::string& name) { return steward.tasks.at(task_id{name}); }

    state_chart chart;
    steward_state steward;
    time_point now{std::chrono::hours{1}};
    std::map<task_id, wire::task_record> records;
    std::map<worker_id, std::uint64_t> heartbeats;
};

} // namespace galenaturn::schedule
