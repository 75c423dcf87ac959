#include "requestmetrics.h"

namespace galenaturn::entryd {

namespace {

counter& reason_counter(metrics_registry& metrics, const std::string& name, std::string_view reason)
{
    return metrics.make_counter(name, {{"reason", std::string{reason}}});
}

} // namespace

request_metrics::request_metrics(metrics_registry& metrics)
    : requests{metrics.make_counter("galenaturn_requests_total")},
      answered{metrics.make_counter("galenaturn_requests_answered_total")},
      replayed{metrics.make_counter("galenaturn_requests_replayed_total")},
      attempts{metrics.make_counter("galenaturn_upstream_attempts_total")},
      ejections{metrics.make_counter("galenaturn_upstream_ejections_total")},
      recoveries{metrics.make_counter("galenaturn_upstream_recoveries_total")},
      connections_opened{metrics.make_counter("galenaturn_upstream_connections_opened_total")},
      connections_reused{metrics.make_counter("galenaturn_upstream_connections_reused_total")},
      loans_granted{metrics.make_counter("galenaturn_slot_loans_granted_total")},
      loans_taken{metrics.make_counter("galenaturn_slot_loans_taken_total")},
      loans_denied{metrics.make_counter("galenaturn_slot_loans_denied_total")},
      loans_expired{metrics.make_counter("galenaturn_slot_loans_expired_total")},
      latency{metrics.make_latency("galenaturn_request_seconds")},
      queue_time{metrics.make_latency("galenaturn_request_queue_seconds")},
      upstream_time{metrics.make_latency("galenaturn_upstream_seconds")},
      in_progress{metrics.make_gauge("galenaturn_requests_in_progress")},
      waiting{metrics.make_gauge("galenaturn_requests_waiting")}
{
    for (const auto& details : route::all_refusals())
        refusals_.at(static_cast<std::size_t>(details.reason)) =
            &reason_counter(metrics, "galenaturn_requests_refused_total", details.name);
    for (std::size_t index = 0; index < route::retry_reason_count; ++index)
        retries_.at(index) = &reason_counter(metrics, "galenaturn_retries_total",
                                             to_string(static_cast<route::retry_reason>(index)));
    for (std::size_t index = 0; index < route::retry_denial_count; ++index)
        denials_.at(index) = &reason_counter(metrics, "galenaturn_retries_denied_total",
                                             to_string(static_cast<route::retry_denial>(index)));
}

void request_metrics::count_refusal(route::refusal_reason reason)
{
    refusals_.at(static_cast<std::size_t>(reason))->add();
}

void request_metrics::count_retry(route::retry_reason reason)
{
    retries_.at(static_cast<std::size_t>(reason))->add();
}

void request_metrics::count_retry_denial(route::retry_denial denial)
{
    denials_.at(static_cast<std::size_t>(denial))->add();
}

} // namespace galenaturn::entryd
