#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/node_interface.hpp"
#include "jackdawvane/node/store.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace jackdawvane {

/// @brief Settings of a node; the defaults are meant for a fleet of 7 to 9 VMs.
struct node_settings {
    vm_entry self;                ///< This VM as other VMs see it.
    vm_incarnation incarnation;   ///< Higher than that of every earlier process of this VM.
    std::vector<endpoint> seeds;  ///< Peer endpoints to contact when the store does not answer.
    std::uint64_t random_seed{1}; ///< Seed of the node's random engine.
    duration status_wait{from_milliseconds(250)};   ///< Wait of a status long poll.
    duration probe_timeout{from_milliseconds(150)}; ///< Timeout after which a server is dead.
    duration promotion_rank_delay{from_milliseconds(200)}; ///< Delay per candidate rank.
    duration lease_renewal{std::chrono::seconds{5}};       ///< Interval of lease renewals.
    /// Time until a lease expires unless it is renewed. A VM that loses the store uses its share
    /// until then, and the share of a killed VM is unavailable until then.
    duration lease_duration{std::chrono::seconds{60}};
    duration token_wait{from_milliseconds(50)};       ///< Maximum wait for tokens of peers.
    std::size_t holders_per_domain{3};                ///< Share holders per failure domain.
    duration drain_timeout{std::chrono::seconds{30}}; ///< Maximum graceful shutdown time.
};

/// @brief Creates a node from all components of this library.
[[nodiscard]] std::unique_ptr<node_interface> make_node(const node_settings& settings);

} // namespace jackdawvane
