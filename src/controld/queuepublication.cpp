#include "queuepublication.h"

#include <utility>

namespace galenaturn::controld {

namespace asio = boost::asio;

asio::awaitable<wire::command_response>
publish_queues(const control_hub* hub, wire::publish_queues queues, time_point deadline)
{
    const auto began = monotonic_now();
    const auto version = queues.version;
    wire::command body{std::move(queues)};
    auto outcome = co_await hub->submit(std::move(body), deadline);
    log_event(log_level::info, "queues_published",
              {{"version", version},
               {"status", wire::to_string(outcome.status)},
               {"leader", outcome.leader},
               {"index", outcome.index},
               {"held", hub->state().queues.version},
               {"term", hub->current_term()},
               {"reason", outcome.reason},
               {"took_us", (monotonic_now() - began).count()}});
    co_return outcome;
}

asio::awaitable<std::optional<wire::publish_queues>>
read_newest_queues(const control_hub* hub, wire::ledger_client* ledger, time_point deadline)
{
    const auto began = monotonic_now();
    const bool leads = hub->leads();
    const auto lease_left = leads ? hub->lease_left() : duration{};
    // A lease rests on the clock of this VM, which may have stood still.
    const bool confirmed = leads && co_await hub->confirm_leadership(deadline);
    wire::query_response response;
    if (confirmed) {
        response.leader = hub->leader();
        if (hub->state().queues.version > 0)
            response.queues = hub->state().queues;
    }
    else {
        response = co_await ledger->ask({wire::get_queues{}, false}, deadline);
    }
    log_event(log_level::info, "queues_read",
              {{"version", response.queues ? response.queues->version : 0},
               {"leader", response.leader},
               {"leads", leads},
               {"confirmed", confirmed},
               {"lease_left_us", lease_left.count()},
               {"held", hub->state().queues.version},
               {"term", hub->current_term()},
               {"took_us", (monotonic_now() - began).count()}});
    co_return std::move(response.queues);
}

} // namespace galenaturn::controld
