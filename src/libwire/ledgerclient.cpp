#include "ledgerclient.h"

#include "boottimer.h"
#include "codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenaturn::wire {

namespace asio = boost::asio;

namespace {

constexpr duration attempt_timeout = std::chrono::milliseconds{1500};
constexpr duration retry_delay = std::chrono::milliseconds{40};

asio::awaitable<void> pause(asio::io_context& io, time_point deadline)
{
    boot_timer timer{io};
    timer.expires_at(std::min(monotonic_now() + retry_delay, deadline));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

ledger_client::ledger_client(channel_context& context, peer_directory& peers)
    : context_{context}, peers_{peers}, id_prefix_{
                                            context.self.process.value() + "-" +
                                            std::to_string(wall_now().time_since_epoch().count()) +
                                            "-"}
{
}

std::vector<process_id> ledger_client::controls() const
{
    std::vector<process_id> sorted;
    std::vector<process_id> distant;
    for (const auto& member : peers_.members()) {
        if (member.role != process_role::control || member.id == context_.self.process)
            continue;
        // The control process of the own domain first: it is nearest, and it knows the leader.
        (member.domain == context_.self.domain ? sorted : distant).push_back(member.id);
    }
    sorted.insert(sorted.end(), distant.begin(), distant.end());
    return sorted;
}

request_id ledger_client::next_request_id()
{
    return request_id{id_prefix_ + std::to_string(++last_request_)};
}

process_id ledger_client::next_candidate(const process_id& hint)
{
    if (!hint.empty() && peers_.find(hint) != nullptr)
        return hint;
    ++last_tried_;
    return first_candidate();
}

process_id ledger_client::first_candidate()
{
    const auto candidates = controls();
    return candidates.empty() ? process_id{} : candidates[last_tried_ % candidates.size()];
}

asio::awaitable<command_response> ledger_client::submit(command_request request,
                                                        time_point deadline)
{
    const auto payload = encode(request);
    bool may_have_run = false;
    process_id candidate = leader_.empty() ? first_candidate() : leader_;
    while (monotonic_now() < deadline) {
        auto* link = peers_.find(candidate);
        const auto limit = std::min(deadline, monotonic_now() + attempt_timeout);
        auto reply = result<std::string>{make_error_code(wire_error::not_connected)};
        if (link != nullptr)
            reply = co_await link->call(frame_kind::ledger_command, payload, limit);
        process_id hint;
        if (reply) {
            auto response = decode<command_response>(reply.value());
            if (response && response.value().status != command_status::not_leader &&
                response.value().status != command_status::unavailable &&
                response.value().status != command_status::unknown) {
                leader_ = candidate;
                co_return response.value();
            }
            if (response)
                hint = response.value().leader;
            may_have_run |= !response || response.value().status == command_status::unknown;
        }
        else {
            may_have_run |= reply.error() != make_error_code(wire_error::not_connected);
        }
        leader_ = process_id{};
        candidate = next_candidate(hint == candidate ? process_id{} : hint);
        co_await pause(context_.io, deadline);
    }
    command_response failed;
    failed.status = may_have_run ? command_status::unknown : command_status::unavailable;
    failed.reason = may_have_run ? "no answer from the ledger in time" : "no quorum reachable";
    co_return failed;
}

asio::awaitable<query_response> ledger_client::ask(query_request request, time_point deadline)
{
    const auto payload = encode(request);
    process_id candidate = leader_.empty() ? first_candidate() : leader_;
    while (monotonic_now() < deadline) {
        auto* link = peers_.find(candidate);
        const auto limit = std::min(deadline, monotonic_now() + attempt_timeout);
        auto reply = result<std::string>{make_error_code(wire_error::not_connected)};
        if (link != nullptr)
            reply = co_await link->call(frame_kind::ledger_query, payload, limit);
        process_id hint;
        if (reply) {
            auto response = decode<query_response>(reply.value());
            if (response && response.value().status != query_status::not_leader &&
                response.value().status != query_status::unavailable) {
                leader_ = request.stale_allowed ? leader_ : candidate;
                co_return response.value();
            }
            if (response)
                hint = response.value().leader;
        }
        leader_ = process_id{};
        candidate = next_candidate(hint == candidate ? process_id{} : hint);
        co_await pause(context_.io, deadline);
    }
    co_return query_response{};
}

} // namespace galenaturn::wire
