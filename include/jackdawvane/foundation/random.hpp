#pragma once

#include <random>

namespace jackdawvane {

/// @brief Random engine of the core, seeded by the host.
using random_engine = std::mt19937_64;

} // namespace jackdawvane
