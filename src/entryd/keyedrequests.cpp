#include "keyedrequests.h"

#include <algorithm>

namespace galenaturn::entryd {

namespace asio = boost::asio;

namespace {

/** Callers may resend within this time; after it, the key may be reused. */
constexpr std::chrono::hours key_lifetime{24};
/** A reservation takes longer only if the quorum can't be reached. */
constexpr duration reservation_timeout = std::chrono::seconds{1};
constexpr duration completion_timeout = std::chrono::seconds{10};

} // namespace

key_ledger key_ledger_of(daemon::context& shared)
{
    return {[&shared] { return shared.ledger.next_request_id(); },
            [&shared](wire::command_request request, time_point deadline) {
                return shared.ledger.submit(std::move(request), deadline);
            }};
}

asio::awaitable<key_reservation> reserve_key(const key_ledger& ledger,
                                             const parsed_request& request, std::string digest,
                                             process_id self)
{
    key_reservation reservation;
    reservation.id = ledger.next_request_id();
    wire::reserve_key body;
    body.owner = request.owner;
    body.service = request.service;
    body.key = *request.key;
    body.digest = std::move(digest);
    body.entry = std::move(self);
    body.expires = wall_now() + key_lifetime;
    const auto limit = std::min(request.deadline, monotonic_now() + reservation_timeout);
    wire::command_request command{reservation.id, std::move(body)};
    const auto response = co_await ledger.submit(std::move(command), limit);
    reservation.decision = route::decide_reservation(response);
    if (response.answer)
        reservation.recorded = *response.answer;
    co_return reservation;
}

wire::complete_key make_completion(const parsed_request& request, const request_id& reservation,
                                   std::optional<wire::recorded_response> recorded)
{
    return {request.owner, request.service, *request.key, reservation, std::move(recorded)};
}

asio::awaitable<void> complete_key(key_ledger ledger, wire::complete_key body)
{
    const auto key = body.key;
    wire::command_request request{ledger.next_request_id(), std::move(body)};
    const auto response =
        co_await ledger.submit(std::move(request), monotonic_now() + completion_timeout);
    if (response.status == wire::command_status::accepted ||
        response.status == wire::command_status::duplicate)
        co_return;
    log_event(log_level::warning, "key_not_completed",
              {{"key", key}, {"status", to_string(response.status)}, {"reason", response.reason}});
}

} // namespace galenaturn::entryd
