#include "jackdawvane/sessions/warm_up_limiter.hpp"

#include <algorithm>

namespace jackdawvane {

namespace {

/// VMs that may believe at the same time that they own a server's connections.
constexpr double owners = 2;
/// Requests that the first statement of a transaction needs at once: it and the begin.
constexpr double smallest_burst = 2;

} // namespace

bool warm_up_limiter::take(time_point now, const backend_server_id& backend, double rate,
                           std::uint32_t requests) {
    // A bucket lets through its capacity and one second's refill in a second.
    const double share = (rate * settings_.overage + settings_.tolerance) / owners;
    const double burst = std::min(share, std::max(settings_.tolerance / owners, smallest_burst));
    auto& bucket = buckets_[backend];
    if (bucket.rate() != share - burst || bucket.capacity() != burst) {
        bucket.set_limits(now, share - burst, burst);
    }
    return bucket.take(now, requests);
}

} // namespace jackdawvane
