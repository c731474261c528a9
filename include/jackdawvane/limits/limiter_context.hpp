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
    /// Whether a request may also wait for the own share to refill.
    bool waits_for_own_share{false};
    duration grant_validity{std::chrono::milliseconds{150}}; ///< Grants are accepted this long.
    duration lease{std::chrono::seconds{30}};
    duration lease_renewal{std::chrono::seconds{10}};
    duration share_interval{std::chrono::seconds{1}}; ///< Between requests for more rate.
    /// Groups of organisations that are divided alike, the same at all VMs. Store calls grow with
    /// the groups, the load of a holder with the organisations in each.
    std::uint32_t groups{16};
    std::uint32_t holders_per_domain{3};
    std::uint32_t most_holders{std::numeric_limits<std::uint32_t>::max()}; ///< Over all domains.
    double messages_per_second{30}; ///< Token requests in vain per organisation; bounds overload.
    share_settings shares;

    static constexpr auto fields() {
        using self = rate_limiter_settings;
        return std::tuple{field("pending_us", &self::pending),
                          field("joining_us", &self::joining),
                          field("waits_for_own_share", &self::waits_for_own_share),
                          field("grant_validity_us", &self::grant_validity),
                          field("lease_us", &self::lease),
                          field("lease_renewal_us", &self::lease_renewal),
                          field("share_interval_us", &self::share_interval),
                          field("groups", &self::groups),
                          field("holders_per_domain", &self::holders_per_domain),
                          field("most_holders", &self::most_holders),
                          field("messages_per_second", &self::messages_per_second),
                          field("shares", &self::shares)};
    }
};

/// @brief What the limiters of all organisations at one VM have in common.
struct limiter_context : share_context {
    location place;
    rate_limiter_settings limits;
    std::vector<admission> decisions; ///< Results of pending requests, not yet handed out.
};

} // namespace jackdawvane
