#pragma once

#include <algorithm>
#include <functional>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Calls back at the deadline of a state machine, within bounds.
class tick_timer {
  public:
    /// @param shortest a deadline in the past must not keep the thread from serving its sockets
    /// @param longest the state machine detects a pause of its VM from the distance of two ticks
    tick_timer(asio::io_context& context, duration shortest, duration longest,
               std::function<void()> on_tick)
        : wait_{context.get_executor()}, shortest_{shortest}, longest_{longest}, on_tick_{std::move(
                                                                                     on_tick)} {}

    /// @brief Ticks at @a deadline, or earlier when a tick is due before.
    ///
    /// The timer stays as it is when it is due early enough: most events don't change the deadline.
    void schedule(time_point present, time_point deadline) {
        const auto due = std::clamp(deadline, present + shortest_, present + longest_);
        if (due >= scheduled_) {
            return;
        }
        scheduled_ = due;
        wait_.expires_after(due - present);
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
    duration shortest_;
    duration longest_;
    std::function<void()> on_tick_;
    time_point scheduled_{no_deadline};
};

} // namespace jackdawvane::detail
