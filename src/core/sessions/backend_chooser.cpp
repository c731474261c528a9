#include "jackdawvane/sessions/backend_chooser.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

/// Limit for reported service times, so that no report overflows the cost.
constexpr duration longest_service_time = std::chrono::minutes{1};

double weight_at(duration age, duration half_life) {
    const auto half = static_cast<double>(half_life.count());
    return half / (half + static_cast<double>(std::max(duration{0}, age).count()));
}

double mix(double weight, double reported, double own) {
    return weight * reported + (1 - weight) * own;
}

duration scaled(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

} // namespace

load_estimate estimate_load(const read_candidate& candidate, const chooser_settings& settings) {
    // The distance is at the same time a lower bound of the answer time and no part of the work.
    const auto own_service =
        candidate.mean_answer_time > duration{0}
            ? std::max(duration{0}, candidate.mean_answer_time - candidate.distance)
            : settings.default_answer_time;
    const auto own_slots = static_cast<double>(std::max(1U, candidate.slots));
    const double own_ahead = candidate.running;
    if (!candidate.report) {
        return {own_service, own_ahead / own_slots};
    }
    const auto& [load, age, sent_since] = *candidate.report;
    auto service = own_service;
    if (load.service_time > duration{0}) {
        const auto reported = std::min(load.service_time, longest_service_time);
        service = duration{static_cast<duration::rep>(
            mix(weight_at(age, settings.service_half_life), static_cast<double>(reported.count()),
                static_cast<double>(own_service.count())))};
    }
    const auto reported_ahead =
        static_cast<double>(load.waiting) + static_cast<double>(load.running) + sent_since;
    const auto ahead = std::max(
        own_ahead, mix(weight_at(age, settings.queue_half_life), reported_ahead, own_ahead));
    return {service, ahead / static_cast<double>(std::max(1U, load.slots))};
}

duration read_cost(const read_candidate& candidate, const chooser_settings& settings) {
    const auto load = estimate_load(candidate, settings);
    auto cost = candidate.distance + scaled(load.service_time, 1 + load.ahead);
    const auto primary_penalty = scaled(settings.primary_penalty, 1 + load.ahead);
    const std::pair<bool, duration> penalties[]{{candidate.primary, primary_penalty},
                                                {candidate.lagging, settings.lag_penalty},
                                                {candidate.warming_up, settings.warm_up_penalty},
                                                {candidate.leaving, settings.leaving_penalty},
                                                {candidate.last_used, -settings.last_used_bonus}};
    for (const auto& [applies, penalty] : penalties) {
        cost += applies ? penalty : duration{0};
    }
    return cost;
}

namespace {

std::vector<duration> costs_of(const std::vector<read_candidate>& candidates,
                               const chooser_settings& settings) {
    std::vector<duration> costs;
    costs.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        costs.push_back(read_cost(candidate, settings));
    }
    return costs;
}

} // namespace

std::optional<backend_server_id> choose_backend(const std::vector<read_candidate>& candidates,
                                                const chooser_settings& settings) {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
            return read_cost(left, settings) < read_cost(right, settings);
        });
    return best == candidates.end() ? std::nullopt : std::optional{best->backend};
}

std::optional<backend_server_id> choose_backend(const std::vector<read_candidate>& candidates,
                                                const chooser_settings& settings,
                                                std::uint64_t draw) {
    if (candidates.empty()) {
        return {};
    }
    const auto costs = costs_of(candidates, settings);
    const auto least = std::min_element(costs.begin(), costs.end());
    const auto& best = candidates[static_cast<std::size_t>(least - costs.begin())];
    const bool shared_load = best.report && estimate_load(best, settings).ahead > 0;
    if (!shared_load) {
        return best.backend;
    }
    const auto limit = *least + std::max(duration{0}, *least) / 2 + settings.near_margin;
    std::vector<std::uint64_t> weights;
    weights.reserve(costs.size());
    std::uint64_t sum = 0;
    for (const auto cost : costs) {
        weights.push_back(cost < limit ? static_cast<std::uint64_t>((limit - cost).count()) : 0);
        sum += weights.back();
    }
    auto rest = draw % sum;
    std::size_t chosen = 0;
    while (rest >= weights[chosen]) {
        rest -= weights[chosen++];
    }
    return candidates[chosen].backend;
}

} // namespace jackdawvane
