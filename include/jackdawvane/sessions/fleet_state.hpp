#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/routing/evacuation_list.hpp"
#include "jackdawvane/sessions/backend_directory.hpp"
#include "jackdawvane/sessions/group_leadership.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief State that the components of a session proxy share.
struct fleet_state {
    vm_entry self;
    std::vector<vm_entry> live;     ///< VMs that are believed to be alive, sorted by id.
    std::uint64_t fleet_version{0}; ///< Increases with each change of `live`.
    std::shared_ptr<const configuration_document> configuration;
    backend_directory directory;
    evacuation_list evacuations;
    std::map<group_id, group_leadership> leaderships;
    std::map<failure_domain_id, region_id> regions; ///< Region of each failure domain.
    /// Groups whose leadership evidence statements wait for or will need soon; the observer queries
    /// for it and clears the set.
    std::set<group_id> groups_awaiting_evidence;

    /// @brief Leadership of @a group; created on first use.
    group_leadership& leadership(const group_id& group) { return leaderships[group]; }

    /// @brief Copies the backend servers of all groups from the directory to their leaderships.
    void update_group_members() {
        for (const auto& group : directory.groups()) {
            leaderships[group].set_members(directory.members(group));
        }
    }

    /// @brief Region of @a domain, or an empty one.
    [[nodiscard]] region_id region_of(const failure_domain_id& domain) const {
        const auto found = regions.find(domain);
        return found == regions.end() ? region_id{} : found->second;
    }

    /// @brief Whether no request may be sent to @a backend, because its domain is evacuated.
    [[nodiscard]] bool evacuation_blocks(time_point now, const backend_server_id& backend) const {
        const auto* entry = directory.find(backend);
        return entry != nullptr && evacuations.blocks(now, entry->registration.domain);
    }

    /// @brief Entry of @a vm, or null when it is not live.
    [[nodiscard]] const vm_entry* find_vm(const vm_id& vm) const {
        const auto found = std::lower_bound(
            live.begin(), live.end(), vm,
            [](const vm_entry& entry, const vm_id& wanted) { return entry.vm < wanted; });
        return found == live.end() || found->vm != vm ? nullptr : &*found;
    }

    /// @brief Configuration row of @a group, or null.
    [[nodiscard]] const group_row* find_group(const group_id& group) const {
        if (!configuration) {
            return nullptr;
        }
        for (const auto& [name, pool] : configuration->pools) {
            const auto found = pool.groups.find(group);
            if (found != pool.groups.end()) {
                return &found->second;
            }
        }
        return nullptr;
    }
};

} // namespace jackdawvane
