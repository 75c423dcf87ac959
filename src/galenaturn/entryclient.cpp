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

/** Longer than an entry waits for the ledger, so that its own verdict arrives. */
constexpr duration attempt_limit = std::chrono::seconds{9};
constexpr std::chrono::milliseconds retry_pause{200};

std::string random_request_id()
{
    std::random_device device;
    std::ostringstream text;
    text << "cli-" << std::hex << wall_now().time_since_epoch().count() << '-' << device();
    return text.str();
}

std::string header_of(const http::response& answer, const std::string& name)
{
    const auto value = answer[name];
    return {value.data(), value.size()};
}

std::string without_quotes(std::string text)
{
    std::erase(text, '"');
    return text;
}

/** Returns reason and detail of a problem+json body, or the body itself. */
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

using fetched = std::optional<result<http::response>>;

/** Fetches into a type that has a default, as co_spawn asks for. */
boost::asio::awaitable<fetched> fetch_one(boost::asio::io_context& io, ip_endpoint address,
                                          http::request message, time_point deadline)
{
    co_return co_await http::fetch(io, std::move(address), std::move(message), deadline);
}

result<http::response> exchange(const ip_endpoint& address, const http::request& message,
                                time_point deadline)
{
    boost::asio::io_context io{1};
    fetched answer;
    boost::asio::co_spawn(io, fetch_one(io, address, message, deadline),
                          [&answer](const std::exception_ptr& failure, fetched value) {
                              if (failure)
                                  std::rethrow_exception(failure);
                              answer = std::move(value);
                          });
    io.run();
    return std::move(*answer);
}

reply to_reply(const http::response& answer)
{
    reply made;
    made.status = answer.result_int();
    made.body = answer.body();
    made.version_tag = without_quotes(header_of(answer, "ETag"));
    made.digest = header_of(answer, "Galenaturn-Digest");
    if (!made.succeeded())
        made.problem = problem_of(made.body);
    return made;
}

/** Returns whether another entry, or the same one later, may answer better. */
bool worth_retry(unsigned status)
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
    bool unknown = false;
    for (std::size_t tries = 0; !entries_.empty(); ++tries) {
        if (tries >= entries_.size())
            std::this_thread::sleep_for(retry_pause);
        if (monotonic_now() >= deadline_)
            break;
        const auto& address = entries_[tries % entries_.size()];
        const auto answer =
            exchange(address, message, std::min(deadline_, monotonic_now() + attempt_limit));
        if (answer) {
            last = to_reply(answer.value());
            if (!worth_retry(last.status))
                return last;
            unknown |= last.status == 504;
            continue;
        }
        std::ostringstream problem;
        problem << "entry " << address << ": " << answer.error().message();
        last.problem = problem.str();
        unknown |= answer.error() != boost::asio::error::connection_refused;
    }
    last.outcome_unknown = unknown && method != http::verb::get;
    return last;
}

reply entry_client::ask(const ip_endpoint& address, const std::string& target, duration timeout)
{
    const auto answer =
        exchange(address, http::make_request(http::verb::get, target), monotonic_now() + timeout);
    if (answer)
        return to_reply(answer.value());
    reply failed;
    failed.problem = answer.error().message();
    return failed;
}

exit_code exit_code_of(const reply& answer)
{
    if (answer.succeeded())
        return exit_code::ok;
    if (answer.outcome_unknown)
        return exit_code::failed;
    switch (answer.status) {
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
