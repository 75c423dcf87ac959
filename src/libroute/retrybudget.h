#pragma once

#include <galenaturn/core.h>

#include <algorithm>

namespace galenaturn::route {

/** Initial retries of a service or owner, so that its first failures can be retried. */
constexpr double initial_retry_budget = 2;

/** Retries that a service or owner may still make. Responses earn them, retries spend them. */
struct retry_budget {
    double tokens{initial_retry_budget};
};

/** Retries earned by a complete response: limits retries to this fraction of responses. */
constexpr double retries_earned_per_response = 0.08;
/** Maximum budget: a failure after a long time without retries must not cause a retry storm. */
constexpr double max_retry_budget = 20;

inline void earn_retry(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + retries_earned_per_response, max_retry_budget);
}

/** Returns whether both budgets allow a retry. */
inline bool can_spend_retry(const retry_budget& service, const retry_budget& owner)
{
    return service.tokens >= 1 && owner.tokens >= 1;
}

/** Spends one retry of both budgets. Both must allow one. */
inline void spend_retry(retry_budget& service, retry_budget& owner)
{
    GN_INVARIANT(can_spend_retry(service, owner));
    service.tokens -= 1;
    owner.tokens -= 1;
}

/** Returns a spent retry to both budgets after the retry could not be made. */
inline void refund_retry(retry_budget& service, retry_budget& owner)
{
    service.tokens += 1;
    owner.tokens += 1;
}

} // namespace galenaturn::route
