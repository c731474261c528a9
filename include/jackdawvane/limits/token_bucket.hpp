#pragma once

#include "jackdawvane/foundation/time.hpp"

namespace jackdawvane {

/// @brief Token bucket of one share. Tokens in transit to other VMs occupy capacity.
///
/// At any time `tokens + reserved <= capacity`, unless the capacity was lowered below what is in
/// transit; then the bucket holds no tokens until enough of it has settled.
class token_bucket {
  public:
    /// @brief Changes rate (tokens per second) and capacity; refills at the old rate up to @a now.
    ///
    /// Tokens above the new capacity are dropped. Added capacity starts empty.
    void set_limits(time_point now, double rate, double capacity);

    /// @brief Takes @a amount tokens if the bucket has that many.
    [[nodiscard]] bool take(time_point now, double amount);

    /// @brief Subtracts up to @a amount tokens and reserves capacity for them while in transit.
    /// @return the number of tokens subtracted
    [[nodiscard]] double send(time_point now, double amount);

    /// @brief Frees the capacity of @a amount tokens that were in transit; adds no tokens.
    void settle(time_point now, double amount);

    /// @brief Adds tokens from another VM, up to the free capacity; drops the rest.
    void add(time_point now, double amount);

    [[nodiscard]] double tokens(time_point now) const noexcept;

    /// @brief Time at which @a amount tokens are available if none are taken before, or
    /// `no_deadline`.
    [[nodiscard]] time_point time_of(time_point now, double amount) const noexcept;

    [[nodiscard]] double rate() const noexcept { return rate_; }
    [[nodiscard]] double capacity() const noexcept { return capacity_; }
    [[nodiscard]] double reserved() const noexcept { return reserved_; }

  private:
    void refill(time_point now);
    [[nodiscard]] double room() const noexcept;

    double rate_{0};
    double capacity_{0};
    double tokens_{0};
    double reserved_{0};
    time_point filled_{};
};

} // namespace jackdawvane
