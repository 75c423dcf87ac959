#pragma once

#include <galenaturn/core.h>

#include <map>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** Estimated effect of one job on the latency of a service, with the variance of the estimate. */
struct pair_effect {
    double mean{0};
    double variance{0};
    time_point updated;
};

/**
 * Linear model of the latency of a service in relation to its objective: the baseline of the
 * service plus, for each neighbour, the share of the worker's processors that it uses times the
 * effect of its job.
 */
struct interference_model {
    /**
     * Effects by service job and neighbour job; an empty neighbour job holds the baseline of the
     * service.
     */
    std::map<std::pair<job_id, job_id>, pair_effect> effects;
    /** Whether measurements update the effects. Without learning every pair keeps the prior. */
    bool learning{true};
};

/**
 * A task beside a service on the same worker, and the share of the worker's processors that it
 * uses.
 */
struct neighbour {
    job_id job;
    double share{0};
};

/** A latency prediction, in relation to the objective, and its standard deviation. */
struct latency_estimate {
    double mean{0};
    double deviation{0};
    /** Predicted latency of the service without neighbours. */
    double baseline{0};
};

/**
 * Returns the estimated effect of `job` on `service` at `now`. Its variance grows with the age of
 * the last update.
 */
pair_effect effect_of(const interference_model& model, const job_id& service, const job_id& job,
                      time_point now);
/** Predicts the latency of `service` in relation to its objective beside `neighbours`. */
latency_estimate predict_latency(const interference_model& model, const job_id& service,
                                 const std::vector<neighbour>& neighbours, time_point now);
/** Updates the model with a latency measured while `neighbours` ran. */
void learn_latency(interference_model& model, const job_id& service,
                   const std::vector<neighbour>& neighbours, double measured, time_point now);

} // namespace galenaturn::schedule
