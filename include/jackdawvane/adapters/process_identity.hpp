#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <cstdint>

namespace jackdawvane {

/// @brief Incarnation of a process that starts now: milliseconds since the epoch, so that a later
/// life of the same VM has a higher one.
[[nodiscard]] vm_incarnation present_incarnation();

/// @brief Seed from the system's source of randomness.
[[nodiscard]] std::uint64_t random_seed();

} // namespace jackdawvane
