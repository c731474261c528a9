#pragma once

#include "jackdawvane/foundation/time.hpp"

#include <string>

namespace jackdawvane {

/// @brief Time from @a when to @a now in whole milliseconds, for a log line.
/// @return `never` when @a when is unset
inline std::string age_text(time_point now, time_point when) {
    return when == time_point::min() ? "never" : std::to_string(to_milliseconds(now - when));
}

} // namespace jackdawvane
