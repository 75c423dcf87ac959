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
 * How much each image that fills lengthens the tail of one image that serves, in milliseconds for
 * each processor in use. A ridge regression over what workers told, older figures counting less:
 * the figures are late and rough, and depend on which images meet.
 */
struct tail_estimate {
    /** Sums of products of loads, and of loads with tails; the last index is the constant. */
    std::map<std::string, std::size_t> index;
    std::vector<std::vector<double>> products;
    std::vector<double> responses;
    std::vector<double> slopes;
    double base{0};
    std::uint64_t observed{0};
    std::uint64_t solved{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, products, responses, slopes, base, observed, solved);
    }
};

struct tail_model {
    /** By serving image. */
    std::map<std::string, tail_estimate> images;
    /** Raised whenever estimates were worked out anew. */
    std::uint64_t version{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(images, version);
    }
};

/** Takes the tail that a task of `serving` had beside `filling`. */
void observe_tail(tail_model& model, const std::string& serving, double tail_ms,
                  const filling_load& filling);
/** Returns the tail to expect, in milliseconds. */
double expected_tail(const tail_model& model, const std::string& serving,
                     const filling_load& filling);
/** Returns by how much one processor of `filling` lengthens the tail of `serving`. */
double tail_slope(const tail_model& model, const std::string& serving, const std::string& filling);
/** Returns whether the two images were seen together often enough to trust the estimate. */
bool is_known_pair(const tail_model& model, const std::string& serving, const std::string& filling);

} // namespace galenaturn::schedule
