#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** Best-effort load of a worker: processors in use by image. */
using best_effort_load = std::map<std::string, millicores>;

/** How many known pairs of an image interfere, and how many do not. */
struct pair_counts {
    std::uint32_t tolerant{0};
    std::uint32_t interfering{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(tolerant, interfering);
    }
};

/** What is known of a pair of images. */
enum class pair_verdict : std::uint8_t { unknown, tolerant, interfering };

/**
 * Share by which each best-effort image lengthens the tail latency of one latency-critical image,
 * for each processor in use. Estimated by ridge regression over worker reports, with older samples
 * decaying, because single samples are delayed and rough and depend on which images run together.
 */
struct tail_estimate {
    /** Index of each best-effort image in the vectors below. */
    std::map<std::string, std::size_t> index;
    /**
     * Decayed sums of the products of loads, and of loads with the relative increase of the tail.
     */
    std::vector<std::vector<double>> products;
    std::vector<double> responses;
    std::vector<double> slopes;
    std::vector<pair_verdict> verdicts;
    /** Number of verdicts of each kind. */
    pair_counts known;
    /** Number of observations so far, and at the last computation of the slopes. */
    std::uint64_t observed{0};
    std::uint64_t solved{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, products, responses, slopes, verdicts, known, observed, solved);
    }
};

/** Model of how best-effort images raise the tail latency of latency-critical images. */
struct tail_model {
    /** By latency-critical image. */
    std::map<std::string, tail_estimate> images;
    /** Verdicts of all latency-critical images, by best-effort image. */
    std::map<std::string, pair_counts> best_effort_images;
    pair_counts known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(images, best_effort_images, known);
    }
};

/**
 * Adds an observation: the tail of `serving_image` was `ratio` times its baseline beside the load.
 */
void observe_tail(tail_model& model, const std::string& serving_image, double ratio,
                  const best_effort_load& best_effort);
/** Returns the expected ratio of the tail to its baseline beside the load. */
double tail_ratio(const tail_model& model, const std::string& serving_image,
                  const best_effort_load& best_effort);
/** Returns the same, with a pessimistic slope for pairs that are not yet trusted. */
double cautious_tail_ratio(const tail_model& model, const std::string& serving_image,
                           const best_effort_load& best_effort);
/** Returns by how much each processor of the best-effort image raises that ratio. */
double tail_slope(const tail_model& model, const std::string& serving_image,
                  const std::string& best_effort_image);
/** Returns whether the two images were observed together often enough to trust the estimate. */
bool is_trusted_pair(const tail_model& model, const std::string& serving_image,
                     const std::string& best_effort_image);

/**
 * Returns the probability that a pair without samples of its own interferes, from the verdicts of
 * the two images with others: some images disturb, or suffer from, most others.
 */
double interference_probability(const tail_model& model, const std::string& serving_image,
                                const std::string& best_effort_image);
/**
 * Returns the probability that `processors` of the best-effort image raise the tail of an untrusted
 * pair to more than `max_ratio` times its baseline.
 */
double excess_probability(const tail_model& model, const std::string& serving_image,
                          const std::string& best_effort_image, double max_ratio,
                          double processors);
/** Returns the estimate of an image, or null where it was never observed. */
const tail_estimate* find_estimate(const tail_model& model, const std::string& serving_image);
/** The slope of a pair of images that is used for placement. */
struct cautious_slope {
    double slope{0};
    bool trusted{false};
};
/** Returns the slope, which is pessimistic for pairs that are not yet trusted. */
cautious_slope cautious_slope_of(const tail_estimate* estimate,
                                 const std::string& best_effort_image);

} // namespace galenaturn::schedule
