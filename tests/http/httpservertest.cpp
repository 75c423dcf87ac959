#include <galenaturn/http.h>
#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace galenaturn::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/** A test fails if its exchange takes longer than this. */
constexpr std::chrono::seconds test_timeout{10};

asio::awaitable<void> pause(std::chrono::milliseconds span)
{
    wire::boot_timer timer{co_await asio::this_coro::executor, span};
    co_await timer.async_wait(use_result);
}

} // namespace

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(oversize_and_malformed_requests_are_rejected_with_a_reason);
    CPPUNIT_TEST(slow_callers_time_out_and_are_counted);
    CPPUNIT_TEST(a_handler_is_notified_when_its_caller_disconnects);
    CPPUNIT_TEST(a_handler_sees_that_its_caller_left_before_the_request_was_read);
    CPPUNIT_TEST(a_pipelined_request_does_not_count_as_a_disconnect);
    CPPUNIT_TEST(stop_completes_requests_in_progress);
    CPPUNIT_TEST(connections_beyond_the_limit_are_closed);
    CPPUNIT_TEST(a_throwing_handler_yields_status_500_and_no_request_stays_in_progress);
    CPPUNIT_TEST(a_truncated_response_is_reported_as_an_error);
    CPPUNIT_TEST_SUITE_END();

    /** A server on a free port with a few routes. */
    struct fixture {
        explicit fixture(server_limits limits = {}) : target{io, routes, limits, metrics}
        {
            routes.add(verb::post, "/echo", [](call& incoming) -> asio::awaitable<response> {
                co_return make_response(status::ok, incoming.message.body(), "text/plain");
            });
            routes.add(verb::get, "/slow", [this](call& incoming) { return slow(incoming); });
            routes.add(verb::get, "/throw", [](call&) -> asio::awaitable<response> {
                throw std::runtime_error{"thrown by the test"};
                co_return response{};
            });
            routes.add(verb::get, "/cut", [](call& incoming) -> asio::awaitable<response> {
                incoming.truncate_response = true;
                co_return make_response(status::ok, std::string(1000, 'x'), "text/plain");
            });
            CPPUNIT_ASSERT(target.listen({"127.0.0.1", 0}).has_value());
        }

        asio::awaitable<response> slow(call& incoming)
        {
            ++started;
            const auto abandoned = incoming.abandoned;
            incoming.on_abandoned = [this] { ++abandoned_calls; };
            for (int step = 0; step < slow_steps && !*abandoned; ++step)
                co_await pause(std::chrono::milliseconds{5});
            seen_abandoned = *abandoned;
            ++ended;
            co_return make_response(status::ok, "whole", "text/plain");
        }

        asio::awaitable<tcp::socket> connect()
        {
            tcp::socket socket{io};
            co_await socket.async_connect({asio::ip::address_v4::loopback(), target.port()},
                                          use_result);
            co_return std::move(socket);
        }

        /** Sends `bytes` and receives everything until the server closes the connection. */
        asio::awaitable<void> exchange(std::string bytes, std::string& received)
        {
            auto socket = co_await connect();
            co_await asio::async_write(socket, asio::buffer(bytes), use_result);
            co_await asio::async_read(socket, asio::dynamic_buffer(received), use_result);
        }

        std::string response_to(const std::string& bytes)
        {
            std::string received;
            run(exchange(bytes, received));
            return received;
        }

        /** Runs the event loop until `work` has completed. */
        void run(asio::awaitable<void> work)
        {
            bool done = false;
            asio::co_spawn(io, std::move(work),
                           [&done](const std::exception_ptr&) { done = true; });
            io.restart();
            const auto deadline = monotonic_now() + test_timeout;
            while (!done && monotonic_now() < deadline)
                io.run_one_for(std::chrono::milliseconds{100});
            CPPUNIT_ASSERT(done);
        }

        std::uint64_t count(const std::string& name, const metric_labels& labels = {})
        {
            return metrics.make_counter(name, labels).value();
        }

        asio::io_context io;
        metrics_registry metrics;
        router routes;
        server target;
        int slow_steps{10};
        int started{0};
        int ended{0};
        int abandoned_calls{0};
        bool seen_abandoned{false};
    };

    static std::string post(std::size_t length, const std::string& body)
    {
        return "POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
               std::to_string(length) + "\r\n\r\n" + body;
    }

    static std::string get(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    }

    static void assert_refused(const std::string& reply, const std::string& code,
                               const std::string& reason)
    {
        CPPUNIT_ASSERT_MESSAGE(reply, reply.starts_with("HTTP/1.1 " + code));
        CPPUNIT_ASSERT_MESSAGE(reply, reply.find('"' + reason + '"') != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(reply, reply.find("Galenaturn-Not-Run: true") != std::string::npos);
    }

    void oversize_and_malformed_requests_are_rejected_with_a_reason()
    {
        server_limits limits;
        limits.body = bytes{100};
        limits.header = bytes{1000};
        fixture setup{limits};
        assert_refused(setup.response_to(post(101, std::string(101, 'x'))), "413",
                       "body_too_large");
        assert_refused(
            setup.response_to("GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n"), "431",
            "malformed_request");
        assert_refused(setup.response_to("no request at all\r\n\r\n"), "400", "malformed_request");
        assert_refused(setup.response_to(get("/unknown")), "404", "unknown_path");
        assert_refused(setup.response_to(get("/echo")), "405", "wrong_method");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, setup.count("galenaturn_http_bad_requests_total"));
        const auto accepted = setup.response_to(post(100, std::string(100, 'x')));
        CPPUNIT_ASSERT(accepted.ends_with("\r\n\r\n" + std::string(100, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, setup.target.requests_in_progress());
    }

    void slow_callers_time_out_and_are_counted()
    {
        server_limits limits;
        limits.header_timeout = std::chrono::milliseconds{50};
        limits.body_timeout = std::chrono::milliseconds{50};
        fixture setup{limits};
        CPPUNIT_ASSERT_EQUAL(std::string{}, setup.response_to("GET /echo HTTP"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_timeouts_total", {{"part", "header"}}));
        CPPUNIT_ASSERT_EQUAL(std::string{}, setup.response_to(post(50, "x")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_timeouts_total", {{"part", "body"}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, setup.target.requests_in_progress());
    }

    static asio::awaitable<void> disconnect_early(fixture& setup)
    {
        {
            auto socket = co_await setup.connect();
            co_await asio::async_write(socket, asio::buffer(get("/slow")), use_result);
            while (setup.started == 0)
                co_await pause(std::chrono::milliseconds{1});
        }
        while (setup.ended == 0)
            co_await pause(std::chrono::milliseconds{1});
    }

    void a_handler_is_notified_when_its_caller_disconnects()
    {
        fixture setup;
        setup.slow_steps = 1000;
        setup.run(disconnect_early(setup));
        CPPUNIT_ASSERT(setup.seen_abandoned);
        CPPUNIT_ASSERT_EQUAL(1, setup.abandoned_calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_requests_abandoned_total"));
    }

    static asio::awaitable<void> await_end(fixture& setup)
    {
        while (setup.ended == 0)
            co_await pause(std::chrono::milliseconds{1});
    }

    /** A process that stood still began the requests of callers who had left meanwhile. */
    void a_handler_sees_that_its_caller_left_before_the_request_was_read()
    {
        fixture setup;
        setup.slow_steps = 0;
        {
            asio::io_context caller_io;
            tcp::socket socket{caller_io};
            socket.connect({asio::ip::address_v4::loopback(), setup.target.port()});
            asio::write(socket, asio::buffer(get("/slow")));
        }
        setup.run(await_end(setup));
        CPPUNIT_ASSERT(setup.seen_abandoned);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_requests_abandoned_total"));
    }

    void a_pipelined_request_does_not_count_as_a_disconnect()
    {
        fixture setup;
        // Bytes of a next request on the same connection must not be taken for a disconnect.
        const auto replies =
            setup.response_to("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n" + get("/slow"));
        CPPUNIT_ASSERT_EQUAL(2, setup.ended);
        CPPUNIT_ASSERT_EQUAL(0, setup.abandoned_calls);
        CPPUNIT_ASSERT(!setup.seen_abandoned);
        CPPUNIT_ASSERT(replies.ends_with("whole"));
    }

    static asio::awaitable<void> stop_in_progress(fixture& setup, std::string& running,
                                                  std::string& half_read)
    {
        auto first = co_await setup.connect();
        auto second = co_await setup.connect();
        co_await asio::async_write(first, asio::buffer(get("/slow")), use_result);
        const auto full_request = post(10, "0123456789");
        const auto half = full_request.size() - 5;
        co_await asio::async_write(second, asio::buffer(full_request.substr(0, half)), use_result);
        while (setup.target.requests_in_progress() < 2)
            co_await pause(std::chrono::milliseconds{1});
        setup.target.stop();
        co_await asio::async_write(second, asio::buffer(full_request.substr(half)), use_result);
        co_await asio::async_read(first, asio::dynamic_buffer(running), use_result);
        co_await asio::async_read(second, asio::dynamic_buffer(half_read), use_result);
    }

    void stop_completes_requests_in_progress()
    {
        fixture setup;
        std::string running;
        std::string half_read;
        setup.run(stop_in_progress(setup, running, half_read));
        CPPUNIT_ASSERT_MESSAGE(running, running.ends_with("whole"));
        CPPUNIT_ASSERT_MESSAGE(half_read, half_read.ends_with("0123456789"));
    }

    static asio::awaitable<void> connect_twice(fixture& setup, std::string& second_received)
    {
        auto first = co_await setup.connect();
        co_await asio::async_write(first, asio::buffer(get("/slow")), use_result);
        while (setup.started == 0)
            co_await pause(std::chrono::milliseconds{1});
        co_await setup.exchange(get("/slow"), second_received);
    }

    void connections_beyond_the_limit_are_closed()
    {
        server_limits limits;
        limits.connections = 1;
        fixture setup{limits};
        setup.slow_steps = 40;
        std::string received;
        setup.run(connect_twice(setup, received));
        CPPUNIT_ASSERT_EQUAL(std::string{}, received);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_connections_refused_total"));
    }

    void a_throwing_handler_yields_status_500_and_no_request_stays_in_progress()
    {
        fixture setup;
        CPPUNIT_ASSERT(setup.response_to(get("/throw")).starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, setup.target.requests_in_progress());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             setup.count("galenaturn_http_handlers_failed_total"));
    }

    static asio::awaitable<void> fetch_truncated(fixture& setup, bool& complete)
    {
        const ip_endpoint address{"127.0.0.1", setup.target.port()};
        auto message = make_request(verb::get, "/cut");
        const auto deadline = monotonic_now() + std::chrono::seconds{5};
        const auto reply = co_await fetch(setup.io, address, std::move(message), deadline);
        complete = reply.has_value();
    }

    void a_truncated_response_is_reported_as_an_error()
    {
        fixture setup;
        bool complete = true;
        setup.run(fetch_truncated(setup, complete));
        CPPUNIT_ASSERT(!complete);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace galenaturn::http
