#include <galenaturn/http.h>
#include <galenaturn/wire.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace galenaturn::http {

namespace asio = boost::asio;

/** Tests what a server receives over a pooled connection, and what its client gets back. */
class session_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(session_pool_test);
    CPPUNIT_TEST(requests_arrive_whole_over_one_connection);
    CPPUNIT_TEST(exchange_ends_at_its_deadline);
    CPPUNIT_TEST(deadline_of_an_ended_exchange_closes_no_connection);
    CPPUNIT_TEST(exchange_without_a_connection_has_sent_nothing);
    CPPUNIT_TEST(connection_of_an_exchange_that_has_ended_sends_nothing_more);
    CPPUNIT_TEST(request_whose_deadline_passes_while_it_connects_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_;
    metrics_registry metrics_;
    router routes_;
    session_pool pool_{io_, metrics_};

    asio::awaitable<void> exchange(ip_endpoint address, std::string body, std::string& received)
    {
        auto message = make_request(verb::post, "/echo/7?x=1", std::move(body));
        message.set("Galenaturn-Target-Instance", "i-64fce3ef1f");
        const auto reply = co_await pool_.exchange(address, std::move(message),
                                                   monotonic_now() + std::chrono::seconds{5});
        if (reply)
            received = reply.value().body();
    }

    void requests_arrive_whole_over_one_connection()
    {
        routes_.add(verb::post, "/echo/{id}", [](call& incoming) -> asio::awaitable<response> {
            const auto instance = incoming.message["Galenaturn-Target-Instance"];
            const auto target = incoming.message.target();
            co_return make_response(status::ok,
                                    std::string{target.data(), target.size()} + " " +
                                        std::string{instance.data(), instance.size()} + " " +
                                        incoming.message.body(),
                                    "text/plain");
        });
        server target{io_, routes_, {}, metrics_};
        CPPUNIT_ASSERT(target.listen({"127.0.0.1", 0}).has_value());
        for (const std::size_t size : {0, 1, 200, 300'000}) {
            const std::string body(size, 'b');
            std::string received;
            asio::co_spawn(io_, exchange({"127.0.0.1", target.port()}, body, received),
                           [this](const std::exception_ptr&) { io_.stop(); });
            io_.restart();
            io_.run_for(std::chrono::seconds{10});
            CPPUNIT_ASSERT_EQUAL("/echo/7?x=1 i-64fce3ef1f " + body, received);
        }
        const auto& reused =
            metrics_.make_counter("galenaturn_http_sessions_total", {{"use", "reused"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, reused.value());
    }

    asio::awaitable<void> wait_for_answer(ip_endpoint address, duration limit, bool& answered)
    {
        const auto reply = co_await pool_.exchange(address, make_request(verb::get, "/wait"),
                                                   monotonic_now() + limit);
        answered = reply.has_value();
    }

    /** Sends a request with this time to its deadline. Returns whether it was answered. */
    bool is_answered(const server& target, duration limit)
    {
        bool answered = false;
        asio::co_spawn(io_, wait_for_answer({"127.0.0.1", target.port()}, limit, answered),
                       [this](const std::exception_ptr&) { io_.stop(); });
        io_.restart();
        io_.run_for(std::chrono::seconds{10});
        return answered;
    }

    void exchange_ends_at_its_deadline()
    {
        wire::boot_timer never{io_, std::chrono::hours{1}};
        routes_.add(verb::get, "/wait", [&](call& /*incoming*/) -> asio::awaitable<response> {
            boost::system::error_code ignored;
            co_await never.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            co_return make_response(status::ok, "late", "text/plain");
        });
        server target{io_, routes_, {}, metrics_};
        CPPUNIT_ASSERT(target.listen({"127.0.0.1", 0}).has_value());
        for (const auto limit : {std::chrono::milliseconds{300}, std::chrono::milliseconds{50}}) {
            const auto began = monotonic_now();
            CPPUNIT_ASSERT(!is_answered(target, limit));
            CPPUNIT_ASSERT(monotonic_now() - began >= limit);
            CPPUNIT_ASSERT(monotonic_now() - began < limit + std::chrono::milliseconds{200});
        }
    }

    void deadline_of_an_ended_exchange_closes_no_connection()
    {
        routes_.add(verb::get, "/wait", [](call& /*incoming*/) -> asio::awaitable<response> {
            co_return make_response(status::ok, "at once", "text/plain");
        });
        server target{io_, routes_, {}, metrics_};
        CPPUNIT_ASSERT(target.listen({"127.0.0.1", 0}).has_value());
        for (int request = 0; request < 3; ++request) {
            CPPUNIT_ASSERT(is_answered(target, std::chrono::milliseconds{100}));
            io_.restart();
            io_.run_for(std::chrono::milliseconds{150});
        }
        const auto& opened =
            metrics_.make_counter("galenaturn_http_sessions_total", {{"use", "opened"}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, opened.value());
    }

    asio::awaitable<error_code> error_of_exchange(ip_endpoint address, time_point deadline)
    {
        const auto reply =
            co_await pool_.exchange(address, make_request(verb::post, "/wait", "body"), deadline);
        co_return reply ? error_code{} : reply.error();
    }

    error_code run_exchange(std::uint16_t port, duration limit = std::chrono::milliseconds{300})
    {
        error_code received;
        asio::co_spawn(io_, error_of_exchange({"127.0.0.1", port}, monotonic_now() + limit),
                       [&](const std::exception_ptr&, error_code error) {
                           received = error;
                           io_.stop();
                       });
        io_.restart();
        io_.run_for(std::chrono::seconds{5});
        return received;
    }

    /** Guards against a request that is taken for one which may have arrived, or the reverse. */
    void exchange_without_a_connection_has_sent_nothing()
    {
        asio::ip::tcp::acceptor silent{io_, {asio::ip::make_address("127.0.0.1"), 0}};
        const auto port = silent.local_endpoint().port();
        // The system accepts the connection and the request, although nothing reads them.
        CPPUNIT_ASSERT(run_exchange(port) == error_code{asio::error::timed_out});
        silent.close();
        CPPUNIT_ASSERT(run_exchange(port) == make_error_code(client_error::connection_refused));
    }

    /** Guards against a command that is sent after the time for which its sender had checked it. */
    void request_whose_deadline_passes_while_it_connects_is_not_sent()
    {
        asio::ip::tcp::acceptor silent{io_, {asio::ip::make_address("127.0.0.1"), 0}};
        CPPUNIT_ASSERT(run_exchange(silent.local_endpoint().port(), duration{}) ==
                       make_error_code(client_error::not_connected));
        asio::ip::tcp::socket accepted{io_};
        boost::system::error_code error;
        silent.accept(accepted, error);
        std::array<char, 1024> received{};
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, accepted.read_some(asio::buffer(received), error));
    }

    /** Guards against a command that arrives after it was given up, as when a partition ends. */
    void connection_of_an_exchange_that_has_ended_sends_nothing_more()
    {
        asio::ip::tcp::acceptor silent{io_, {asio::ip::make_address("127.0.0.1"), 0}};
        CPPUNIT_ASSERT(run_exchange(silent.local_endpoint().port()) ==
                       error_code{asio::error::timed_out});
        asio::ip::tcp::socket accepted{io_};
        boost::system::error_code error;
        silent.accept(accepted, error);
        std::array<char, 1024> received{};
        while (!error)
            accepted.read_some(asio::buffer(received), error);
        CPPUNIT_ASSERT(error == error_code{asio::error::connection_reset});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_pool_test);

} // namespace galenaturn::http
