#include <galenaturn/http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace galenaturn::http {

namespace asio = boost::asio;

/** Tests what a server receives over a pooled connection, and what its client gets back. */
class session_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(session_pool_test);
    CPPUNIT_TEST(requests_arrive_whole_over_one_connection);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_pool_test);

} // namespace galenaturn::http
