#include "flags.h"

#include <galenaturn/wire.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <xxhash.h>

#include <algorithm>
#include <iostream>
#include <sstream>

DECLARE_string(service);
DECLARE_double(seconds);
DEFINE_string(entry, "", "HTTP addresses of the entries to which requests are sent in turn");
DEFINE_string(owner, "", "Owner of the requests");
DEFINE_int32(requests, 100, "Number of requests to send");
DEFINE_double(rate, 100, "Requests per second");
DEFINE_string(method, "POST", "GET or POST");
DEFINE_string(path, "/", "Path below the service");
DEFINE_string(key_prefix, "", "Each request gets the Idempotency-Key PREFIX-number");
DEFINE_int32(timeout_ms, 2000, "Timeout of each request, sent in its header");
DEFINE_int32(body_bytes, 64, "Size of the body of each request");

namespace galenaturn::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/** Additional time to wait for a response after the timeout of its request. */
constexpr std::chrono::seconds response_margin{2};

std::string hex_digest(std::string_view body)
{
    std::ostringstream out;
    out << std::hex << XXH64(body.data(), body.size(), 0);
    return out.str();
}

/** Returns the string at `key` of a JSON object, or an empty string. */
std::string text_at(const json::value& body, std::string_view key)
{
    const auto* object = body.if_object();
    const auto* value = object == nullptr ? nullptr : object->if_contains(key);
    const auto* text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string{} : std::string{text->data(), text->size()};
}

/** Sends requests at a fixed rate and counts the responses by outcome. */
class load {
public:
    load() : entries_{parse_endpoints(FLAGS_entry)} {}

    int run()
    {
        asio::co_spawn(io_, send_all(), asio::detached);
        io_.run();
        std::cout << json::serialize(summary()) << std::endl;
        return mismatched_ == 0 ? 0 : 1;
    }

private:
    asio::awaitable<void> send_all()
    {
        const auto interval = duration{static_cast<std::int64_t>(1e6 / FLAGS_rate)};
        const auto first = monotonic_now();
        const auto last = FLAGS_seconds > 0
                              ? first + duration{static_cast<std::int64_t>(FLAGS_seconds * 1e6)}
                              : time_point::max();
        wire::boot_timer timer{io_};
        for (int number = 0; number < FLAGS_requests && monotonic_now() < last; ++number) {
            timer.expires_at(first + interval * number);
            co_await timer.async_wait(use_result);
            ++sent_;
            asio::co_spawn(io_, send_one(number), asio::detached);
        }
    }

    asio::awaitable<void> send_one(int number)
    {
        const auto request_id = FLAGS_owner + "-" + std::to_string(number);
        auto message = make_message(request_id, number);
        const auto digest = hex_digest(message.body());
        const auto sent = monotonic_now();
        const auto deadline = sent + std::chrono::milliseconds{FLAGS_timeout_ms} + response_margin;
        const auto& entry = entries_[static_cast<std::size_t>(number) % entries_.size()];
        const auto response = co_await http::fetch(io_, entry, std::move(message), deadline);
        latencies_.push_back(monotonic_now() - sent);
        if (!response) {
            ++outcomes_["no_answer " + response.error().message()];
            co_return;
        }
        ++outcomes_[outcome_of(response.value())];
        if (response.value().result() == http::status::ok)
            check(response.value(), request_id, digest);
    }

    static http::request make_message(const std::string& request_id, int number)
    {
        const bool reads = FLAGS_method == "GET";
        std::string body = request_id;
        body.resize(static_cast<std::size_t>(std::max(FLAGS_body_bytes, 0)), 'x');
        auto message = http::make_request(reads ? http::verb::get : http::verb::post,
                                          "/v1/services/" + FLAGS_service + FLAGS_path +
                                              "?request=" + request_id,
                                          reads ? "" : body);
        message.set("Galenaturn-Owner", FLAGS_owner);
        message.set("Galenaturn-Timeout", std::to_string(FLAGS_timeout_ms) + "ms");
        message.set("Galenaturn-Request-Id", request_id);
        if (!FLAGS_key_prefix.empty())
            message.set("Idempotency-Key", FLAGS_key_prefix + "-" + std::to_string(number));
        return message;
    }

    static std::string outcome_of(const http::response& response)
    {
        auto outcome = std::to_string(response.result_int());
        if (response.result() == http::status::ok)
            return outcome;
        boost::system::error_code error;
        const auto body = json::parse(response.body(), error);
        const auto reason = error ? std::string{} : text_at(body, "reason");
        return reason.empty() ? outcome : outcome + " " + reason;
    }

    /** Checks that the response belongs to the request and is complete; counts mismatches. */
    void check(const http::response& response, const std::string& request_id,
               const std::string& digest)
    {
        boost::system::error_code error;
        const auto body = json::parse(response.body(), error);
        const bool matches = !error && text_at(body, "path").ends_with("?request=" + request_id) &&
                             text_at(body, "body_xxh64") == digest;
        if (matches)
            ++by_upstream_[text_at(body, "upstream")];
        else
            ++mismatched_;
    }

    [[nodiscard]] double latency_ms(double probability) const
    {
        if (latencies_.empty())
            return 0;
        const auto last = static_cast<double>(latencies_.size() - 1);
        const auto& sample = latencies_[static_cast<std::size_t>(last * probability)];
        return static_cast<double>(sample.count()) / 1e3;
    }

    json::object summary()
    {
        std::sort(latencies_.begin(), latencies_.end());
        json::object body;
        body["sent"] = sent_;
        body["answered"] = latencies_.size();
        json::object outcomes;
        for (const auto& [outcome, count] : outcomes_)
            outcomes[outcome] = count;
        body["outcomes"] = std::move(outcomes);
        json::object upstreams;
        for (const auto& [upstream, count] : by_upstream_)
            upstreams[upstream] = count;
        body["by_upstream"] = std::move(upstreams);
        body["mismatched"] = mismatched_;
        body["p50_ms"] = latency_ms(0.5);
        body["p99_ms"] = latency_ms(0.99);
        return body;
    }

    asio::io_context io_{1};
    std::vector<ip_endpoint> entries_;
    std::uint64_t sent_{0};
    std::uint64_t mismatched_{0};
    std::vector<duration> latencies_;
    std::map<std::string, std::uint64_t> outcomes_;
    std::map<std::string, std::uint64_t> by_upstream_;
};

} // namespace

int run_load()
{
    if (FLAGS_service.empty() || FLAGS_owner.empty() || FLAGS_rate <= 0)
        fail_usage("load needs --service, --owner and a positive --rate");
    return load{}.run();
}

} // namespace galenaturn::standin
