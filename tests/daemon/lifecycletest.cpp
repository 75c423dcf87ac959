#include <galenaturn/daemon.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace galenaturn::daemon {

namespace asio = boost::asio;

namespace {

process_settings small_settings()
{
    process_settings settings;
    settings.self.id = process_id{"wellington-entry-1"};
    settings.self.domain = failure_domain_id{"wellington-hall"};
    settings.charts_folder = GALENATURN_SOURCE_DIR "/charts";
    settings.drain_notice = std::chrono::milliseconds{30};
    settings.drain_limit = std::chrono::seconds{20};
    return settings;
}

/** A daemon with one route, whose requests last until `release_timer` is cancelled. */
struct stoppable_daemon {
    stoppable_daemon()
        : shared{small_settings()}, server{shared.io, shared.routes, {}, shared.metrics},
          peers{shared.channels, shared.frames}, state_machine{shared, server, peers},
          release_timer{shared.io}
    {
        release_timer.expires_at(wire::boot_timer::time_point::max());
        shared.routes.add(http::verb::get, "/slow",
                          [this](http::call&) { return respond_when_released(); });
        shared.routes.add(
            http::verb::get, "/quick", [](http::call&) -> asio::awaitable<http::response> {
                co_return http::make_response(http::status::ok, "whole answer", "text/plain");
            });
        state_machine.load(found);
    }

    asio::awaitable<http::response> respond_when_released()
    {
        ++requests_received;
        boost::system::error_code ignored;
        co_await release_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return http::make_response(http::status::ok, "whole answer", "text/plain");
    }

    /** Sends one request and stores the body of its response. */
    asio::awaitable<void> send_request()
    {
        const ip_endpoint address{"127.0.0.1", server.port()};
        auto request = http::make_request(http::verb::get, "/slow");
        auto response = co_await http::fetch(shared.io, address, std::move(request),
                                             monotonic_now() + std::chrono::seconds{20});
        if (response)
            response_body = response.value().body();
    }

    context shared;
    http::server server;
    wire::frame_server peers;
    lifecycle state_machine;
    findings found;
    wire::boot_timer release_timer;
    int requests_received{0};
    std::string response_body;
};

} // namespace

class lifecycle_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lifecycle_test);
    CPPUNIT_TEST(a_planned_stop_completes_requests_in_progress);
    CPPUNIT_TEST(readiness_fails_before_new_work_is_refused);
    CPPUNIT_TEST(a_repeated_stop_request_is_ignored);
    CPPUNIT_TEST(a_request_that_arrives_as_the_drain_ends_is_answered);
    CPPUNIT_TEST_SUITE_END();

    void a_planned_stop_completes_requests_in_progress()
    {
        stoppable_daemon daemon;
        CPPUNIT_ASSERT_EQUAL(std::string{}, daemon.found.text());
        CPPUNIT_ASSERT(daemon.server.listen({"127.0.0.1", 0}));
        daemon.state_machine.started();
        asio::co_spawn(daemon.shared.io, daemon.send_request(), asio::detached);
        while (daemon.requests_received == 0)
            daemon.shared.io.run_one();
        daemon.state_machine.request_stop();
        while (daemon.state_machine.state() != "draining")
            daemon.shared.io.run_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemon.server.requests_in_progress());
        daemon.release_timer.cancel();
        daemon.shared.io.run();
        CPPUNIT_ASSERT_EQUAL(std::string{"stopped"}, daemon.state_machine.state());
        CPPUNIT_ASSERT(!daemon.state_machine.drain_timed_out());
        // The response was written before the stop; the client has yet to read it from its socket.
        daemon.shared.io.restart();
        while (daemon.response_body.empty() && daemon.shared.io.run_one() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"whole answer"}, daemon.response_body);
    }

    void readiness_fails_before_new_work_is_refused()
    {
        stoppable_daemon daemon;
        daemon.state_machine.started();
        CPPUNIT_ASSERT(daemon.shared.ready);
        daemon.state_machine.request_stop();
        CPPUNIT_ASSERT(!daemon.shared.ready);
        CPPUNIT_ASSERT(daemon.shared.accepting);
        bool drained = false;
        daemon.shared.drain_callbacks.emplace_back([&drained] { drained = true; });
        daemon.shared.io.run();
        CPPUNIT_ASSERT(!daemon.shared.accepting);
        CPPUNIT_ASSERT(drained);
    }

    /** The drain ends in the same turn of the loop in which a connection is accepted. */
    void a_request_that_arrives_as_the_drain_ends_is_answered()
    {
        stoppable_daemon daemon;
        CPPUNIT_ASSERT(daemon.server.listen({"127.0.0.1", 0}));
        daemon.state_machine.started();
        daemon.state_machine.request_stop();
        while (daemon.state_machine.state() != "draining")
            daemon.shared.io.run_one();
        asio::io_context client;
        asio::ip::tcp::socket socket{client};
        socket.connect({asio::ip::make_address("127.0.0.1"), daemon.server.port()});
        asio::write(socket, asio::buffer(std::string{"GET /quick HTTP/1.1\r\nHost: a\r\n\r\n"}));
        std::this_thread::sleep_for(std::chrono::milliseconds{40});
        daemon.shared.io.run();
        CPPUNIT_ASSERT_EQUAL(std::string{"stopped"}, daemon.state_machine.state());
        CPPUNIT_ASSERT(!daemon.state_machine.drain_timed_out());
        socket.non_blocking(true);
        std::string received;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(received), end);
        CPPUNIT_ASSERT_MESSAGE(end.message(), end == asio::error::eof);
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("whole answer"));
    }

    void a_repeated_stop_request_is_ignored()
    {
        stoppable_daemon daemon;
        daemon.state_machine.started();
        daemon.state_machine.request_stop();
        daemon.state_machine.request_stop();
        CPPUNIT_ASSERT_EQUAL(std::string{"leaving"}, daemon.state_machine.state());
        daemon.shared.io.run();
        CPPUNIT_ASSERT_EQUAL(std::string{"stopped"}, daemon.state_machine.state());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

} // namespace galenaturn::daemon
