#include "benchmarkreport.h"
#include "processortime.h"

#include <galenaturn/http.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <malloc.h>

#include <memory>
#include <sstream>
#include <string_view>
#include <vector>

namespace galenaturn::http {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/** 2,900 workers and as many upstreams, each connected to one of 9 entries. */
constexpr double connections_per_entry = 2.0 * 2900 / 9;
constexpr double memory_limit_bytes = 32.0 * 1024 * 1024;

/** A server and its clients on one thread, over loopback. */
struct loopback {
    loopback() : server{io, routes, {}, metrics}
    {
        routes.add(verb::post, "/echo", [](call& incoming) -> asio::awaitable<response> {
            co_return make_response(status::ok, incoming.message.body(), "text/plain");
        });
        if (!server.listen({"127.0.0.1", 0}))
            std::abort();
    }

    asio::io_context io;
    metrics_registry metrics;
    router routes;
    http::server server;
};

/** Sends `count` requests in sequence on one connection. */
asio::awaitable<void> exchange(loopback& fixture, int count, std::size_t body_size, int& completed)
{
    const asio::ip::tcp::endpoint address{asio::ip::make_address("127.0.0.1"),
                                          fixture.server.port()};
    boost::beast::tcp_stream stream{fixture.io};
    co_await stream.async_connect(address, use_result);
    const auto message = make_request(verb::post, "/echo", std::string(body_size, 'x'));
    boost::beast::flat_buffer buffer;
    for (int number = 0; number < count; ++number) {
        co_await beast_http::async_write(stream, message, use_result);
        response reply;
        auto [error, size] = co_await beast_http::async_read(stream, buffer, reply, use_result);
        if (error || reply.body().size() != body_size)
            co_return;
        ++completed;
    }
}

/** Returns the processor time, in microseconds, of client and server for one request. */
double request_microseconds(std::size_t body_size)
{
    constexpr int requests = 10'000;
    loopback fixture;
    int completed = 0;
    const double begin = bench::processor_seconds();
    asio::co_spawn(fixture.io, exchange(fixture, requests, body_size, completed), asio::detached);
    while (completed < requests && fixture.io.run_one() > 0) {
    }
    return (bench::processor_seconds() - begin) * 1e6 / requests;
}

/** Returns the heap bytes per connection, at client and server, with `count` idle connections. */
double idle_connection_bytes(int count)
{
    loopback fixture;
    const asio::ip::tcp::endpoint address{asio::ip::make_address("127.0.0.1"),
                                          fixture.server.port()};
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> clients;
    clients.reserve(static_cast<std::size_t>(count));
    const auto before = mallinfo2().uordblks;
    for (int number = 0; number < count; ++number) {
        clients.push_back(std::make_unique<asio::ip::tcp::socket>(fixture.io));
        clients.back()->connect(address);
        fixture.io.poll();
    }
    fixture.io.poll();
    const auto after = mallinfo2().uordblks;
    return static_cast<double>(after - before) / count;
}

constexpr int tasks_per_worker = 13;
/** A steward without commands for the worker delays the response to a heartbeat by 1.8 s. */
constexpr double heartbeats_per_second = 1 / 1.8;
constexpr double node_bytes_per_second = 4096;

/** Returns the size of a heartbeat with `tasks` tasks and its response, including headers. */
double heartbeat_bytes(int tasks)
{
    wire::worker_announcement announced;
    announced.id = worker_id{"wellington-hall-worker-017"};
    announced.domain = failure_domain_id{"wellington-hall"};
    announced.rack = rack_id{"wellington-hall-rack-03"};
    announced.capacity = {millicores{32'000}, bytes{125LL << 30}, accelerator_count{2}};
    wire::worker_response reply;
    for (int number = 0; number < tasks; ++number) {
        wire::worker_task task;
        task.id = task_id{"ensemble-2026-03-04-member-" + std::to_string(100 + number)};
        task.assignment = epoch{std::uint64_t{1} << 36};
        task.state = wire::worker_task_state::running;
        announced.tasks.push_back(task);
        wire::worker_command command;
        command.id = task.id;
        command.assignment = task.assignment;
        reply.commands.push_back(command);
    }
    const auto sent =
        make_request(verb::put, "/v1/workers/" + announced.id.value(), to_json(announced));
    auto received = make_response(status::ok, to_json(reply), "application/json");
    received.prepare_payload();
    std::ostringstream text;
    text << sent << received;
    return static_cast<double>(text.str().size());
}

} // namespace

} // namespace galenaturn::http

int main(int argc, char** argv)
{
    using namespace galenaturn;
    const bool quick = argc > 1 && std::string_view{argv[1]} == "--quick";
    bench::benchmark_report report;
    double largest = 0;
    for (const int count : {100, 200, 400}) {
        const double each = http::idle_connection_bytes(count);
        largest = std::max(largest, each);
        report.add("idle_connection_of_" + std::to_string(count), each, "bytes");
    }
    report.add("connections_of_an_entry_at_target", largest * http::connections_per_entry, "bytes",
               bench::at_most(http::memory_limit_bytes));
    for (const int tasks : {0, http::tasks_per_worker, 4 * http::tasks_per_worker})
        report.add("worker_heartbeat_and_answer_" + std::to_string(tasks) + "_tasks",
                   http::heartbeat_bytes(tasks), "bytes");
    report.add("worker_control_traffic_at_target",
               http::heartbeat_bytes(http::tasks_per_worker) * http::heartbeats_per_second,
               "bytes/s", bench::at_most(http::node_bytes_per_second));
    if (!quick) {
        for (const std::size_t size : {std::size_t{100}, std::size_t{1'600}, std::size_t{25'600}})
            report.add("request_of_" + std::to_string(size) + "_bytes",
                       http::request_microseconds(size), "us");
    }
    return report.exit_code();
}
