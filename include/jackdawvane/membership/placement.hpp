#pragma once

#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// @file
/// @brief Assigns tasks to live VMs by rendezvous hashing, without communication.

namespace jackdawvane {

/// @brief Weight of @a candidate for @a key; the candidate with the highest weight wins.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key,
                                              std::string_view candidate) noexcept;

/// @brief Ids of @a candidates from the highest weight for @a key to the lowest.
/// @complexity O(n log n)
[[nodiscard]] std::vector<vm_id> rank_vms(std::string_view key,
                                          std::span<const vm_entry> candidates);

/// @brief VM that owns the connections to a backend server.
///
/// Prefers VMs of the backend server's failure domain, then of its region, then any. VMs that
/// are leaving are skipped.
/// @param backend the backend server
/// @param place location of the backend server
/// @param live VMs that count as live
/// @return the owner, or nothing if no VM is eligible
[[nodiscard]] std::optional<vm_id> owner_of(const backend_server_id& backend, const location& place,
                                            std::span<const vm_entry> live);

/// @brief Up to @a count VMs of the failure domain @a domain for the task @a key.
[[nodiscard]] std::vector<vm_id> delegates(std::string_view key, const failure_domain_id& domain,
                                           std::span<const vm_entry> live, std::size_t count);

/// @brief Up to @a count VMs of the region @a region for the task @a key.
[[nodiscard]] std::vector<vm_id> region_delegates(std::string_view key, const region_id& region,
                                                  std::span<const vm_entry> live,
                                                  std::size_t count);

/// @brief VMs that hold shares of @a group.
/// @param live VMs that count as live; those that are leaving are skipped
/// @param per_domain maximum number of VMs of each failure domain
/// @param max_holders maximum number of VMs in total
/// @complexity O(n log n)
[[nodiscard]] std::vector<vm_id> share_holders(const share_group_id& group,
                                               std::span<const vm_entry* const> live,
                                               std::size_t per_domain, std::size_t max_holders);

} // namespace jackdawvane
