#pragma once

#include <galenaturn/core.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace galenaturn::schedule {

/** What fills a worker beside tasks that serve: processors in use by image. */
using filling_load = std::map<std::string, millicores>;

/**
 * By which share each image that fills lengthens the tail of one image that serves, for each
 * processor in use. A ridge regression over what workers told, older figures counting less: the
 * figures are late and rough, and depend on which images meet.
 */
struct tail_estimate {
    std::map<std::string, std::size_t> index;
    /** Sums of products of loads, and of loads with what they added to tails. */
    std::vector<std::vector<double>> products;
    std::vector<double> responses;
    std::vector<double> slopes;
    std::uint64_t observed{0};
    std::uint64_t solved{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, products, responses, slopes, observed, solved);
    }
};

struct tail_model {
    /** By serving image. */
    std::map<std::string, tail_estimate> images;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(images);
    }
};

/** Takes that a tail of `serving` was `times` as long beside `filling` as it is alone. */
void observe_tail(tail_model& model, const std::string& serving, double times,
                  const filling_load& filling);
/** Returns how many times as long as alone the tail has to be expected. */
double tail_factor(const tail_model& model, const std::string& serving,
                   const filling_load& filling);
/** The same where a pair that has not met often counts as one that does not get on. */
double cautious_factor(const tail_model& model, const std::string& serving,
                       const filling_load& filling);
/** Returns what one processor of `filling` adds to that. */
double tail_slope(const tail_model& model, const std::string& serving, const std::string& filling);
double cautious_slope(const tail_model& model, const std::string& serving,
                      const std::string& filling);
/** Returns whether the two images were seen together often enough to trust the estimate. */
bool is_known_pair(const tail_model& model, const std::string& serving, const std::string& filling);

} // namespace galenaturn::schedule
