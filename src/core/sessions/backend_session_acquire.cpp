#include "jackdawvane/sessions/backend_sessions.hpp"

#include <algorithm>

/// @file
/// @brief Which connection a statement gets, and how many there may be.
///
/// The load that this answers: a server that accepts few connections, used by many organisations
/// that each need connections of their own.

namespace jackdawvane {

std::uint32_t backend_sessions::connection_part(const backend_registration& backend,
                                                double part) const {
    const auto* row = state_.find_group(backend.group);
    const auto limit = row == nullptr ? 0.0 : static_cast<double>(row->connection_limit);
    return std::max(1U, static_cast<std::uint32_t>(limit * part));
}

/// Connections that may be open now. After a refusal it is what the server has accepted: more
/// tries would each take a slot's time and send a statement back.
std::uint32_t backend_sessions::open_limit(time_point now,
                                           const backend_registration& backend) const {
    const auto limit = connection_part(backend, settings_.open_part);
    const auto found = loads_.find(backend.backend);
    const bool lowered = found != loads_.end() && now < found->second.ceiling_until;
    return lowered ? std::min(limit, found->second.ceiling) : limit;
}

void backend_sessions::lower_ceiling(time_point now, load& own) const {
    const auto accepted = own.open - std::min(own.open, own.opening);
    own.ceiling = now < own.ceiling_until ? std::min(own.ceiling, accepted) : accepted;
    own.ceiling = std::max(1U, own.ceiling);
    own.ceiling_until = now + settings_.ceiling_memory;
}

std::uint32_t backend_sessions::window(const backend_registration& backend) const noexcept {
    return settings_.window_per_slot * std::max(1U, backend.slots);
}

/// Closes the idle connection that was heard longest ago when there are too many.
void backend_sessions::trim_idle(const backend_registration& backend, proxy_output& out) {
    std::uint32_t idle = 0;
    connection_id oldest;
    time_point oldest_heard = no_deadline;
    for (const auto& [id, own] : sessions_) {
        if (own.backend != backend.backend || own.in_use) {
            continue;
        }
        ++idle;
        if (own.heard < oldest_heard) {
            oldest_heard = own.heard;
            oldest = id;
        }
    }
    if (idle > connection_part(backend, settings_.idle_part)) {
        discard(oldest, out);
    }
}

bool backend_sessions::avoided(time_point now, const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    return found != loads_.end() && now < found->second.failed_until;
}

bool backend_sessions::has_room(time_point now, const backend_server_id& backend) const {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return false;
    }
    const auto found = loads_.find(backend);
    if (found == loads_.end()) {
        return true;
    }
    const auto& own = found->second;
    const auto limit = window(entry->registration);
    if (now < own.busy_until || now < own.failed_until || own.running >= limit ||
        own.opening >= limit) {
        return false;
    }
    if (own.open < open_limit(now, entry->registration)) {
        return true;
    }
    // An idle connection of another organisation makes room by closing.
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& each) {
        return each.second.backend == backend && !each.second.in_use && each.second.open;
    });
}

/// Higher is better: the connection needs fewer preparations.
std::uint64_t backend_sessions::fit(const session& own, const session_needs& needs) const {
    std::uint64_t points = 1;
    if (needs.values == nullptr || own.values == *needs.values) {
        points += 2;
    }
    if (needs.prepared != nullptr &&
        std::any_of(own.prepared.begin(), own.prepared.end(),
                    [&](const auto& each) { return each.second == *needs.prepared; })) {
        points += 1;
    }
    return points;
}

std::optional<connection_id> backend_sessions::acquire(time_point now,
                                                       const backend_server_id& backend,
                                                       const session_needs& needs,
                                                       proxy_output& out) {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return {};
    }
    session* best = nullptr;
    connection_id best_id;
    std::uint64_t best_fit = 0;
    std::optional<connection_id> oldest_other;
    time_point oldest_heard = no_deadline;
    for (auto& [id, own] : sessions_) {
        if (own.backend != backend || own.in_use || !own.open) {
            continue;
        }
        if (own.organisation != needs.organisation) {
            if (own.heard < oldest_heard) {
                oldest_heard = own.heard;
                oldest_other = id;
            }
            continue;
        }
        const auto points = fit(own, needs);
        if (points > best_fit) {
            best = &own;
            best_id = id;
            best_fit = points;
        }
    }
    if (best != nullptr) {
        best->in_use = true;
        return best_id;
    }
    auto& own_load = loads_[backend];
    if (own_load.open >= open_limit(now, entry->registration)) {
        if (!oldest_other) {
            return {};
        }
        discard(*oldest_other, out);
    }
    const auto id = ids_.next();
    auto& own = sessions_[id];
    own.backend = backend;
    own.group = entry->registration.group;
    own.organisation = needs.organisation;
    own.in_use = true;
    own.opened_at = own.heard = now;
    ++own_load.open;
    ++own_load.opening;
    out.sessions.emplace_back(
        open_member{id, entry->registration.endpoint, own.group, needs.organisation, backend});
    count(out.common, "member_connections_opened_total");
    return id;
}

} // namespace jackdawvane
