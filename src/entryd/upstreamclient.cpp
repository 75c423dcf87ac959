#include "upstreamclient.h"

#include "requestparser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using route::attempt_outcome;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/** An upstream in the same region accepts a connection well within this time. */
constexpr duration connect_timeout = std::chrono::milliseconds{500};
/** A connection that was idle for longer is closed instead of reused. */
constexpr duration max_idle_time = std::chrono::seconds{20};
constexpr std::uint32_t max_response_header_bytes = 32U << 10;

bool is_server_error(http::status code)
{
    return code == http::status::internal_server_error || code == http::status::bad_gateway ||
           code == http::status::service_unavailable || code == http::status::gateway_timeout;
}

attempt_outcome outcome_of(const boost::system::error_code& error, bool response_began)
{
    namespace beast_http = boost::beast::http;
    if (error == asio::error::timed_out)
        return attempt_outcome::timed_out;
    if (error == beast_http::error::body_limit || error == beast_http::error::header_limit)
        return attempt_outcome::answer_too_large;
    if (error == beast_http::error::partial_message)
        return attempt_outcome::answer_cut;
    if (error == beast_http::error::end_of_stream)
        return attempt_outcome::connection_lost;
    if (error.category() == make_error_code(beast_http::error::bad_version).category())
        return attempt_outcome::answer_malformed;
    return response_began ? attempt_outcome::answer_cut : attempt_outcome::connection_lost;
}

attempt_outcome outcome_of(const http::response& response)
{
    if (response.result() == http::status::service_unavailable &&
        response[not_run_header] == "true")
        return attempt_outcome::not_run;
    return is_server_error(response.result()) ? attempt_outcome::server_error
                                              : attempt_outcome::answered;
}

} // namespace

struct upstream_client::connection {
    explicit connection(asio::io_context& io) : socket{io} {}

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    incarnation incarnation_number;
    ip_endpoint address;
    time_point idle_since;
    bool reusable{false};
};

/** Counts a connection as in use during its exchange. */
class upstream_client::use_guard {
public:
    explicit use_guard(upstream_connections& upstream) : upstream_{upstream} { ++upstream_.in_use; }
    ~use_guard() { --upstream_.in_use; }
    use_guard(const use_guard&) = delete;
    use_guard& operator=(const use_guard&) = delete;

private:
    upstream_connections& upstream_;
};

upstream_client::upstream_client(asio::io_context& io, bytes body_limit, request_metrics& metrics)
    : io_{io}, deadlines_{io},
      body_limit_{static_cast<std::uint64_t>(body_limit.value())}, metrics_{metrics}
{
}

upstream_client::~upstream_client() = default;

std::unique_ptr<upstream_client::connection>
upstream_client::take_idle(const upstream_target& target)
{
    auto& idle = upstreams_[target.id].idle;
    const auto now = monotonic_now();
    while (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        const bool current = link->incarnation_number == target.incarnation_number &&
                             link->address == target.address;
        if (current && now - link->idle_since < max_idle_time &&
            http::is_open_and_idle(link->socket))
            return link;
    }
    return nullptr;
}

asio::awaitable<bool> upstream_client::connect(connection& link, const upstream_target& target,
                                               time_point deadline)
{
    link.incarnation_number = target.incarnation_number;
    link.address = target.address;
    const tcp::endpoint endpoint{asio::ip::make_address(target.address.address),
                                 target.address.port};
    const http::socket_deadlines::watch watch{
        deadlines_, link.socket, std::min(deadline, monotonic_now() + connect_timeout)};
    metrics_.connections_opened.add();
    auto [error] = co_await link.socket.async_connect(endpoint, use_result);
    if (error || monotonic_now() >= deadline)
        co_return false;
    boost::system::error_code ignored;
    link.socket.set_option(tcp::no_delay{true}, ignored);
    co_return true;
}

asio::awaitable<attempt_result> upstream_client::read_response(connection& link, bool head_only,
                                                               const std::string& id,
                                                               time_point deadline)
{
    attempt_result result;
    for (;;) {
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(body_limit_);
        parser.header_limit(max_response_header_bytes);
        parser.skip(head_only);
        auto [error, size] =
            co_await beast::http::async_read(link.socket, link.buffer, parser, use_result);
        if (error) {
            result.outcome =
                outcome_of(http::error_at_deadline(deadline, error), parser.got_some());
            co_return result;
        }
        // An informational (1xx) response is followed by the final one.
        if (beast::http::to_status_class(parser.get().result()) ==
            beast::http::status_class::informational)
            continue;
        // Without a length, a complete response cannot be distinguished from one that was cut off.
        if (parser.need_eof() && !head_only) {
            result.outcome = attempt_outcome::answer_cut;
            co_return result;
        }
        link.reusable = parser.get().keep_alive() && link.buffer.size() == 0;
        result.response = parser.release();
        break;
    }
    const auto echoed = result.response.find(request_id_header);
    if (echoed != result.response.end() && echoed->value() != id) {
        link.reusable = false;
        result.outcome = attempt_outcome::answer_mismatched;
        co_return result;
    }
    result.outcome = outcome_of(result.response);
    co_return result;
}

asio::awaitable<attempt_result> upstream_client::send_and_receive(connection& link,
                                                                  http::request& message,
                                                                  const std::string& id,
                                                                  time_point deadline)
{
    link.reusable = false;
    const http::socket_deadlines::watch watch{deadlines_, link.socket, deadline};
    auto [error, size] = co_await beast::http::async_write(link.socket, message, use_result);
    if (error) {
        attempt_result failed;
        failed.outcome = monotonic_now() < deadline ? attempt_outcome::connection_lost
                                                    : attempt_outcome::timed_out;
        co_return failed;
    }
    co_return co_await read_response(link, message.method() == http::verb::head, id, deadline);
}

asio::awaitable<attempt_result> upstream_client::exchange(upstream_target target,
                                                          http::request message, std::string id,
                                                          time_point deadline, bool new_connection,
                                                          exchange_control* control)
{
    const auto started = monotonic_now();
    metrics_.attempts.add();
    auto& upstream = upstreams_[target.id];
    const use_guard use{upstream};
    auto link = new_connection ? nullptr : take_idle(target);
    attempt_result result;
    bool connected = link != nullptr;
    if (connected)
        metrics_.connections_reused.add();
    else
        link = std::make_unique<connection>(io_);
    if (control != nullptr)
        control->cancel = [&link] { link->close(); };
    if (!connected)
        connected = co_await connect(*link, target, deadline);
    if (connected)
        result = co_await send_and_receive(*link, message, id, deadline);
    if (control != nullptr)
        control->cancel = nullptr;
    result.took = monotonic_now() - started;
    if (link->reusable)
        return_to_pool(target, std::move(link));
    else
        link->close();
    co_return result;
}

void upstream_client::return_to_pool(const upstream_target& target,
                                     std::unique_ptr<connection> link)
{
    auto& idle = upstreams_[target.id].idle;
    if (idle.size() >= target.max_idle_connections)
        return;
    link->idle_since = monotonic_now();
    idle.push_back(std::move(link));
}

void upstream_client::close_idle(const upstream_id& id)
{
    const auto pool = upstreams_.find(id);
    if (pool != upstreams_.end())
        pool->second.idle.clear();
}

std::size_t upstream_client::connections(const upstream_id& id) const
{
    const auto pool = upstreams_.find(id);
    return pool == upstreams_.end() ? 0 : pool->second.idle.size() + pool->second.in_use;
}

} // namespace galenaturn::entryd
