#pragma once

#include <memory>
#include <vector>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Condition variable for coroutines: wakes all that wait for a change of state.
class notifier {
  public:
    explicit notifier(asio::io_context& io) : io_{&io} {}

    /// @brief Returns after the next @ref notify or at @a deadline.
    awaitable<void> wait_until(steady_clock::time_point deadline) {
        // The waiter owns its timer, so the notifier may be destroyed while coroutines wait.
        auto timer = std::make_shared<asio::steady_timer>(*io_, deadline);
        waiting_.push_back(timer);
        error_code ignored;
        co_await timer->async_wait(returning(ignored));
    }

    /// @brief Wakes every waiting coroutine.
    void notify() {
        const auto woken = std::exchange(waiting_, {});
        for (const auto& entry : woken) {
            if (const auto timer = entry.lock()) {
                timer->cancel();
            }
        }
    }

  private:
    asio::io_context* io_;
    std::vector<std::weak_ptr<asio::steady_timer>> waiting_;
};

/// @brief Counting semaphore for coroutines that serves waiters in FIFO order.
class semaphore {
  public:
    semaphore(asio::io_context& io, std::size_t count) : free_{count}, changed_{io} {}

    /// @brief Acquires one unit; waits until one is free.
    awaitable<void> acquire() {
        const auto ticket = next_ticket_++;
        while (free_ == 0 || ticket != next_served_) {
            co_await changed_.wait_until(steady_clock::time_point::max());
        }
        ++next_served_;
        --free_;
        if (free_ > 0) {
            changed_.notify();
        }
    }

    void release() {
        ++free_;
        changed_.notify();
    }

  private:
    std::size_t free_;
    std::uint64_t next_ticket_{0};
    std::uint64_t next_served_{0};
    notifier changed_;
};

} // namespace jackdawvane::standin
