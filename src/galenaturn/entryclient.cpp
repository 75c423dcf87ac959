#include "entryclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace galenaturn::command_line {

namespace {

/** Longer than an entry waits for the ledger, so that the response of the entry arrives first. */
constexpr duration attempt_timeout = std::chrono::seconds{9};
constexpr std::chrono::milliseconds retry_delay{200};

std::string random_request_id()
{
    std::random_device device;
    std::ostringstream text;
    text << "cli-" << std::hex << wall_now().time_since_epoch().count() << '-' << device();
    return text.str();
}

std::string header_of(const http::response& response, const std::string& name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

std::string without_quotes(std::string text)
{
    std::erase(text, '"');
    return text;
}

/** Returns the reason and detail of a problem+json body, or the body if it is no JSON object. */
std::string problem_of(const std::string& body)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(body, error);
    if (error || !document.is_object())
        return body;
    const auto& problem = document.get_object();
    std::string text;
    for (const auto* key : {"reason", "detail"}) {
        const auto* value = problem.if_contains(key);
        if (value != nullptr && value->is_string())
            text += (text.empty() ? "" : ": ") + std::string{value->get_string()};
    }
    return text;
}

using optional_response = std::optional<result<http::response>>;

/** Like http::fetch, with a default-constructible result, which co_spawn requires. */
boost::asio::awaitable<optional_response> fetch_one(boost::asio::io_context& io,
                                                    ip_endpoint address, http::request message,
                                                    time_point deadline)
{
    co_return co_await http::fetch(io, std::move(address), std::move(message), deadline);
}

result<http::response> exchange(const ip_endpoint& address, const http::request& message,
                                time_point deadline)
{
    boost::asio::io_context io{1};
    optional_response response;
    boost::asio::co_spawn(io, fetch_one(io, address, message, deadline),
                          [&response](const std::exception_ptr& failure, optional_response value) {
                              if (failure)
                                  std::rethrow_exception(failure);
                              response = std::move(value);
                          });
    io.run();
    return std::move(*response);
}

reply to_reply(const http::response& response)
{
    reply converted;
    converted.status = response.result_int();
    converted.body = response.body();
    converted.version_tag = without_quotes(header_of(response, "ETag"));
    converted.digest = header_of(response, "Galenaturn-Digest");
    if (!converted.succeeded())
        converted.problem = problem_of(converted.body);
    return converted;
}

/** Returns whether a retry may succeed, with another entry or with the same one later. */
bool is_retryable(unsigned status)
{
    return status == 502 || status == 503 || status == 504;
}

} // namespace

entry_client::entry_client(std::vector<ip_endpoint> entries, duration timeout,
                           std::string request_id)
    : entries_{std::move(entries)}, deadline_{monotonic_now() + timeout},
      request_id_{request_id.empty() ? random_request_id() : std::move(request_id)}
{
}

reply entry_client::send(http::verb method, const std::string& target, const std::string& body,
                         const std::vector<std::pair<std::string, std::string>>& headers)
{
    auto message = http::make_request(method, target, body);
    message.set("Galenaturn-Request-Id", request_id_);
    for (const auto& [name, value] : headers)
        message.set(name, value);
    reply last;
    last.problem = entries_.empty() ? "no entries: use --entries or GALENATURN_ENTRIES" : "";
    bool may_have_reached_ledger = false;
    for (std::size_t attempt = 0; !entries_.empty(); ++attempt) {
        if (attempt >= entries_.size())
            std::this_thread::sleep_for(retry_delay);
        if (monotonic_now() >= deadline_)
            break;
        const auto& address = entries_[attempt % entries_.size()];
        const auto response =
            exchange(address, message, std::min(deadline_, monotonic_now() + attempt_timeout));
        if (response) {
            last = to_reply(response.value());
            if (!is_retryable(last.status))
                return last;
            may_have_reached_ledger |= last.status == 504;
            continue;
        }
        std::ostringstream problem;
        problem << "entry " << address << ": " << response.error().message();
        last.problem = problem.str();
        may_have_reached_ledger |= response.error() != boost::asio::error::connection_refused;
    }
    last.outcome_unknown = may_have_reached_ledger && method != http::verb::get;
    return last;
}

reply entry_client::get_once(const ip_endpoint& address, const std::string& target,
                             duration timeout)
{
    const auto response =
        exchange(address, http::make_request(http::verb::get, target), monotonic_now() + timeout);
    if (response)
        return to_reply(response.value());
    reply failed;
    failed.problem = response.error().message();
    return failed;
}

exit_code exit_code_of(const reply& response)
{
    if (response.succeeded())
        return exit_code::ok;
    if (response.outcome_unknown)
        return exit_code::failed;
    switch (response.status) {
    case 0:
    case 502:
    case 503:
    case 504:
        return exit_code::unavailable;
    case 400:
    case 413:
    case 422:
    case 428:
        return exit_code::bad_usage;
    case 404:
        return exit_code::not_found;
    case 409:
    case 412:
        return exit_code::conflict;
    default:
        return exit_code::failed;
    }
}

} // namespace galenaturn::command_line
