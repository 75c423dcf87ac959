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
constexpr double min_ratio = 0;
/** Evidence in squared processors from which the slope of a pair is trusted. */
constexpr double trusted_pair_weight = 40;
/** Number of observations after which the slopes are recomputed. */
constexpr std::uint64_t observations_per_solve = 8;
constexpr std::size_t max_images_per_model = 48;
/** Standard deviation of one sample of the ratio. */
constexpr double ratio_deviation = 0.35;
/** A pair whose slope is above this with some confidence interferes. */
constexpr double interfering_slope = 0.1;
/** A known pair interferes above this slope; most others are near a hundredth. */
constexpr double tolerant_slope = 0.06;
/** Median and logarithmic deviation of the slopes of pairs that interfere. */
constexpr double median_interfering_slope = 0.18;
constexpr double interfering_slope_deviation = 0.6;
/** Share of pairs that interfere before any is known, as evidence of this many pairs. */
constexpr double prior_interfering_share = 0.25;
constexpr double prior_pairs = 4;
/** Evidence for the share of all pairs beside the verdicts of one image. */
constexpr double prior_pairs_of_image = 1.5;

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
    estimate.verdicts.push_back(pair_verdict::unknown);
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

/** Returns the standard deviation of a slope with this much evidence. */
double slope_deviation(double evidence)
{
    return ratio_deviation / std::sqrt(evidence + prior_weight);
}

/**
 * Trusts a pair when it has enough evidence, or early when its slope is certainly high, so that a
 * trial that did harm is not repeated.
 */
pair_verdict verdict_of(const tail_estimate& estimate, std::size_t position)
{
    const auto evidence = estimate.products[position][position];
    const auto slope = estimate.slopes[position];
    if (evidence >= trusted_pair_weight)
        return slope > tolerant_slope ? pair_verdict::interfering : pair_verdict::tolerant;
    return slope - slope_deviation(evidence) > interfering_slope ? pair_verdict::interfering
                                                                 : pair_verdict::unknown;
}

void count_verdict(pair_counts& counts, pair_verdict verdict, int change)
{
    const auto add = static_cast<std::uint32_t>(change);
    if (verdict == pair_verdict::tolerant)
        counts.tolerant += add;
    if (verdict == pair_verdict::interfering)
        counts.interfering += add;
}

void update_verdicts(tail_model& model, tail_estimate& estimate)
{
    for (const auto& [image, position] : estimate.index) {
        const auto verdict = verdict_of(estimate, position);
        auto& known = estimate.verdicts[position];
        if (verdict == known)
            continue;
        for (auto* counts : {&estimate.known, &model.best_effort_images[image], &model.known}) {
            count_verdict(*counts, known, -1);
            count_verdict(*counts, verdict, 1);
        }
        known = verdict;
    }
}

double interfering_share(const pair_counts& counts, double prior_share, double weight)
{
    return (counts.interfering + weight * prior_share) /
           (counts.interfering + counts.tolerant + weight);
}

double odds(double probability)
{
    return probability / (1 - probability);
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
    const auto increase = std::clamp(ratio, min_ratio, max_ratio) - 1;
    for (const auto& [position, load] : loads) {
        for (const auto& [other_position, other_load] : loads)
            estimate.products[position][other_position] += load * other_load;
        estimate.responses[position] += load * increase;
    }
    ++estimate.observed;
    if (estimate.observed - estimate.solved >= observations_per_solve || estimate.solved == 0)
        update_slopes(estimate);
    update_verdicts(model, estimate);
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

double interference_probability(const tail_model& model, const std::string& serving_image,
                                const std::string& best_effort_image)
{
    const auto* estimate = find_estimate(model, serving_image);
    const auto column = model.best_effort_images.find(best_effort_image);
    const auto of_all = interfering_share(model.known, prior_interfering_share, prior_pairs);
    const auto of_serving = interfering_share(estimate == nullptr ? pair_counts{} : estimate->known,
                                              of_all, prior_pairs_of_image);
    const auto of_best_effort =
        interfering_share(column == model.best_effort_images.end() ? pair_counts{} : column->second,
                          of_all, prior_pairs_of_image);
    const auto combined = odds(of_serving) * odds(of_best_effort) / odds(of_all);
    return combined / (1 + combined);
}

double excess_probability(const tail_model& model, const std::string& serving_image,
                          const std::string& best_effort_image, double max_ratio, double processors)
{
    if (max_ratio <= 1)
        return 1;
    const auto slope = (max_ratio - 1) / processors;
    const auto deviations =
        std::log(slope / median_interfering_slope) / interfering_slope_deviation;
    const auto share_above = 0.5 * std::erfc(deviations / std::sqrt(2.0));
    return share_above * interference_probability(model, serving_image, best_effort_image);
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
    const bool trusted = estimate->verdicts[position] != pair_verdict::unknown;
    if (!trusted)
        return {std::max(slope, cautious_min_slope), false};
    return {slope + slope_deviation(estimate->products[position][position]), true};
}

} // namespace galenaturn::schedule
