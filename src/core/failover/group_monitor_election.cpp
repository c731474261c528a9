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
        next = {silence_start_ + settings_.primary_timeout + election_delay(), false,
                "no primary is known"};
    } else {
        next = lost_primary_election();
    }
    if (leaderless_since_) {
        const auto due = *leaderless_since_ + settings_.primary_timeout + election_delay();
        if (due < next.due) {
            next = {due, false, "a later term has no primary"};
        }
    }
    if (next.due != no_deadline) {
        next.due = std::max(next.due, next_election_at_);
    }
    return next;
}

group_monitor::election group_monitor::lost_primary_election() const {
    if (own_primary() && !own_primary_lost_at_ && handover_possible()) {
        return {silence_start_, false, "the primary is leaving"};
    }
    if (own_primary()) {
        return {own_primary_lost_at_.value_or(no_deadline), false, "the primary was lost"};
    }
    if (reported_unreachable_since_) {
        return {*reported_unreachable_since_ + election_delay(), true,
                "the owner of the primary reports it unreachable"};
    }
    // The owner of rank 0 is silent, too. The probe takes about one rank delay, so it replaces that
    // delay instead of adding to it.
    const auto last_report_at = view_.last_report_at(view_.primary()).value_or(silence_start_);
    return {std::max(last_report_at, silence_start_) + settings_.primary_timeout +
                election_delay() - settings_.rank_delay,
            true, "no report about the primary within the time limit"};
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

duration group_monitor::election_delay() const {
    if (own_primary()) {
        return duration{0};
    }
    // Rank 0 is reserved for the primary's owner while there is a primary.
    std::int64_t rank = view_.primary().empty() ? 0 : 1;
    const auto own_weight = rendezvous_weight(watched_.group.str(), watched_.backend.str());
    for (const auto& [backend, row] : group_.backend_servers) {
        const bool ahead = backend != view_.primary() &&
                           rendezvous_weight(watched_.group.str(), backend.str()) > own_weight;
        rank += ahead ? 1 : 0;
    }
    return rank * settings_.rank_delay;
}

duration group_monitor::network_allowance(const backend_server_id& backend) const {
    const auto found = group_.backend_servers.find(backend);
    const bool same_region = found != group_.backend_servers.end() &&
                             found->second.place.region == watched_.place.region;
    return same_region ? settings_.own_region_allowance : settings_.other_region_allowance;
}

backend_call group_monitor::call_to(const backend_server_id& backend) const {
    const auto found = group_.backend_servers.find(backend);
    const auto endpoint =
        found == group_.backend_servers.end() ? jackdawvane::endpoint{} : found->second.endpoint;
    return {backend, endpoint, ids_};
}

std::vector<promotion_server> group_monitor::promotion_servers(bool with_leaving) const {
    std::vector<promotion_server> servers;
    for (const auto wanted : {backend_state::active, backend_state::leaving}) {
        for (const auto& [backend, row] : group_.backend_servers) {
            if (row.state == wanted && (with_leaving || wanted == backend_state::active)) {
                servers.push_back({backend, row.endpoint});
            }
        }
    }
    return servers;
}

} // namespace jackdawvane
