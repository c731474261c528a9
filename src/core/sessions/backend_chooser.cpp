#include "jackdawvane/sessions/backend_chooser.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

duration read_cost(const read_candidate& candidate, const chooser_settings& settings) {
    const auto answer = candidate.mean_answer_time > duration{0}
                            ? candidate.mean_answer_time
                            : candidate.distance + settings.default_answer_time;
    // Statements beyond the slots wait for one of those before them.
    const auto slots = static_cast<std::int64_t>(std::max(1U, candidate.slots));
    const auto waiting = answer * static_cast<std::int64_t>(candidate.running) / slots;
    auto cost = answer + waiting;
    const std::pair<bool, duration> penalties[]{{candidate.primary, settings.primary_penalty},
                                                {candidate.lagging, settings.lag_penalty},
                                                {candidate.warming_up, settings.warm_up_penalty},
                                                {candidate.leaving, settings.leaving_penalty},
                                                {candidate.last_used, -settings.last_used_bonus}};
    for (const auto& [applies, penalty] : penalties) {
        cost += applies ? penalty : duration{0};
    }
    return cost;
}

std::optional<backend_server_id> choose_backend(const std::vector<read_candidate>& candidates,
                                                const chooser_settings& settings) {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
            return read_cost(left, settings) < read_cost(right, settings);
        });
    return best == candidates.end() ? std::nullopt : std::optional{best->backend};
}

} // namespace jackdawvane
