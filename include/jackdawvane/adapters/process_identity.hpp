#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <cstdint>

namespace jackdawvane {

/// @brief Incarnation of a process that starts now: milliseconds since the epoch, so that a
/// restart of the same VM gets a higher one.
[[nodiscard]] vm_incarnation current_incarnation();

/// @brief Seed from the random number source of the operating system.
[[nodiscard]] std::uint64_t random_seed();

} // namespace jackdawvane
