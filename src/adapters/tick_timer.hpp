#pragma once

#include <algorithm>
#include <functional>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Invokes a callback at the deadline of a state machine, with a bounded delay.
class tick_timer {
  public:
    /// @param min_delay keeps a deadline in the past from starving the socket I/O of the thread
    /// @param max_delay the state machine detects a pause of its VM by the time between two ticks
    tick_timer(asio::io_context& context, duration min_delay, duration max_delay,
               std::function<void()> on_tick)
        : wait_{context.get_executor()}, min_delay_{min_delay},
          max_delay_{max_delay}, on_tick_{std::move(on_tick)} {}

    /// @brief Schedules a tick at @a deadline, unless an earlier one is scheduled.
    ///
    /// A timer that expires early enough is kept, because most events don't change the deadline.
    void schedule(time_point now, time_point deadline) {
        const auto due = std::clamp(deadline, now + min_delay_, now + max_delay_);
        if (due >= scheduled_) {
            return;
        }
        scheduled_ = due;
        wait_.expires_after(due - now);
        wait_.async_wait([this](error_code failure) {
            if (failure) {
                return;
            }
            scheduled_ = no_deadline;
            on_tick_();
        });
    }

  private:
    steady_timer wait_;
    duration min_delay_;
    duration max_delay_;
    std::function<void()> on_tick_;
    time_point scheduled_{no_deadline};
};

} // namespace jackdawvane::detail
