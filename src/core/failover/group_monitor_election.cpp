#include "jackdawvane/failover/group_monitor.hpp"
#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

// When a group monitor replaces the primary, and which backend servers take part.

namespace jackdawvane {

group_monitor::election group_monitor::next_election() const {
    election next;
    if (!running_ || promotion_ || primary_probe_) {
        return next;
    }
    if (view_.known_term() == term{}) {
        next = {quiet_since_ + settings_.primary_silence + rank_wait(), false,
                "no primary is known"};
    } else {
        next = lost_primary_election();
    }
    if (unled_since_) {
        const auto due = *unled_since_ + settings_.primary_silence + rank_wait();
        if (due < next.due) {
            next = {due, false, "a later term has no primary"};
        }
    }
    if (next.due != no_deadline) {
        next.due = std::max(next.due, election_after_);
    }
    return next;
}

group_monitor::election group_monitor::lost_primary_election() const {
    if (own_primary() && !lost_primary_at_ && handover_possible()) {
        return {quiet_since_, false, "the primary is leaving"};
    }
    if (own_primary()) {
        return {lost_primary_at_.value_or(no_deadline), false, "the primary was lost"};
    }
    if (told_lost_since_) {
        return {*told_lost_since_ + rank_wait(), true, "its owner reports the primary unreachable"};
    }
    // The owner of rank 0 is silent too. The probe lasts about as long as one rank's delay, so it
    // takes the place of that delay instead of adding to it.
    const auto heard = view_.heard(view_.primary()).value_or(quiet_since_);
    return {std::max(heard, quiet_since_) + settings_.primary_silence + rank_wait() -
                settings_.rank_delay,
            true, "no report about the primary"};
}

bool group_monitor::handover_possible() const {
    const auto own = group_.backend_servers.find(watched_.backend);
    const auto* status = view_.status(watched_.backend);
    const auto staying = std::count_if(
        group_.backend_servers.begin(), group_.backend_servers.end(),
        [](const auto& entry) { return entry.second.state == backend_state::active; });
    return own_primary() && own != group_.backend_servers.end() && status != nullptr &&
           own->second.state == backend_state::leaving &&
           static_cast<std::size_t>(staying) >= view_.majority() &&
           view_.committed(view_.known_term(), status->position);
}

duration group_monitor::rank_wait() const {
    if (own_primary()) {
        return duration{0};
    }
    // Rank 0 is kept for the primary's own owner while there is a primary.
    std::int64_t rank = view_.primary().empty() ? 0 : 1;
    const auto own_weight = rendezvous_weight(watched_.group.str(), watched_.backend.str());
    for (const auto& [backend, row] : group_.backend_servers) {
        const bool ahead = backend != view_.primary() &&
                           rendezvous_weight(watched_.group.str(), backend.str()) > own_weight;
        rank += ahead ? 1 : 0;
    }
    return rank * settings_.rank_delay;
}

duration group_monitor::allowance(const backend_server_id& backend) const {
    const auto found = group_.backend_servers.find(backend);
    const bool same_region = found != group_.backend_servers.end() &&
                             found->second.place.region == watched_.place.region;
    return same_region ? settings_.region_allowance : settings_.far_allowance;
}

backend_call group_monitor::call_to(const backend_server_id& backend) const {
    const auto found = group_.backend_servers.find(backend);
    const auto endpoint =
        found == group_.backend_servers.end() ? jackdawvane::endpoint{} : found->second.endpoint;
    return {backend, endpoint, ids_};
}

std::vector<promotion_member> group_monitor::promotion_members(bool with_leaving) const {
    std::vector<promotion_member> members;
    for (const auto wanted : {backend_state::active, backend_state::leaving}) {
        for (const auto& [backend, row] : group_.backend_servers) {
            if (row.state == wanted && (with_leaving || wanted == backend_state::active)) {
                members.push_back({backend, row.endpoint});
            }
        }
    }
    return members;
}

} // namespace jackdawvane
