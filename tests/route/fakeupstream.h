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

/** What a fake upstream does with the requests it reads. */
enum class fake_behaviour {
    answer,
    fail,
    refuse_not_run,
    close_unanswered,
    cut_answer,
    send_garbage,
    answer_without_length,
    answer_other_request,
    never_answer,
};

/** An upstream on loopback that answers, fails, or breaks off, and keeps count. */
class fake_upstream {
public:
    explicit fake_upstream(boost::asio::io_context& io);
    ~fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    fake_behaviour behaviour{fake_behaviour::answer};
    /** How long each request takes. */
    duration delay{};
    std::size_t received{0};
    std::size_t answered{0};
    std::size_t busy{0};
    std::size_t most_busy{0};
    std::size_t connections{0};
    std::size_t most_connections{0};
    /** How often each body was received. */
    std::map<std::string, int> bodies;

    /** Closes listener and connections, as a killed process would. */
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
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<session> peer);
    boost::asio::awaitable<bool> serve_one(session& peer);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
    std::set<std::shared_ptr<session>> sessions_;
    /** Cleared at destruction, for coroutines that outlive the object. */
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace galenaturn
