#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/token_bucket.hpp"

#include <map>

namespace jackdawvane {

/// @brief Bounds on the requests to a backend server that is warming up.
struct warm_up_settings {
    double overage{0};   ///< Factor of the configured rate; 0 disables the limit.
    double tolerance{0}; ///< Requests per second in addition.
};

/// @brief Limits the requests to backend servers that are warming up.
///
/// Handles the load condition that a cold server would get its full share of the load at once. In
/// any second all VMs together may send `rate` x `overage` + `tolerance` requests. Two VMs may
/// both believe that they own the server's connections, so each sends at most half of that. A
/// bucket starts empty, so a new owner adds nothing to what the old one has just sent.
class warm_up_limiter {
  public:
    explicit warm_up_limiter(warm_up_settings settings = {}) : settings_{settings} {}

    [[nodiscard]] bool enabled() const noexcept { return settings_.overage > 0; }
    /// @brief Takes tokens for @a requests to @a backend, which is warming up.
    /// @param rate requests per second of its service
    /// @return whether they may be sent now
    [[nodiscard]] bool take(time_point now, const backend_server_id& backend, double rate,
                            std::uint32_t requests);
    /// @brief Drops the state of @a backend, which has warmed up or is gone.
    void forget(const backend_server_id& backend) { buckets_.erase(backend); }

  private:
    warm_up_settings settings_;
    std::map<backend_server_id, token_bucket> buckets_;
};

} // namespace jackdawvane
