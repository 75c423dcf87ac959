#pragma once

#include <galenaturn/core.h>
#include <galenaturn/route.h>

#include <array>

namespace galenaturn::entryd {

/** Metrics of the request path. The counter of each reason exists from the start, with value 0. */
struct request_metrics {
    explicit request_metrics(metrics_registry& metrics);

    void count_refusal(route::refusal_reason reason);
    void count_retry(route::retry_reason reason);
    void count_retry_denial(route::retry_denial denial);

    counter& requests;
    counter& answered;
    counter& replayed;
    counter& attempts;
    counter& ejections;
    counter& recoveries;
    counter& connections_opened;
    counter& connections_reused;
    counter& loans_granted;
    counter& loans_taken;
    counter& loans_denied;
    counter& loans_expired;
    latency_summary& latency;
    latency_summary& queue_time;
    latency_summary& upstream_time;
    gauge& in_progress;
    gauge& waiting;

private:
    std::array<counter*, route::refusal_reason_count> refusals_{};
    std::array<counter*, route::retry_reason_count> retries_{};
    std::array<counter*, route::retry_denial_count> denials_{};
};

} // namespace galenaturn::entryd
