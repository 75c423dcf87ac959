#include <galenaturn/daemon.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

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

/** A daemon with one service whose requests last until `release` is called. */
struct stoppable_daemon {
    stoppable_daemon()
        : shared{small_settings()}, server{shared.io, shared.routes, {}, shared.metrics},
          peers{shared.channels, shared.frames}, life{shared, server, peers}, gate{shared.io}
    {
        gate.expires_at(asio::steady_timer::time_point::max());
        shared.routes.add(http::verb::get, "/slow",
                          [this](http::call&) { return answer_slowly(); });
        life.load(found);
    }

    asio::awaitable<http::response> answer_slowly()
    {
        ++arrived;
        boost::system::error_code ignored;
        co_await gate.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return http::make_response(http::status::ok, "whole answer", "text/plain");
    }

    /** Sends one request and keeps its answer. */
    asio::awaitable<void> send_request()
    {
        const ip_endpoint address{"127.0.0.1", server.port()};
        auto request = http::make_request(http::verb::get, "/slow");
        auto fetched = co_await http::fetch(shared.io, address, std::move(request),
                                            monotonic_now() + std::chrono::seconds{20});
        if (fetched)
            answer = fetched.value().body();
    }

    context shared;
    http::server server;
    wire::frame_server peers;
    lifecycle life;
    findings found;
    asio::steady_timer gate;
    int arrived{0};
    std::string answer;
};

} // namespace

class lifecycle_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lifecycle_test);
    CPPUNIT_TEST(a_planned_stop_cuts_off_no_request_in_progress);
    CPPUNIT_TEST(readiness_fails_before_new_work_is_refused);
    CPPUNIT_TEST(a_stop_is_carried_out_once);
    CPPUNIT_TEST_SUITE_END();

    void a_planned_stop_cuts_off_no_request_in_progress()
    {
        stoppable_daemon daemon;
        CPPUNIT_ASSERT_EQUAL(std::string{}, daemon.found.text());
        CPPUNIT_ASSERT(daemon.server.listen({"127.0.0.1", 0}));
        daemon.life.started();
        asio::co_spawn(daemon.shared.io, daemon.send_request(), asio::detached);
        while (daemon.arrived == 0)
            daemon.shared.io.run_one();
        daemon.life.request_stop();
        while (daemon.life.state() != "draining")
            daemon.shared.io.run_one();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, daemon.server.requests_in_progress());
        daemon.gate.cancel();
        daemon.shared.io.run();
        CPPUNIT_ASSERT_EQUAL(std::string{"stopped"}, daemon.life.state());
        CPPUNIT_ASSERT(!daemon.life.cut_off());
        // The answer was written before the stop; the caller's side reads it from its socket.
        daemon.shared.io.restart();
        while (daemon.answer.empty() && daemon.shared.io.run_one() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"whole answer"}, daemon.answer);
    }

    void readiness_fails_before_new_work_is_refused()
    {
        stoppable_daemon daemon;
        daemon.life.started();
        CPPUNIT_ASSERT(daemon.shared.ready);
        daemon.life.request_stop();
        CPPUNIT_ASSERT(!daemon.shared.ready);
        CPPUNIT_ASSERT(daemon.shared.accepting);
        bool drained = false;
        daemon.shared.on_drain.emplace_back([&drained] { drained = true; });
        daemon.shared.io.run();
        CPPUNIT_ASSERT(!daemon.shared.accepting);
        CPPUNIT_ASSERT(drained);
    }

    void a_stop_is_carried_out_once()
    {
        stoppable_daemon daemon;
        daemon.life.started();
        daemon.life.request_stop();
        daemon.life.request_stop();
        CPPUNIT_ASSERT_EQUAL(std::string{"leaving"}, daemon.life.state());
        daemon.shared.io.run();
        CPPUNIT_ASSERT_EQUAL(std::string{"stopped"}, daemon.life.state());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

} // namespace galenaturn::daemon
