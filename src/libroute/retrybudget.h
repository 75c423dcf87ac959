#pragma once

#include <galenaturn/core.h>

#include <algorithm>

namespace galenaturn::route {

/** What a service or owner starts with, so that its first failures can be retried. */
constexpr double first_retry_budget = 2;

/** How many retries a service or an owner may still make. Answers earn them, retries spend them. */
struct retry_budget {
    double tokens{first_retry_budget};
};

/** What one whole answer earns: retries stay below this share of answers. */
constexpr double retry_earned_by_answer = 0.08;
/** The most that can be saved up, so that a failure after a calm hour brings no wave of retries. */
constexpr double largest_retry_budget = 20;

inline void earn_retry(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + retry_earned_by_answer, largest_retry_budget);
}

/** Returns whether both budgets have a retry left. */
inline bool can_spend_retry(const retry_budget& service, const retry_budget& owner)
{
    return service.tokens >= 1 && owner.tokens >= 1;
}

/** Spends one retry of both budgets, which have one left. */
inline void spend_retry(retry_budget& service, retry_budget& owner)
{
    GN_INVARIANT(can_spend_retry(service, owner));
    service.tokens -= 1;
    owner.tokens -= 1;
}

/** Gives a spent retry back that was not made after all. */
inline void refund_retry(retry_budget& service, retry_budget& owner)
{
    service.tokens += 1;
    owner.tokens += 1;
}

} // namespace galenaturn::route
