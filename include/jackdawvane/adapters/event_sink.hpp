#pragma once

#include "jackdawvane/node/ports.hpp"

#include <functional>

namespace jackdawvane {

/// @brief Receives the events that an adapter produces, on the host's only thread.
using event_sink = std::function<void(event&&)>;

} // namespace jackdawvane
