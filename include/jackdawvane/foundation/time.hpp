#pragma once

#include <chrono>
#include <cstdint>

namespace jackdawvane {

/// @brief Resolution of all durations in the core.
using duration = std::chrono::microseconds;

/// @brief Clock type of the monotonic time that a host supplies.
///
/// It has no `now()`: the core never reads a clock; each event is passed with its time.
struct node_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

/// @brief Point in the host's monotonic time.
using time_point = node_clock::time_point;

/// @brief Time point that is never reached; stands for the absence of a deadline.
inline constexpr time_point no_deadline = time_point::max();

/// @brief Whole milliseconds of @a value, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// @brief Duration of @a milliseconds.
constexpr duration from_milliseconds(std::int64_t milliseconds) noexcept {
    return std::chrono::milliseconds{milliseconds};
}

} // namespace jackdawvane
