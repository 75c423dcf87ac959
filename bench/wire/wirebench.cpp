#include "benchmarkreport.h"
#include "processortime.h"

#include <galenaturn/wire.h>

#include <string_view>

namespace galenaturn::wire {

namespace {

constexpr int tasks_per_worker = 13;
constexpr double heartbeats_per_second = 0.5;
constexpr double max_node_bytes_per_second = 4096;

/** Returns a heartbeat of a worker that runs `tasks` tasks with names of typical length. */
worker_announcement make_announcement(int tasks)
{
    worker_announcement announcement;
    announcement.id = worker_id{"wellington-hall-worker-017"};
    announcement.domain = failure_domain_id{"wellington-hall"};
    announcement.rack = rack_id{"wellington-hall-rack-03"};
    announcement.capacity = {millicores{32'000}, bytes{125LL << 30}, accelerator_count{2}};
    for (int number = 0; number < tasks; ++number) {
        worker_task task;
        task.id = task_id{"ensemble-2026-03-04-member-" + std::to_string(100 + number)};
        task.assignment = epoch{3};
        task.state = worker_task_state::running;
        task.checkpoint = checkpoint_id{"checkpoint-000123"};
        announcement.tasks.push_back(task);
    }
    return announcement;
}

/** Returns a response that renews `tasks` tasks one by one. */
worker_response make_reply(int tasks)
{
    worker_response reply;
    for (const auto& task : make_announcement(tasks).tasks) {
        worker_command command;
        command.id = task.id;
        command.assignment = task.assignment;
        reply.commands.push_back(command);
    }
    return reply;
}

/** Returns the processor time, in microseconds, to encode and decode one heartbeat. */
double codec_microseconds(int tasks)
{
    constexpr int rounds = 20'000;
    const auto announcement = make_announcement(tasks);
    std::size_t read = 0;
    const double begin = bench::processor_seconds();
    for (int round = 0; round < rounds; ++round) {
        const auto bytes = encode_frame({frame_kind::worker_announcement, 1, encode(announcement)});
        const auto decoded =
            decode<worker_announcement>(std::string_view{bytes}.substr(frame_header_size));
        read += decoded.value().id.value().size();
    }
    const double spent = bench::processor_seconds() - begin;
    return read == 0 ? -1 : spent * 1e6 / rounds;
}

void report_sizes(bench::benchmark_report& report)
{
    for (const int tasks : {0, tasks_per_worker, 4 * tasks_per_worker})
        report.add("worker_heartbeat_" + std::to_string(tasks) + "_tasks",
                   static_cast<double>(frame_header_size + encode(make_announcement(tasks)).size()),
                   "bytes");
    const double both_ways = static_cast<double>(
        2 * frame_header_size + encode(make_announcement(tasks_per_worker)).size() +
        encode(make_reply(tasks_per_worker)).size());
    report.add("worker_lease_traffic_per_node", both_ways * heartbeats_per_second, "bytes/s",
               bench::at_most(max_node_bytes_per_second));
}

void report_costs(bench::benchmark_report& report)
{
    const double empty = codec_microseconds(0);
    const double usual = codec_microseconds(tasks_per_worker);
    const double many = codec_microseconds(4 * tasks_per_worker);
    report.add("worker_heartbeat_codec_0_tasks", empty, "us");
    report.add("worker_heartbeat_codec_13_tasks", usual, "us");
    report.add("worker_heartbeat_codec_52_tasks", many, "us");
    // The codec is linear: four times as many tasks cost about four times as much.
    report.add("worker_heartbeat_codec_growth", many / usual, "ratio", bench::at_most(8));
}

} // namespace

} // namespace galenaturn::wire

int main(int argc, char** argv)
{
    const bool quick = argc > 1 && std::string_view{argv[1]} == "--quick";
    galenaturn::bench::benchmark_report report;
    galenaturn::wire::report_sizes(report);
    if (!quick)
        galenaturn::wire::report_costs(report);
    return report.exit_code();
}
