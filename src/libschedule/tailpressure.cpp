#include "tailpressure.h"

#include <algorithm>
#include <cmath>

namespace galenaturn::schedule {

namespace {

/**
 * Slope expected of a pair of images that were never observed together: higher than that of most
 * pairs.
 */
constexpr double prior_slope = 0.05;
/** Minimum slope assumed for untrusted pairs, where no trial is intended. */
constexpr double cautious_prior = 1;
/** Weight of the prior, as evidence in squared processors. */
constexpr double prior_weight = 20;
/** Factor by which the weight of earlier observations decays with each new one. */
constexpr double memory = 0.998;
/** Larger ratios are clipped: they say no more than that the pair has to be kept apart. */
constexpr double longest_times = 7;
/** Evidence in squared processors from which the slope of a pair is trusted. */
constexpr double known_weight = 40;
/** Number of observations after which the slopes are recomputed. */
constexpr std::uint64_t solve_every = 8;
constexpr std::size_t most_images = 48;

/** Solves a small symmetric linear system by Gaussian elimination with pivoting. */
std::vector<double> solve(std::vector<std::vector<double>> rows, std::vector<double> right)
{
    const auto size = right.size();
    for (std::size_t column = 0; column < size; ++column) {
        std::size_t pivot = column;
        for (std::size_t row = column + 1; row < size; ++row) {
            if (std::abs(rows[row][column]) > std::abs(rows[pivot][column]))
                pivot = row;
        }
        std::swap(rows[column], rows[pivot]);
        std::swap(right[column], right[pivot]);
        for (std::size_t row = 0; row < size; ++row) {
            if (row == column || rows[row][column] == 0)
                continue;
            const auto factor = rows[row][column] / rows[column][column];
            for (std::size_t at = column; at < size; ++at)
                rows[row][at] -= factor * rows[column][at];
            right[row] -= factor * right[column];
        }
    }
    for (std::size_t at = 0; at < size; ++at)
        right[at] /= rows[at][at];
    return right;
}

/** Returns the index of an image, adding the image if it is new. */
std::size_t place_of(tail_estimate& estimate, const std::string& image)
{
    const auto known = estimate.index.find(image);
    if (known != estimate.index.end())
        return known->second;
    const auto place = estimate.responses.size();
    estimate.index.emplace(image, place);
    for (auto& row : estimate.products)
        row.push_back(0);
    estimate.products.emplace_back(place + 1, 0.0);
    estimate.responses.push_back(0);
    estimate.slopes.push_back(prior_slope);
    return place;
}

void work_out(tail_estimate& estimate)
{
    auto rows = estimate.products;
    auto right = estimate.responses;
    for (std::size_t at = 0; at < right.size(); ++at) {
        rows[at][at] += prior_weight;
        right[at] += prior_weight * prior_slope;
    }
    estimate.slopes = solve(std::move(rows), std::move(right));
    for (auto& slope : estimate.slopes)
        slope = std::max(0.0, slope);
    estimate.solved = estimate.observed;
}

double cores(millicores amount)
{
    return static_cast<double>(amount.value()) / 1000;
}

using slope_function = double (*)(const tail_model&, const std::string&, const std::string&);

double factor_by(slope_function slope, const tail_model& model, const std::string& serving,
                 const filling_load& filling)
{
    double factor = 1;
    for (const auto& [image, used] : filling)
        factor += slope(model, serving, image) * cores(used);
    return factor;
}

} // namespace

void observe_tail(tail_model& model, const std::string& serving, double times,
                  const filling_load& filling)
{
    auto& estimate = model.images[serving];
    std::vector<std::pair<std::size_t, double>> loads;
    for (const auto& [image, used] : filling) {
        if (estimate.responses.size() < most_images || estimate.index.contains(image))
            loads.emplace_back(place_of(estimate, image), cores(used));
    }
    if (loads.empty())
        return;
    for (auto& row : estimate.products)
        std::transform(row.begin(), row.end(), row.begin(),
                       [](double sum) { return sum * memory; });
    for (auto& sum : estimate.responses)
        sum *= memory;
    const auto added = std::min(times, longest_times) - 1;
    for (const auto& [place, load] : loads) {
        for (const auto& [other, other_load] : loads)
            estimate.products[place][other] += load * other_load;
        estimate.responses[place] += load * added;
    }
    ++estimate.observed;
    if (estimate.observed - estimate.solved >= solve_every || estimate.solved == 0)
        work_out(estimate);
}

double tail_slope(const tail_model& model, const std::string& serving, const std::string& filling)
{
    const auto known = model.images.find(serving);
    if (known == model.images.end())
        return prior_slope;
    const auto place = known->second.index.find(filling);
    return place == known->second.index.end() ? prior_slope : known->second.slopes[place->second];
}

double tail_factor(const tail_model& model, const std::string& serving, const filling_load& filling)
{
    return factor_by(tail_slope, model, serving, filling);
}

double cautious_slope(const tail_model& model, const std::string& serving,
                      const std::string& filling)
{
    const auto slope = tail_slope(model, serving, filling);
    return is_known_pair(model, serving, filling) ? slope : std::max(slope, cautious_prior);
}

double cautious_factor(const tail_model& model, const std::string& serving,
                       const filling_load& filling)
{
    return factor_by(cautious_slope, model, serving, filling);
}

bool is_known_pair(const tail_model& model, const std::string& serving, const std::string& filling)
{
    const auto known = model.images.find(serving);
    if (known == model.images.end())
        return false;
    const auto place = known->second.index.find(filling);
    return place != known->second.index.end() &&
           known->second.products[place->second][place->second] >= known_weight;
}

} // namespace galenaturn::schedule
