#include "tailmodel.h"

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
constexpr double cautious_min_slope = 1;
/** Weight of the prior, as evidence in squared processors. */
constexpr double prior_weight = 20;
/** Factor by which the weight of earlier observations decays with each new one. */
constexpr double observation_decay = 0.998;
/** Larger ratios are clipped: they say no more than that the pair has to be kept apart. */
constexpr double max_ratio = 7;
/** Evidence in squared processors from which the slope of a pair is trusted. */
constexpr double trusted_pair_weight = 40;
/** Number of observations after which the slopes are recomputed. */
constexpr std::uint64_t observations_per_solve = 8;
constexpr std::size_t max_images_per_model = 48;

/** Solves a small symmetric linear system by Gaussian elimination with pivoting. */
std::vector<double> solve(std::vector<std::vector<double>> rows, std::vector<double> responses)
{
    const auto size = responses.size();
    for (std::size_t column = 0; column < size; ++column) {
        std::size_t pivot = column;
        for (std::size_t row = column + 1; row < size; ++row) {
            if (std::abs(rows[row][column]) > std::abs(rows[pivot][column]))
                pivot = row;
        }
        std::swap(rows[column], rows[pivot]);
        std::swap(responses[column], responses[pivot]);
        for (std::size_t row = 0; row < size; ++row) {
            if (row == column || rows[row][column] == 0)
                continue;
            const auto factor = rows[row][column] / rows[column][column];
            for (std::size_t other = column; other < size; ++other)
                rows[row][other] -= factor * rows[column][other];
            responses[row] -= factor * responses[column];
        }
    }
    for (std::size_t row = 0; row < size; ++row)
        responses[row] /= rows[row][row];
    return responses;
}

/** Returns the index of an image, adding the image if it is new. */
std::size_t index_of(tail_estimate& estimate, const std::string& image)
{
    const auto found = estimate.index.find(image);
    if (found != estimate.index.end())
        return found->second;
    const auto position = estimate.responses.size();
    estimate.index.emplace(image, position);
    for (auto& row : estimate.products)
        row.push_back(0);
    estimate.products.emplace_back(position + 1, 0.0);
    estimate.responses.push_back(0);
    estimate.slopes.push_back(prior_slope);
    return position;
}

void update_slopes(tail_estimate& estimate)
{
    auto rows = estimate.products;
    auto responses = estimate.responses;
    for (std::size_t row = 0; row < responses.size(); ++row) {
        rows[row][row] += prior_weight;
        responses[row] += prior_weight * prior_slope;
    }
    estimate.slopes = solve(std::move(rows), std::move(responses));
    for (auto& slope : estimate.slopes)
        slope = std::max(0.0, slope);
    estimate.solved = estimate.observed;
}

double processors_of(millicores amount)
{
    return static_cast<double>(amount.value()) / 1000;
}

double slope_of(const tail_estimate* estimate, const std::string& best_effort_image)
{
    if (estimate == nullptr)
        return prior_slope;
    const auto position = estimate->index.find(best_effort_image);
    return position == estimate->index.end() ? prior_slope : estimate->slopes[position->second];
}

/** Returns the sum of 1 and the products of slope and load of each best-effort image. */
template <class Slope>
double expected_ratio(const Slope& slope, const best_effort_load& best_effort)
{
    double factor = 1;
    for (const auto& [image, used] : best_effort)
        factor += slope(image) * processors_of(used);
    return factor;
}

} // namespace

void observe_tail(tail_model& model, const std::string& serving_image, double ratio,
                  const best_effort_load& best_effort)
{
    auto& estimate = model.images[serving_image];
    std::vector<std::pair<std::size_t, double>> loads;
    for (const auto& [image, used] : best_effort) {
        if (estimate.responses.size() < max_images_per_model || estimate.index.contains(image))
            loads.emplace_back(index_of(estimate, image), processors_of(used));
    }
    if (loads.empty())
        return;
    for (auto& row : estimate.products)
        std::transform(row.begin(), row.end(), row.begin(),
                       [](double sum) { return sum * observation_decay; });
    for (auto& sum : estimate.responses)
        sum *= observation_decay;
    const auto increase = std::min(ratio, max_ratio) - 1;
    for (const auto& [position, load] : loads) {
        for (const auto& [other_position, other_load] : loads)
            estimate.products[position][other_position] += load * other_load;
        estimate.responses[position] += load * increase;
    }
    ++estimate.observed;
    if (estimate.observed - estimate.solved >= observations_per_solve || estimate.solved == 0)
        update_slopes(estimate);
}

double tail_slope(const tail_model& model, const std::string& serving_image,
                  const std::string& best_effort_image)
{
    return slope_of(find_estimate(model, serving_image), best_effort_image);
}

double tail_ratio(const tail_model& model, const std::string& serving_image,
                  const best_effort_load& best_effort)
{
    const auto* estimate = find_estimate(model, serving_image);
    return expected_ratio([&](const std::string& image) { return slope_of(estimate, image); },
                          best_effort);
}

double cautious_tail_ratio(const tail_model& model, const std::string& serving_image,
                           const best_effort_load& best_effort)
{
    const auto* estimate = find_estimate(model, serving_image);
    return expected_ratio(
        [&](const std::string& image) { return cautious_slope_of(estimate, image).slope; },
        best_effort);
}

bool is_trusted_pair(const tail_model& model, const std::string& serving_image,
                     const std::string& best_effort_image)
{
    return cautious_slope_of(find_estimate(model, serving_image), best_effort_image).trusted;
}

const tail_estimate* find_estimate(const tail_model& model, const std::string& serving_image)
{
    const auto found = model.images.find(serving_image);
    return found == model.images.end() ? nullptr : &found->second;
}

cautious_slope cautious_slope_of(const tail_estimate* estimate,
                                 const std::string& best_effort_image)
{
    constexpr auto pessimistic = std::max(prior_slope, cautious_min_slope);
    if (estimate == nullptr)
        return {pessimistic, false};
    const auto found = estimate->index.find(best_effort_image);
    if (found == estimate->index.end())
        return {pessimistic, false};
    const auto position = found->second;
    const auto slope = estimate->slopes[position];
    const bool trusted = estimate->products[position][position] >= trusted_pair_weight;
    return {trusted ? slope : std::max(slope, cautious_min_slope), trusted};
}

} // namespace galenaturn::schedule
