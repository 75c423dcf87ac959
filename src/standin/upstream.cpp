#include "announcer.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <xxhash.h>

#include <csignal>
#include <iostream>
#include <random>

DEFINE_string(entries, "", "HTTP addresses of entries, ip:port,ip:port");
DEFINE_string(id, "", "Id of this upstream or worker");
DEFINE_string(failure_domain, "", "Failure domain of this upstream or worker");
DEFINE_string(rack, "rack-1", "Rack of this upstream or worker");
DEFINE_string(service, "", "Service that the upstream serves, or that the load calls");
DEFINE_string(listen, "127.0.0.1:0", "Address of the upstream; port 0 selects a free port");
DEFINE_int32(slots, 8, "Maximum number of requests that the upstream runs concurrently");
DEFINE_int32(connections, 64, "Maximum number of connections to the upstream");
DEFINE_int32(delay_ms, 0, "Time that the upstream takes for a request");
DEFINE_double(fail_share, 0, "Share of requests that the upstream fails with status 500");
DEFINE_double(cut_share, 0, "Share of responses that the upstream cuts off half way");
DEFINE_int32(linger_ms, 2500, "How long a leaving upstream still serves");
DEFINE_double(seconds, 0, "End after this time; 0 runs until a signal");

namespace galenaturn::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds announcement_interval{500};
constexpr std::chrono::milliseconds announcement_timeout{400};
constexpr std::chrono::milliseconds announcement_retry{50};
/** Time after which the entries must send no new requests to a leaving upstream. */
constexpr std::chrono::seconds leave_propagation_limit{2};

std::string hex_digest(std::string_view body)
{
    std::ostringstream out;
    out << std::hex << XXH64(body.data(), body.size(), 0);
    return out.str();
}

/** Serves requests within its slots and announces to the entries how many are in use. */
class upstream {
public:
    upstream()
        : server_{io_, routes_, limits(), metrics_}, announcer_{io_,
                                                                parse_endpoints(FLAGS_entries)},
          timer_{io_}, signals_{io_, SIGTERM, SIGINT}, random_{std::random_device{}()}
    {
        routes_.add(http::verb::get, "/stats",
                    [this](http::call&) -> asio::awaitable<http::response> { co_return stats(); });
        routes_.add(http::verb::unknown, "/{path...}",
                    [this](http::call& incoming) { return serve(incoming); });
    }

    int run()
    {
        const auto address = parse_endpoints(FLAGS_listen).front();
        if (!server_.listen(address)) {
            std::cerr << "cannot listen on " << FLAGS_listen << "\n";
            return 1;
        }
        announcement_.id = upstream_id{FLAGS_id};
        announcement_.service = service_id{FLAGS_service};
        announcement_.domain = failure_domain_id{FLAGS_failure_domain};
        announcement_.rack = rack_id{FLAGS_rack};
        announcement_.address = {address.address, server_.port()};
        announcement_.incarnation_number =
            incarnation{static_cast<std::uint64_t>(wall_now().time_since_epoch().count())};
        announcement_.slots = static_cast<std::uint32_t>(FLAGS_slots);
        announcement_.connections = static_cast<std::uint32_t>(FLAGS_connections);
        std::cout << "listening " << announcement_.address << std::endl;
        asio::co_spawn(io_, announce(), asio::detached);
        asio::co_spawn(io_, wait_for_stop(), asio::detached);
        io_.run();
        std::cout << json::serialize(counts()) << std::endl;
        return 0;
    }

private:
    static http::server_limits limits()
    {
        http::server_limits bounds;
        bounds.connections = static_cast<std::size_t>(FLAGS_connections);
        return bounds;
    }

    asio::awaitable<void> announce()
    {
        while (true) {
            ++announcement_.sequence;
            announcement_.busy_slots = busy_;
            const auto response = co_await announcer_.put(
                "/v1/upstreams/" + FLAGS_id, http::to_json(announcement_), announcement_timeout);
            timer_.expires_after(response ? announcement_interval : announcement_retry);
            co_await timer_.async_wait(use_result);
        }
    }

    asio::awaitable<void> wait_for_stop()
    {
        if (FLAGS_seconds > 0) {
            wire::boot_timer end{io_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::duration<double>{FLAGS_seconds})};
            end.async_wait([this](const boost::system::error_code& error) {
                if (!error)
                    signals_.cancel();
            });
            co_await signals_.async_wait(use_result);
        }
        else {
            co_await signals_.async_wait(use_result);
        }
        co_await leave();
    }

    /**
     * Announces the leave at once and ends the program when no request runs, but not before
     * --linger_ms have passed, so that the entries learn of it in time.
     */
    asio::awaitable<void> leave()
    {
        announcement_.leaving = true;
        leave_started_ = monotonic_now();
        timer_.cancel();
        const auto earliest = monotonic_now() + std::chrono::milliseconds{FLAGS_linger_ms};
        wire::boot_timer pause{io_};
        while (busy_ > 0 || monotonic_now() < earliest) {
            pause.expires_after(std::chrono::milliseconds{20});
            co_await pause.async_wait(use_result);
        }
        server_.stop();
        io_.stop();
    }

    /** Returns true with the probability `share`. */
    bool draw(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>{0, 1}(random_) < share;
    }

    asio::awaitable<http::response> serve(http::call& incoming)
    {
        if (busy_ >= static_cast<std::uint32_t>(FLAGS_slots)) {
            ++refused_;
            co_return http::make_problem({http::status::service_unavailable, "slots_taken",
                                          "all slots of this upstream are in use", 0, true});
        }
        ++busy_;
        max_busy_ = std::max(max_busy_, busy_);
        ++executions_;
        if (announcement_.leaving && monotonic_now() > leave_started_ + leave_propagation_limit)
            ++started_after_leave_;
        const std::string key{incoming.message["Idempotency-Key"]};
        const auto key_executions = key.empty() ? 0 : ++executions_by_key_[key];
        if (FLAGS_delay_ms > 0) {
            wire::boot_timer work{io_, std::chrono::milliseconds{FLAGS_delay_ms}};
            co_await work.async_wait(use_result);
        }
        --busy_;
        if (draw(FLAGS_cut_share))
            incoming.truncate_response = true;
        if (draw(FLAGS_fail_share))
            co_return http::make_problem({http::status::internal_server_error, "failed",
                                          "failed because of --fail_share", 0, false});
        co_return make_reply(incoming.message, key_executions);
    }

    [[nodiscard]] http::response make_reply(const http::request& message,
                                            std::uint64_t key_executions) const
    {
        json::object body;
        body["upstream"] = FLAGS_id;
        body["request_id"] = std::string{message["Galenaturn-Request-Id"]};
        body["method"] = std::string{message.method_string()};
        body["path"] = std::string{message.target()};
        body["body_bytes"] = message.body().size();
        body["body_xxh64"] = hex_digest(message.body());
        body["key_executions"] = key_executions;
        auto reply =
            http::make_response(http::status::ok, json::serialize(body), "application/json");
        reply.set("Galenaturn-Request-Id", message["Galenaturn-Request-Id"]);
        return reply;
    }

    [[nodiscard]] json::object counts() const
    {
        json::object body;
        body["upstream"] = FLAGS_id;
        body["executions"] = executions_;
        body["refused"] = refused_;
        body["busy"] = busy_;
        body["most_busy"] = max_busy_;
        body["started_after_leave"] = started_after_leave_;
        json::object by_key;
        for (const auto& [key, count] : executions_by_key_)
            by_key[key] = count;
        body["executions_by_key"] = std::move(by_key);
        return body;
    }

    [[nodiscard]] http::response stats() const
    {
        return http::make_response(http::status::ok, json::serialize(counts()), "application/json");
    }

    asio::io_context io_{1};
    metrics_registry metrics_;
    http::router routes_;
    http::server server_;
    announcer announcer_;
    wire::boot_timer timer_;
    asio::signal_set signals_;
    std::mt19937_64 random_;
    wire::upstream_announcement announcement_;
    time_point leave_started_;
    std::uint32_t busy_{0};
    std::uint32_t max_busy_{0};
    std::uint64_t executions_{0};
    std::uint64_t refused_{0};
    std::uint64_t started_after_leave_{0};
    std::map<std::string, std::uint64_t> executions_by_key_;
};

} // namespace

std::vector<ip_endpoint> parse_endpoints(const std::string& text)
{
    std::vector<ip_endpoint> endpoints;
    std::istringstream in{text};
    std::string part;
    while (std::getline(in, part, ',')) {
        const auto parsed = parse_endpoint(part);
        if (!parsed)
            fail_usage("'" + part + "' is not of the form ip:port");
        endpoints.push_back(*parsed);
    }
    if (endpoints.empty())
        fail_usage("no address is given");
    return endpoints;
}

void fail_usage(const std::string& message)
{
    constexpr int exit_usage = 2;
    std::cerr << "galenaturn-standin: " << message << "; see --help\n";
    std::exit(exit_usage); // NOLINT: called before any thread or coroutine starts
}

int run_upstream()
{
    if (FLAGS_id.empty() || FLAGS_service.empty() || FLAGS_failure_domain.empty())
        fail_usage("upstream needs --id, --service and --failure_domain");
    return upstream{}.run();
}

} // namespace galenaturn::standin
