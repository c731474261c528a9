#include "jackdawvane/sessions/backend_sessions.hpp"

#include <algorithm>

/// @file
/// @brief Choice of the connection for a statement, and limits on the number of connections.
///
/// Designed for a server that accepts few connections and is used by many organisations, each of
/// which needs connections of its own.

namespace jackdawvane {

std::uint32_t backend_sessions::max_connections(const backend_registration& backend,
                                                double fraction) const {
    const auto* row = state_.find_group(backend.group);
    const auto limit = row == nullptr ? 0.0 : static_cast<double>(row->connection_limit);
    return std::max(1U, static_cast<std::uint32_t>(limit * fraction));
}

/// Connections that may be open now. After a refusal the limit is the number that the server had
/// accepted: each further attempt would occupy a slot and return a statement to its entry VM.
std::uint32_t backend_sessions::open_limit(time_point now,
                                           const backend_registration& backend) const {
    const auto limit = max_connections(backend, settings_.max_open_fraction);
    const auto found = loads_.find(backend.backend);
    const bool lowered = found != loads_.end() && now < found->second.accepted_limit_until;
    return lowered ? std::min(limit, found->second.accepted_limit) : limit;
}

void backend_sessions::lower_accepted_limit(time_point now, backend_load& load) const {
    const auto accepted = load.open - std::min(load.open, load.opening);
    load.accepted_limit =
        now < load.accepted_limit_until ? std::min(load.accepted_limit, accepted) : accepted;
    load.accepted_limit = std::max(1U, load.accepted_limit);
    load.accepted_limit_until = now + settings_.accepted_limit_ttl;
}

std::uint32_t
backend_sessions::concurrency_limit(const backend_registration& backend) const noexcept {
    return settings_.concurrency_per_slot * std::max(1U, backend.slots);
}

/// Closes the idle connection with the oldest received message when too many are idle.
void backend_sessions::trim_idle(const backend_registration& backend, proxy_output& out) {
    std::uint32_t idle = 0;
    connection_id oldest;
    time_point oldest_received = no_deadline;
    for (const auto& [id, session] : sessions_) {
        if (session.backend != backend.backend || session.in_use) {
            continue;
        }
        ++idle;
        if (session.last_received < oldest_received) {
            oldest_received = session.last_received;
            oldest = id;
        }
    }
    if (idle > max_connections(backend, settings_.max_idle_fraction)) {
        discard(oldest, out);
    }
}

bool backend_sessions::recently_failed(time_point now, const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    return found != loads_.end() && now < found->second.failed_until;
}

std::uint32_t backend_sessions::running(const backend_server_id& backend) const {
    const auto found = loads_.find(backend);
    return found == loads_.end() ? 0 : found->second.running;
}

bool backend_sessions::lags(time_point now, const backend_server_id& backend,
                            const log_point& required) const {
    const auto found = loads_.find(backend);
    return found != loads_.end() && now < found->second.lagging_until &&
           found->second.lagging_position < required;
}

bool backend_sessions::has_capacity(time_point now, const backend_server_id& backend) const {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return false;
    }
    const auto found = loads_.find(backend);
    if (found == loads_.end()) {
        return true;
    }
    const auto& load = found->second;
    const auto limit = concurrency_limit(entry->registration);
    if (now < load.busy_until || now < load.failed_until || load.running >= limit ||
        load.opening >= limit) {
        return false;
    }
    if (load.open < open_limit(now, entry->registration)) {
        return true;
    }
    // An idle connection of another organisation can be closed to stay within the limit.
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& each) {
        return each.second.backend == backend && !each.second.in_use && each.second.open;
    });
}

/// A higher score means that fewer commands are needed to set up the session.
std::uint64_t backend_sessions::match_score(const pooled_session& session,
                                            const session_needs& needs) const {
    std::uint64_t score = 1;
    if (needs.values == nullptr || session.values == *needs.values) {
        score += 2;
    }
    if (needs.prepared != nullptr &&
        std::any_of(session.prepared.begin(), session.prepared.end(),
                    [&](const auto& each) { return each.second == *needs.prepared; })) {
        score += 1;
    }
    return score;
}

std::optional<connection_id> backend_sessions::acquire(time_point now,
                                                       const backend_server_id& backend,
                                                       const session_needs& needs,
                                                       proxy_output& out) {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr) {
        return {};
    }
    pooled_session* best = nullptr;
    connection_id best_id;
    std::uint64_t best_score = 0;
    std::optional<connection_id> oldest_other;
    time_point oldest_received = no_deadline;
    for (auto& [id, session] : sessions_) {
        if (session.backend != backend || session.in_use || !session.open) {
            continue;
        }
        if (session.organisation != needs.organisation) {
            if (session.last_received < oldest_received) {
                oldest_received = session.last_received;
                oldest_other = id;
            }
            continue;
        }
        const auto score = match_score(session, needs);
        if (score > best_score) {
            best = &session;
            best_id = id;
            best_score = score;
        }
    }
    if (best != nullptr) {
        best->in_use = true;
        return best_id;
    }
    auto& load = loads_[backend];
    if (load.open >= open_limit(now, entry->registration)) {
        if (!oldest_other) {
            return {};
        }
        discard(*oldest_other, out);
    }
    const auto id = ids_.next();
    auto& session = sessions_[id];
    session.backend = backend;
    session.group = entry->registration.group;
    session.organisation = needs.organisation;
    session.in_use = true;
    session.opened_at = session.last_received = now;
    ++load.open;
    ++load.opening;
    out.sessions.emplace_back(open_server_connection{id, entry->registration.endpoint,
                                                     session.group, needs.organisation, backend});
    count(out.common, "member_connections_opened_total");
    return id;
}

} // namespace jackdawvane
