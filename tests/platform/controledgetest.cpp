#include "platform/controledge.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace galenaturn::platform {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string document =
    R"({"version":7,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/a/",)"
    R"("timeoutMs":3000,"service":"desk"}],"services":[{"name":"desk"}]})";

std::string request_for(const std::string& body)
{
    return "PUT /-/config HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The operator's routes of a control process, on a loopback port. */
class served_control {
public:
    served_control() : server_{io_, routes_, {}, metrics_}
    {
        control_handlers handlers;
        handlers.on_worker_announcement = [](const wire::worker_presence&) {};
        handlers.publish =
            [this](wire::publish_queues queues) -> asio::awaitable<wire::command_response> {
            ++published;
            last_document = std::move(queues.document);
            wire::command_response response;
            response.status = wire::command_status::accepted;
            co_return response;
        };
        handlers.newest = []() -> asio::awaitable<std::optional<wire::publish_queues>> {
            co_return std::nullopt;
        };
        add_control_routes(routes_, std::move(handlers), metrics_);
        CPPUNIT_ASSERT(server_.listen({"127.0.0.1", 0}));
        thread_ = std::thread{[this] { io_.run(); }};
    }

    ~served_control()
    {
        io_.stop();
        thread_.join();
    }
    served_control(const served_control&) = delete;
    served_control& operator=(const served_control&) = delete;

    /** Sends the text up to `length` in two parts, then closes the sending side. */
    std::string send(const std::string& text, std::size_t length)
    {
        asio::io_context io;
        tcp::socket socket{io};
        socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
        asio::write(socket, asio::buffer(text.data(), length / 2));
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(text.data() + length / 2, length - length / 2), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), ignored);
        return response;
    }

    std::atomic<int> published{0};
    std::string last_document;

private:
    asio::io_context io_{1};
    http::router routes_;
    metrics_registry metrics_;
    http::server server_;
    std::thread thread_;
};

} // namespace

/** Tests what an operator's request publishes, as it arrives on the socket. */
class control_edge_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_edge_test);
    CPPUNIT_TEST(a_document_that_is_cut_anywhere_is_not_published);
    CPPUNIT_TEST(a_document_in_parts_is_published_whole);
    CPPUNIT_TEST(a_connection_that_ends_within_the_document_publishes_nothing);
    CPPUNIT_TEST_SUITE_END();

    void a_document_that_is_cut_anywhere_is_not_published()
    {
        served_control control;
        for (std::size_t length = 0; length < document.size(); ++length) {
            const auto request = request_for(document.substr(0, length));
            const auto response = control.send(request, request.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(length), std::string{"HTTP/1.1 400"},
                                         response.substr(0, 12));
        }
        CPPUNIT_ASSERT_EQUAL(0, control.published.load());
    }

    void a_document_in_parts_is_published_whole()
    {
        served_control control;
        const auto request = request_for(document);
        const auto response = control.send(request, request.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 200"}, response.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(1, control.published.load());
        CPPUNIT_ASSERT_EQUAL(document, control.last_document);
    }

    void a_connection_that_ends_within_the_document_publishes_nothing()
    {
        served_control control;
        const auto request = request_for(document);
        for (std::size_t missing = 1; missing <= document.size(); ++missing) {
            const auto response = control.send(request, request.size() - missing);
            CPPUNIT_ASSERT(!response.starts_with("HTTP/1.1 2"));
        }
        CPPUNIT_ASSERT_EQUAL(0, control.published.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_edge_test);

} // namespace galenaturn::platform
