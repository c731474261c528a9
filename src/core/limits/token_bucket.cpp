#include "jackdawvane/limits/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace jackdawvane {

namespace {

/// Rounding errors of repeated refills must not delay a token that is due.
constexpr double rounding_tolerance = 1e-9;
constexpr double microseconds_per_second = 1e6;
/// A token that is further away than this counts as never due.
constexpr double longest_wait_seconds = 1e6;

double seconds(duration value) noexcept {
    return static_cast<double>(value.count()) / microseconds_per_second;
}

} // namespace

void token_bucket::set_limits(time_point now, double rate, double capacity) {
    refill(now);
    rate_ = rate;
    capacity_ = capacity;
    tokens_ = std::min(tokens_, room());
}

bool token_bucket::take(time_point now, double amount) {
    refill(now);
    if (tokens_ + rounding_tolerance < amount) {
        return false;
    }
    tokens_ = std::max(0.0, tokens_ - amount);
    return true;
}

double token_bucket::send(time_point now, double amount) {
    refill(now);
    const double sent = std::clamp(amount, 0.0, tokens_);
    tokens_ -= sent;
    reserved_ += sent;
    return sent;
}

void token_bucket::settle(time_point now, double amount) {
    refill(now); // The refill up to now is limited to the capacity without the reservation.
    reserved_ = std::max(0.0, reserved_ - amount);
}

void token_bucket::add(time_point now, double amount) {
    refill(now);
    tokens_ = std::min(tokens_ + std::max(0.0, amount), room());
}

double token_bucket::tokens(time_point now) const noexcept {
    if (now <= filled_) {
        return tokens_;
    }
    return std::min(tokens_ + rate_ * seconds(now - filled_), room());
}

time_point token_bucket::time_of(time_point now, double amount) const noexcept {
    const double missing = amount - tokens(now);
    if (missing <= 0) {
        return now;
    }
    if (room() + rounding_tolerance < amount || missing > rate_ * longest_wait_seconds) {
        return no_deadline;
    }
    const double wait = std::ceil(missing / rate_ * microseconds_per_second);
    return now + duration{static_cast<duration::rep>(wait) + 1};
}

void token_bucket::refill(time_point now) {
    if (now > filled_) {
        tokens_ = tokens(now);
        filled_ = now;
    }
}

double token_bucket::room() const noexcept {
    return std::max(0.0, capacity_ - reserved_);
}

} // namespace jackdawvane
