#pragma once

#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/peer.hpp"

#include <optional>

namespace jackdawvane {

/// @brief How the log of a backend server relates to the prefix that a session has seen.
enum class prefix_check {
    contained,    ///< The log starts with the prefix.
    behind,       ///< The log has not reached the position yet.
    lost,         ///< A later term replaced the end of the prefix, or nothing proves otherwise.
    stale_branch, ///< The log belongs to an older term; another backend server has the prefix.
};

/// @brief Term of the entry at @a position.
/// @return nothing when the log is shorter or the list of terms does not reach back that far
/// @complexity Linear in the number of listed terms.
[[nodiscard]] std::optional<term> term_at(const backend_status& log, log_position position);

/// @brief Compares the log of a backend server with the prefix that a session has seen.
///
/// A prefix that is older than the oldest listed term counts as `lost`: a shortened list cannot
/// prove that it is contained, and waiting would not change that. `lost` is final at the primary
/// only; a replica may hold entries of a term that a later one discards.
/// @complexity Linear in the number of listed terms.
[[nodiscard]] prefix_check check_prefix(const backend_status& log, const session_position& seen);

} // namespace jackdawvane
