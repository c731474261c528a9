#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Decides which backend server runs a read.
///
/// The load that this answers: three regions' worth of callers before slow, distant or lagging
/// replicas. Time until the answer decides; a server that is near but loaded loses to one that is
/// farther and idle.

namespace jackdawvane {

/// @brief What is known of a backend server that may run a read.
struct read_candidate {
    backend_server_id backend;
    duration distance{0};    ///< Round trip.
    duration mean_answer{0}; ///< Of recent answers, with the round trip.
    std::uint32_t running{0};
    std::uint32_t slots{1};
    bool primary{false};
    bool last_used{false}; ///< Ran the session's last read, so it has what the session has seen.
    bool behind{false};    ///< Its last known position does not reach the wanted one.
    bool cold{false};      ///< Just started and slow.
    bool leaving{false};
};

/// @brief Weights of the choice.
struct chooser_settings {
    duration usual_answer{std::chrono::milliseconds{20}}; ///< Where nothing was measured.
    /// Writes need the primary; reads leave it room while a replica is about as fast.
    duration primary_penalty{std::chrono::milliseconds{25}};
    /// About the round trip that a refusal for lag costs, and the time to catch up.
    duration behind_penalty{std::chrono::milliseconds{60}};
    duration cold_penalty{std::chrono::milliseconds{60}};
    duration leaving_penalty{std::chrono::milliseconds{400}};
    duration last_used_bonus{std::chrono::milliseconds{4}};
};

/// @brief Expected time until @a candidate answers, with the penalties.
[[nodiscard]] duration read_cost(const read_candidate& candidate, const chooser_settings& settings);

/// @brief The candidate with the least cost; nothing when there is none.
[[nodiscard]] std::optional<backend_server_id>
choose_backend(const std::vector<read_candidate>& candidates, const chooser_settings& settings);

} // namespace jackdawvane
