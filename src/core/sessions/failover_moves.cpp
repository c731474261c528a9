#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <algorithm>

/// @file
/// @brief Failover coordinator: primaries that have to move although they serve.

namespace jackdawvane {

bool failover_coordinator::is_evacuated(const backend_server_id& server) const {
    const auto* entry = state_.directory.find(server);
    return entry != nullptr && state_.evacuations.contains(entry->registration.domain);
}

const char* failover_coordinator::reason_to_move(const backend_directory::entry& entry) const {
    if (entry.registration.leaving) {
        return "primary is leaving";
    }
    return state_.evacuations.contains(entry.registration.domain)
               ? "primary is in an evacuated domain"
               : nullptr;
}

bool failover_coordinator::may_stay_primary(const backend_server_id& server) const {
    const auto* entry = state_.directory.find(server);
    return entry != nullptr && reason_to_move(*entry) == nullptr;
}

bool failover_coordinator::has_successor(const group_id& group,
                                         const backend_server_id& primary) const {
    const auto members = state_.directory.members(group);
    const auto* current = state_.directory.find(primary);
    const bool leaving = current != nullptr && current->registration.leaving;
    return std::any_of(members.begin(), members.end(), [&](const auto& server) {
        // Handing over to a server of an evacuated domain keeps the commits of a leaving primary.
        const bool better = leaving && !state_.directory.find(server)->registration.leaving;
        return server != primary && (better || may_stay_primary(server));
    });
}

bool failover_coordinator::is_passed_over(const group_id& group,
                                          const backend_server_id& server) const {
    const auto members = state_.directory.members(group);
    return is_evacuated(server) &&
           std::any_of(members.begin(), members.end(),
                       [&](const auto& other) { return may_stay_primary(other); });
}

} // namespace jackdawvane
