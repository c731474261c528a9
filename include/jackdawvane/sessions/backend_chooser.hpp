#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// @file
/// @brief Decides which backend server runs a read.
///
/// Designed for callers in three regions and replicas that may be slow, distant or lagging. The
/// expected time until the answer decides: an idle server farther away is preferred to a near one
/// that is overloaded.

namespace jackdawvane {

/// @brief Properties of a backend server that may run a read.
struct read_candidate {
    backend_server_id backend;
    duration distance{0};         ///< Round trip.
    duration mean_answer_time{0}; ///< Of recent answers, including the round trip; 0 if none.
    std::uint32_t running{0};
    std::uint32_t slots{1};
    bool primary{false};
    bool last_used{false};  ///< Ran the session's last read, so it has reached that log point.
    bool lagging{false};    ///< Its last known position is before the required one.
    bool warming_up{false}; ///< Started recently and still slow.
    bool leaving{false};
};

/// @brief Default answer time, penalties and bonus used by `read_cost`.
struct chooser_settings {
    duration default_answer_time{std::chrono::milliseconds{20}}; ///< Without recent answers.
    /// Keeps capacity of the primary free for writes while a replica is about as fast for reads.
    duration primary_penalty{std::chrono::milliseconds{25}};
    /// About the round trip that is lost when a replica refuses a read because it lags, plus the
    /// time that it needs to catch up.
    duration lag_penalty{std::chrono::milliseconds{60}};
    duration warm_up_penalty{std::chrono::milliseconds{60}};
    duration leaving_penalty{std::chrono::milliseconds{400}};
    duration last_used_bonus{std::chrono::milliseconds{4}};
};

/// @brief Expected time until @a candidate answers, plus the penalties that apply.
[[nodiscard]] duration read_cost(const read_candidate& candidate, const chooser_settings& settings);

/// @brief The candidate with the least cost; nothing when there is none.
[[nodiscard]] std::optional<backend_server_id>
choose_backend(const std::vector<read_candidate>& candidates, const chooser_settings& settings);

} // namespace jackdawvane
