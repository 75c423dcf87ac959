#pragma once

#include <galenaturn/core.h>
#include <galenaturn/route.h>

#include <array>

namespace galenaturn::entryd {

/** Counters of the request path. Every reason stands at 0 from the start. */
struct request_metrics {
    explicit request_metrics(metrics_registry& metrics);

    void refused(route::refusal_reason reason);
    void retried(route::retry_reason reason);
    void retry_denied(route::retry_denial denial);

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
