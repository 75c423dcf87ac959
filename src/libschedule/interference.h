#pragma once

#include <galenaturn/core.h>

#include <map>
#include <utility>
#include <vector>

namespace galenaturn::schedule {

/** What is believed of one job's effect on a service, with its variance. */
struct pair_effect {
    double mean{0};
    double variance{0};
    time_point updated;
};

/**
 * The latency of a service in relation to its objective is taken as its own part plus, for each
 * neighbour, the share of the worker's processors that it uses times the effect of its job.
 */
struct interference_model {
    /** Service job and neighbour job; an empty neighbour stands for the service alone. */
    std::map<std::pair<job_id, job_id>, pair_effect> effects;
    /** Without learning every pair has the same prior. */
    bool learning{true};
};

/** A neighbour of a service, and the share of the worker's processors that it uses. */
struct neighbour {
    job_id job;
    double share{0};
};

/** A prediction and its standard deviation. */
struct latency_estimate {
    double mean{0};
    double deviation{0};
    /** The part of the mean that the service has alone. */
    double alone{0};
};

/** Returns the effect of `job` on `service` as believed at `now`: beliefs decay with age. */
pair_effect effect_of(const interference_model& model, const job_id& service, const job_id& job,
                      time_point now);
/** Predicts the latency of `service` in relation to its objective beside `neighbours`. */
latency_estimate predict_latency(const interference_model& model, const job_id& service,
                                 const std::vector<neighbour>& neighbours, time_point now);
/** Takes over one measurement made while `neighbours` ran. */
void learn_latency(interference_model& model, const job_id& service,
                   const std::vector<neighbour>& neighbours, double measured, time_point now);

} // namespace galenaturn::schedule
