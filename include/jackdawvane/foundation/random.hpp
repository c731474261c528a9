#pragma once

#include <random>

namespace jackdawvane {

/// @brief Random engine of the core; the host hands it in with a seed.
using random_engine = std::mt19937_64;

} // namespace jackdawvane
