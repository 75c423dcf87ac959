#include "platform/calleredge.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace galenaturn::platform {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** `headers` are complete lines. */
std::string request_for(const std::string& method, const std::string& body,
                        const std::string& headers = {})
{
    return method + " /desk/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h.example\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string submission(const std::string& headers = {})
{
    return request_for("POST", R"({"spec":"text","steps":[{"count":1,"cpu":500}]})", headers);
}

/** The callers' routes of an entry that reads nothing until it resumes. */
class suspended_entry {
public:
    suspended_entry() : server_{io_, routes_, {}, metrics_}
    {
        const auto relay = [this](wire::job_request request,
                                  time_point) -> asio::awaitable<wire::job_response> {
            relayed.push_back(request.verb);
            wire::job_response response;
            response.status = answer;
            co_return response;
        };
        const auto waits_since = [this](time_point now) { return now - paused_for; };
        add_caller_routes(routes_, relay, waits_since, metrics_);
        CPPUNIT_ASSERT(server_.listen({"127.0.0.1", 0}));
    }

    /** Returns the connection of the caller, who has sent the request. */
    tcp::socket send(const std::string& request)
    {
        tcp::socket socket{caller_io_};
        socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
        asio::write(socket, asio::buffer(request));
        return socket;
    }

    /** Serves callers for a moment. */
    void resume() { io_.run_for(std::chrono::milliseconds{200}); }

    std::uint64_t abandoned()
    {
        return metrics_.make_counter("galenaturn_caller_requests_abandoned_total").value();
    }

    /** Returns what the caller receives. */
    std::string exchange(const std::string& request)
    {
        auto caller = send(request);
        resume();
        std::string received(caller.available(), '\0');
        asio::read(caller, asio::buffer(received));
        return received;
    }

    std::uint64_t overdue()
    {
        return metrics_.make_counter("galenaturn_caller_requests_overdue_total").value();
    }

    /** For how long the process did not run before it reads requests. */
    duration paused_for{};
    std::vector<wire::job_verb> relayed;
    wire::job_response_status answer{wire::job_response_status::ok};

private:
    asio::io_context io_{1};
    asio::io_context caller_io_{1};
    http::router routes_;
    metrics_registry metrics_;
    http::server server_;
};

} // namespace

/** Tests which requests of callers an entry hands in. */
class caller_edge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_edge_test);
    CPPUNIT_TEST(a_submission_is_not_handed_in_after_its_caller_has_left);
    CPPUNIT_TEST(a_submission_that_was_read_late_is_handed_in_for_a_caller_who_waits);
    CPPUNIT_TEST(a_cancelling_is_handed_in_after_its_caller_has_left);
    CPPUNIT_TEST(an_unknown_job_is_not_said_to_never_run);
    CPPUNIT_TEST(a_submission_that_may_have_waited_past_its_deadline_is_not_handed_in);
    CPPUNIT_TEST(a_submission_with_a_short_deadline_is_handed_in);
    CPPUNIT_TEST_SUITE_END();

    /** Its caller had cancelled the job through another entry meanwhile. */
    void a_submission_is_not_handed_in_after_its_caller_has_left()
    {
        suspended_entry entry;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.abandoned());
        entry.send(submission()).close();
        entry.resume();
        CPPUNIT_ASSERT(entry.relayed.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.abandoned());
    }

    void a_submission_that_was_read_late_is_handed_in_for_a_caller_who_waits()
    {
        suspended_entry entry;
        const auto waiting = entry.send(submission());
        entry.resume();
        CPPUNIT_ASSERT(entry.relayed == std::vector{wire::job_verb::submit});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, entry.abandoned());
    }

    /** Repeating it is safe, and its caller may rely on it. */
    void a_cancelling_is_handed_in_after_its_caller_has_left()
    {
        suspended_entry entry;
        entry.send(request_for("DELETE", {})).close();
        entry.resume();
        CPPUNIT_ASSERT(entry.relayed == std::vector{wire::job_verb::cancel});
    }

    /** Its caller had left without closing the connection, as one whose VM is lost. */
    void a_submission_that_may_have_waited_past_its_deadline_is_not_handed_in()
    {
        suspended_entry entry;
        // A caller without a deadline waits for two seconds.
        entry.paused_for = std::chrono::milliseconds{1800};
        entry.exchange(submission());
        CPPUNIT_ASSERT(entry.relayed == std::vector{wire::job_verb::submit});
        entry.paused_for = std::chrono::milliseconds{2000};
        const auto received = entry.exchange(submission());
        CPPUNIT_ASSERT(received.find(" 503 ") != std::string::npos);
        CPPUNIT_ASSERT(received.find("\"not_run\":true") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.overdue());
        entry.exchange(request_for("DELETE", {}));
        entry.exchange(request_for("GET", {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, entry.relayed.size());
    }

    /** It was handed in, and answered as an unknown outcome at the same moment. */
    void a_submission_with_a_short_deadline_is_handed_in()
    {
        suspended_entry entry;
        entry.exchange(submission("Galenaturn-Request-Deadline: 40\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.relayed.size());
        entry.exchange(submission("Galenaturn-Request-Deadline: 0\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.relayed.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.overdue());
    }

    /** A caller was told "not run" of a job whose submission was on its way, and which ran later.
     */
    void an_unknown_job_is_not_said_to_never_run()
    {
        suspended_entry entry;
        const auto says_not_run = [&](const std::string& request,
                                      wire::job_response_status status) {
            entry.answer = status;
            const auto received = entry.exchange(request);
            const bool marked = received.find("Galenaturn-Not-Run") != std::string::npos;
            CPPUNIT_ASSERT_EQUAL(marked, received.find("\"not_run\":true") != std::string::npos);
            return marked;
        };
        using enum wire::job_response_status;
        for (const auto status : {unknown_job, unknown_queue, unavailable}) {
            CPPUNIT_ASSERT(!says_not_run(request_for("GET", {}), status));
            CPPUNIT_ASSERT(!says_not_run(request_for("DELETE", {}), status));
        }
        CPPUNIT_ASSERT(says_not_run(submission(), unavailable));
        CPPUNIT_ASSERT(says_not_run(submission(), unknown_queue));
        CPPUNIT_ASSERT(!says_not_run(submission(), unknown));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_edge_test);

} // namespace galenaturn::platform
