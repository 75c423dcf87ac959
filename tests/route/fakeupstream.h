#pragma once

#include <galenaturn/http.h>
#include <galenaturn/messages.h>

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaturn {

/** How a fake upstream responds to the requests that it reads. */
enum class fake_behaviour {
    respond,
    /** Responds with status 500. */
    fail,
    /** Responds with status 503 and the header Galenaturn-Not-Run. */
    refuse_not_run,
    /** Closes the connection without a response. */
    close_without_response,
    /** Closes the connection in the middle of the body. */
    truncate_response,
    send_garbage,
    respond_without_length,
    /** Responds with the id of another request. */
    respond_to_other_request,
    never_respond,
};

/** An upstream on loopback that counts its requests and can respond, fail or disconnect. */
class fake_upstream {
public:
    explicit fake_upstream(boost::asio::io_context& io);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    fake_behaviour behaviour{fake_behaviour::respond};
    /** Time between a request and its response. */
    duration delay{};
    std::size_t received{0};
    std::size_t responses{0};
    std::size_t busy{0};
    std::size_t max_busy{0};
    std::size_t connections{0};
    std::size_t max_connections{0};
    /** Number of requests received with each body. */
    std::map<std::string, int> bodies;

    /** Closes the listener and all connections, as if the process were killed. */
    void kill();
    [[nodiscard]] wire::upstream_announcement announcement(const std::string& id,
                                                           std::uint64_t sequence) const;
    [[nodiscard]] std::uint16_t port() const { return port_; }

    std::uint32_t slots{8};
    std::uint32_t connection_limit{64};
    std::string service{"forecast"};
    std::string domain{"hall-a"};

private:
    struct session;
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(std::shared_ptr<session> connection);
    boost::asio::awaitable<bool> serve_request(session& connection);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
    std::set<std::shared_ptr<session>> sessions_;
    /** Set to false on destruction; coroutines that outlive the object check it. */
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace galenaturn
