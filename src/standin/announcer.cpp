#include "announcer.h"

#include <random>
#include <utility>

namespace galenaturn::standin {

announcer::announcer(boost::asio::io_context& io, std::vector<ip_endpoint> entries)
    : io_{io}, entries_{std::move(entries)}, current_{std::random_device{}() % entries_.size()}
{
}

boost::asio::awaitable<result<std::string>> announcer::put(std::string target, std::string body,
                                                           duration timeout)
{
    const auto tried = current_;
    auto message = http::make_request(http::verb::put, target, std::move(body));
    auto response =
        co_await http::fetch(io_, entries_[tried], std::move(message), monotonic_now() + timeout);
    if (response && response.value().result() == http::status::ok)
        co_return std::move(response).value().body();
    if (current_ == tried)
        current_ = (tried + 1) % entries_.size();
    if (!response)
        co_return response.error();
    log_event(log_level::warning, "announcement_refused",
              {{"status", response.value().result_int()}, {"body", response.value().body()}});
    co_return wire::make_error_code(wire::wire_error::not_connected);
}

} // namespace galenaturn::standin
