#pragma once

#include "jackdawvane/adapters/decision_logger.hpp"
#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/node/node.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Intervals of the node in milliseconds; see `node_settings` for their meaning.
struct interval_settings {
    std::uint32_t status_wait_ms{};
    std::uint32_t probe_timeout_ms{};
    std::uint32_t promotion_rank_delay_ms{};
    std::uint32_t lease_renewal_ms{};
    std::uint32_t lease_duration_ms{};
    std::uint32_t token_wait_ms{};
    std::uint32_t drain_timeout_ms{};

    /// @brief Takes the defaults of `node_settings`.
    interval_settings();

    static constexpr auto fields() {
        return std::tuple{
            field("status_wait_ms", &interval_settings::status_wait_ms),
            field("probe_timeout_ms", &interval_settings::probe_timeout_ms),
            field("promotion_rank_delay_ms", &interval_settings::promotion_rank_delay_ms),
            field("lease_renewal_ms", &interval_settings::lease_renewal_ms),
            field("lease_duration_ms", &interval_settings::lease_duration_ms),
            field("token_wait_ms", &interval_settings::token_wait_ms),
            field("drain_timeout_ms", &interval_settings::drain_timeout_ms)};
    }
};

/// @brief Settings file of the entry daemon.
struct daemon_settings {
    vm_id vm;
    region_id region;
    failure_domain_id failure_domain;
    std::string address; ///< IP address to listen on and to connect from.
    std::uint16_t caller_port{0};
    std::uint16_t peer_port{0};
    std::optional<endpoint> advertised_caller; ///< Endpoint for callers if not the listening one.
    std::optional<endpoint> advertised_peer;   ///< Endpoint for other VMs if not the listening one.
    endpoint store;
    std::vector<endpoint> seeds; ///< Peer endpoints of some other VMs.
    std::string peer_secret;     ///< Shared by the fleet.
    std::size_t holders_per_domain{node_settings{}.holders_per_domain};
    log_settings log;
    interval_settings intervals;

    static constexpr auto fields() {
        return std::tuple{field("vm", &daemon_settings::vm),
                          field("region", &daemon_settings::region),
                          field("failure_domain", &daemon_settings::failure_domain),
                          field("address", &daemon_settings::address),
                          field("caller_port", &daemon_settings::caller_port),
                          field("peer_port", &daemon_settings::peer_port),
                          field("advertised_caller", &daemon_settings::advertised_caller),
                          field("advertised_peer", &daemon_settings::advertised_peer),
                          field("store", &daemon_settings::store),
                          field("seeds", &daemon_settings::seeds),
                          field("peer_secret", &daemon_settings::peer_secret),
                          field("holders_per_domain", &daemon_settings::holders_per_domain),
                          field("log", &daemon_settings::log),
                          field("intervals", &daemon_settings::intervals)};
    }

    /// @brief Keys that have no default.
    [[nodiscard]] static std::vector<const char*> required();

    /// @brief Appends the errors in the values to @a problems.
    void check(decode_problems& problems) const;
};

/// @brief Makes the node settings of a daemon that listens on @a caller and @a peer.
/// @param incarnation higher than that of every earlier process of this VM
[[nodiscard]] node_settings make_node_settings(const daemon_settings& settings,
                                               const endpoint& caller, const endpoint& peer,
                                               vm_incarnation incarnation, std::uint64_t seed);

} // namespace jackdawvane
