#pragma once

#include "jackdawvane/limits/admission.hpp"
#include "jackdawvane/limits/share_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace jackdawvane {

/// @brief Settings of the rate limiter.
struct rate_limiter_settings {
    duration pending{std::chrono::milliseconds{50}}; ///< Longest wait for tokens of other VMs.
    duration joining{
        std::chrono::milliseconds{50}}; ///< As `pending`, before the share is confirmed.
    /// Whether a request may also wait for this VM's share to refill.
    bool waits_for_local_refill{false};
    /// Whether requests for which no token is left wait in a queue by priority class, at the VM
    /// that holds the share.
    bool queues_by_class{false};
    /// Grants are accepted this long after the request.
    duration grant_validity{std::chrono::milliseconds{150}};
    duration lease{std::chrono::seconds{30}};
    duration lease_renewal{std::chrono::seconds{10}};
    duration share_interval{std::chrono::seconds{1}}; ///< Between requests for more rate.
    /// Number of share groups, which has to be the same at all VMs. Store calls grow with the
    /// number of groups, the load of a holder with the number of organisations in each.
    std::uint32_t groups{16};
    std::uint32_t holders_per_domain{3};
    /// Over all failure domains.
    std::uint32_t max_holders{std::numeric_limits<std::uint32_t>::max()};
    /// Token requests per organisation that yield no tokens; bounds the messages under overload.
    double messages_per_second{30};
    share_settings shares;

    static constexpr auto fields() {
        using self = rate_limiter_settings;
        return std::tuple{field("pending_us", &self::pending),
                          field("joining_us", &self::joining),
                          field("waits_for_own_share", &self::waits_for_local_refill),
                          field("queues_by_class", &self::queues_by_class),
                          field("grant_validity_us", &self::grant_validity),
                          field("lease_us", &self::lease),
                          field("lease_renewal_us", &self::lease_renewal),
                          field("share_interval_us", &self::share_interval),
                          field("groups", &self::groups),
                          field("holders_per_domain", &self::holders_per_domain),
                          field("most_holders", &self::max_holders),
                          field("messages_per_second", &self::messages_per_second),
                          field("shares", &self::shares)};
    }
};

/// @brief State common to the limiters of all organisations at one VM.
struct limiter_context : share_context {
    location place;
    rate_limiter_settings limits;
    std::vector<admission> decisions; ///< Results of pending requests, not yet collected.
};

} // namespace jackdawvane
