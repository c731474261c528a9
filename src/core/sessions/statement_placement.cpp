#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief Which backend server runs a statement, and when.

namespace jackdawvane {

void statement_executor::enqueue(caller_session& session) {
    const auto& row = *routes_.at(session.id).row;
    waiting_.insert({row.priority, session.work->deadline, session.id});
}

void statement_executor::dequeue(caller_session& session) {
    const auto route = routes_.find(session.id);
    if (session.work && route != routes_.end()) {
        waiting_.erase({route->second.row->priority, session.work->deadline, session.id});
    }
}

void statement_executor::place_waiting(time_point now, proxy_output& out) {
    // What one statement cannot get, those behind it with the same wish cannot get either.
    std::set<std::pair<group_id, bool>> exhausted;
    const std::vector<queue_key> order{waiting_.begin(), waiting_.end()};
    for (const auto& key : order) {
        const auto found = sessions_.find(std::get<session_id>(key));
        if (found == sessions_.end() || !found->second.work ||
            found->second.work->step != work_step::placement) {
            waiting_.erase(key);
            continue;
        }
        auto& session = found->second;
        if (now < session.work->retry_at) {
            continue;
        }
        const std::pair wish{routes_.at(session.id).group, session.work->needs_primary};
        const bool own_connection = session.transaction.opened;
        if (!own_connection && exhausted.contains(wish)) {
            continue;
        }
        if (place(now, session, out)) {
            waiting_.erase(key);
        } else if (!own_connection && session.work && session.work->tried.empty()) {
            exhausted.insert(wish);
        }
    }
}

/// @return whether the statement no longer waits for a place
bool statement_executor::place(time_point now, caller_session& session, proxy_output& out) {
    if (session.transaction.opened) {
        return place_in_transaction(now, session, out);
    }
    return session.work->needs_primary ? place_on_primary(now, session, out)
                                       : place_read(now, session, out);
}

bool statement_executor::place_in_transaction(time_point now, caller_session& session,
                                              proxy_output& out) {
    const auto& transaction = session.transaction;
    const auto& work = *session.work;
    if (transaction.leader > term{} && work.statement.kind == statement_kind::commit &&
        transaction.wrote) {
        const auto& leadership = state_.leadership(routes_.at(session.id).group);
        if (leadership.term() != transaction.leader) {
            give_up(now, session, "the primary was replaced", out);
            return true;
        }
        if (!leadership.confirmed(now)) {
            state_.awaited.insert(routes_.at(session.id).group);
            return false;
        }
    }
    send_on(now, session, transaction.backend, transaction.lease, {}, false, out);
    return true;
}

bool statement_executor::place_on_primary(time_point now, caller_session& session,
                                          proxy_output& out) {
    const auto& group = routes_.at(session.id).group;
    const auto& leadership = state_.leadership(group);
    const auto oldest = std::min(leadership.confirmed_at(), leadership.primary_seen());
    if (oldest == time_point::min() || now - oldest > settings_.evidence_refresh) {
        state_.awaited.insert(group);
    }
    const auto* entry =
        leadership.primary() ? state_.directory.find(*leadership.primary()) : nullptr;
    if (entry != nullptr && ends_soon(now, *entry)) {
        return false;
    }
    if (!leadership.confirmed(now) || now - leadership.primary_seen() > settings_.primary_silence ||
        !gateway_.open(now, *leadership.primary())) {
        return false;
    }
    session.work->leader = leadership.term();
    return send(now, session, *leadership.primary(), {}, out);
}

/// Point that a read on a server other than the primary has to reach.
std::optional<log_point> statement_executor::required_point(time_point /*now*/,
                                                            caller_session& session) {
    const auto& route = routes_.at(session.id);
    auto& leadership = state_.leadership(route.group);
    const auto bound = from_milliseconds(route.row->max_staleness_ms.value_or(0));
    auto wanted = leadership.point_since(session.work->received - bound);
    const auto floor = session.floors.find(route.group);
    if (floor == session.floors.end()) {
        return wanted;
    }
    if (floor->second.leader < leadership.term()) {
        // A new primary may lack the point; all that remains of it is in the new primary's log.
        const auto newest = leadership.newest_point();
        if (!newest) {
            return {};
        }
        floor->second = {*newest, leadership.term()};
    }
    return wanted ? std::optional{std::max(*wanted, floor->second.point)} : wanted;
}

duration statement_executor::distance_to(const backend_registration& backend) const {
    if (backend.domain == state_.self.place.domain) {
        return settings_.domain_round_trip;
    }
    return state_.region_of(backend.domain) == state_.self.place.region
               ? settings_.region_round_trip
               : settings_.far_round_trip;
}

/// A server that may have been leaving for a few seconds gets no new work, also when no other has
/// room: it may end at any moment. When it began is not in the registry, so the last reading that
/// listed it as staying counts; this VM's list may have been old, or may be its first one.
bool statement_executor::ends_soon(time_point now, const backend_directory::entry& backend) const {
    return backend.registration.leaving && (backend.staying_at == time_point::min() ||
                                            now - backend.staying_at > settings_.leaving_use);
}

std::vector<read_candidate> statement_executor::candidates(time_point now,
                                                           const caller_session& session,
                                                           const std::optional<log_point>& wanted) {
    const auto& group = routes_.at(session.id).group;
    const auto& leadership = state_.leadership(group);
    std::vector<read_candidate> found;
    for (const auto& [backend, entry] : state_.directory.entries()) {
        const auto& registration = entry.registration;
        const bool primary = leadership.primary() == backend;
        const bool proved_primary = primary && leadership.confirmed(now);
        if (registration.group != group || session.work->tried.contains(backend) ||
            ends_soon(now, entry) || !gateway_.open(now, backend) || (!wanted && !proved_primary)) {
            continue;
        }
        read_candidate candidate;
        candidate.backend = backend;
        candidate.distance = distance_to(registration);
        candidate.mean_answer_time = gateway_.latency(now, backend).value_or(duration{0});
        candidate.running = gateway_.running(backend);
        candidate.slots = registration.slots;
        candidate.primary = primary;
        candidate.last_used = session.last_backend == backend;
        const auto received = leadership.received(backend);
        candidate.lagging = !proved_primary && received && wanted && *received < *wanted;
        candidate.warming_up = registration.warm_up_left > duration{0};
        candidate.leaving = registration.leaving || entry.absent_since != no_deadline;
        found.push_back(candidate);
    }
    return found;
}

bool statement_executor::place_read(time_point now, caller_session& session, proxy_output& out) {
    const auto wanted = required_point(now, session);
    if (!wanted) {
        state_.awaited.insert(routes_.at(session.id).group);
    }
    const auto chosen = choose_backend(candidates(now, session, wanted), settings_.choice);
    if (!chosen) {
        return false;
    }
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    const bool proved_primary = leadership.primary() == *chosen && leadership.confirmed(now);
    session.work->leader = proved_primary ? leadership.term() : term{};
    return send(now, session, *chosen, proved_primary ? std::nullopt : wanted, out);
}

bool statement_executor::send(time_point now, caller_session& session,
                              const backend_server_id& backend, std::optional<log_point> after,
                              proxy_output& out) {
    const auto lease = gateway_.acquire(now, backend);
    if (!lease) {
        return false;
    }
    auto& transaction = session.transaction;
    const bool opens = transaction.state == transaction_state::open;
    if (opens) {
        transaction.lease = *lease;
        transaction.backend = backend;
        transaction.leader = session.work->leader;
    }
    if (!session.work->writes) {
        session.last_backend = backend;
    }
    note_leaving(now, session, backend, out);
    send_on(now, session, backend, *lease, after, opens, out);
    return true;
}

/// New work for a leaving server is allowed for a while; the line tells what it was decided on.
void statement_executor::note_leaving(time_point now, const caller_session& session,
                                      const backend_server_id& backend, proxy_output& out) const {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr || !entry->registration.leaving) {
        return;
    }
    count(out.common, "statements_to_leaving_total");
    note(session, "to_leaving",
         "backend=" + backend.str() + " leaving_ms=" + age_text(now, entry->leaving_since) +
             " staying_age_ms=" + age_text(now, entry->staying_at) +
             " registry_age_ms=" + age_text(now, state_.directory.read_at()),
         log_level::info, out);
}

void statement_executor::send_on(time_point now, caller_session& session,
                                 const backend_server_id& backend, connection_id lease,
                                 const std::optional<log_point>& after, bool opens,
                                 proxy_output& out) {
    auto& work = *session.work;
    const auto attempt = attempt_ids_.next();
    attempts_[attempt] = session.id;
    work.attempts[attempt] = lease;
    work.step = work_step::running;
    ++work.tries;
    const bool single_read = !opens && !session.transaction.opened && !work.writes;
    work.hedge_at = single_read && work.tries == 1
                        ? now + (work.deadline - work.received) / settings_.hedge_divisor
                        : no_deadline;
    member_statement forward;
    forward.lease = lease;
    forward.attempt = attempt;
    forward.backend = backend;
    forward.organisation = session.organisation;
    forward.values = session.values;
    forward.writes = work.writes;
    forward.continues = session.transaction.opened;
    forward.remaining = work.deadline - now;
    forward.main.id = work.statement.id;
    if (work.statement.kind == statement_kind::execute) {
        const auto found = session.prepared.find(work.statement.name);
        forward.prepared = found->second;
        forward.main.kind = command_kind::execute;
        forward.main.value = work.statement.value;
    } else {
        forward.main.value = work.statement.text;
    }
    if (opens) {
        forward.begin.emplace();
        forward.begin->kind =
            session.transaction.read_only ? command_kind::begin_read : command_kind::begin;
        forward.begin->after = after;
    } else {
        forward.main.after = after;
    }
    gateway_.send(now, std::move(forward), out);
}

} // namespace jackdawvane
