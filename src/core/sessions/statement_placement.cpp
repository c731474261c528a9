#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief Statement executor: the queue of waiting statements and the choice of backend servers.

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
    // If no server is available for a statement, none is for later ones with the same requirement.
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
        if (refuse_if_unservable(now, session, out)) {
            continue;
        }
        const std::pair requirement{routes_.at(session.id).group, session.work->needs_primary};
        const bool own_connection = session.transaction.opened;
        if (!own_connection && exhausted.contains(requirement)) {
            continue;
        }
        if (place(now, session, out)) {
            waiting_.erase(key);
        } else if (!own_connection && session.work && session.work->tried.empty() &&
                   !routes_.at(session.id).regions.restricted() && session.work->retry_at <= now) {
            exhausted.insert(requirement);
        }
    }
}

/// @return whether the statement was sent or ended, and so leaves the queue
bool statement_executor::place(time_point now, caller_session& session, proxy_output& out) {
    if (session.transaction.opened) {
        return place_in_transaction(now, session, out);
    }
    return session.work->needs_primary ? place_on_primary(now, session, out)
                                       : place_read(now, session, out);
}

bool statement_executor::place_in_transaction(time_point now, caller_session& session,
                                              proxy_output& out) {
    if (abort_if_evacuated(now, session, out)) {
        return true;
    }
    const auto& transaction = session.transaction;
    const auto& work = *session.work;
    if (transaction.primary_term > term{} && work.statement.kind == statement_kind::commit &&
        transaction.wrote) {
        const auto& leadership = state_.leadership(routes_.at(session.id).group);
        if (leadership.term() != transaction.primary_term) {
            give_up(now, session, "the primary was replaced", out);
            return true;
        }
        if (!leadership.confirmed(now)) {
            state_.groups_awaiting_evidence.insert(routes_.at(session.id).group);
            return false;
        }
    }
    send_attempt(now, session, transaction.backend, transaction.lease, {}, false, out);
    return true;
}

bool statement_executor::place_on_primary(time_point now, caller_session& session,
                                          proxy_output& out) {
    const auto& group = routes_.at(session.id).group;
    const auto& leadership = state_.leadership(group);
    const auto oldest = std::min(leadership.confirmed_at(), leadership.primary_answered_at());
    if (oldest == time_point::min() || now - oldest > settings_.evidence_refresh_age) {
        state_.groups_awaiting_evidence.insert(group);
    }
    const auto* entry =
        leadership.primary() ? state_.directory.find(*leadership.primary()) : nullptr;
    if (entry != nullptr && (may_stop_soon(now, *entry) || !may_run_at(session, *entry) ||
                             state_.evacuations.blocks(now, entry->registration.domain))) {
        return false;
    }
    if (!leadership.confirmed(now) ||
        now - leadership.primary_answered_at() > settings_.primary_timeout ||
        !forwarder_.open(now, *leadership.primary())) {
        return false;
    }
    session.work->primary_term = leadership.term();
    return send(now, session, *leadership.primary(), {}, out);
}

/// Log point that a server other than the confirmed primary must have reached to run the read;
/// nothing when it is not known.
std::optional<log_point> statement_executor::required_point(time_point /*now*/,
                                                            caller_session& session) {
    const auto& route = routes_.at(session.id);
    auto& leadership = state_.leadership(route.group);
    const auto bound = from_milliseconds(route.row->max_staleness_ms.value_or(0));
    auto required = leadership.point_covering(session.work->received - bound);
    const auto floor = session.floors.find(route.group);
    if (floor == session.floors.end()) {
        return required;
    }
    if (floor->second.primary_term < leadership.term()) {
        // After a failover the old point may never be reached: the new primary may lack it.
        // Whatever survived is in the new primary's log, so its newest point replaces the old one.
        const auto newest = leadership.newest_point();
        if (!newest) {
            return {};
        }
        floor->second = {*newest, leadership.term()};
    }
    return required ? std::optional{std::max(*required, floor->second.point)} : required;
}

duration statement_executor::distance_to(const backend_registration& backend) const {
    if (backend.domain == state_.self.place.domain) {
        return settings_.same_domain_round_trip;
    }
    return state_.region_of(backend.domain) == state_.self.place.region
               ? settings_.same_region_round_trip
               : settings_.cross_region_round_trip;
}

/// A server that may have been leaving for longer than `leaving_use_limit` gets no new statements,
/// even when no other server is available, because it may stop at any moment. The registry does not
/// say when it began to leave, so the age of the last read that did not list it as leaving is used:
/// this VM's list may have been stale, or this may be its first one.
bool statement_executor::may_stop_soon(time_point now,
                                       const backend_directory::entry& backend) const {
    return backend.registration.leaving &&
           (backend.last_listed_staying == time_point::min() ||
            now - backend.last_listed_staying > settings_.leaving_use_limit);
}

std::vector<read_candidate>
statement_executor::candidates(time_point now, const caller_session& session,
                               const std::optional<log_point>& required) {
    const auto& group = routes_.at(session.id).group;
    const auto& leadership = state_.leadership(group);
    std::vector<read_candidate> found;
    for (const auto& [backend, entry] : state_.directory.entries()) {
        const auto& registration = entry.registration;
        const bool primary = leadership.primary() == backend;
        const bool confirmed_primary = primary && leadership.confirmed(now);
        if (registration.group != group || session.work->tried.contains(backend) ||
            !may_read_at(now, session, entry) || (!required && !confirmed_primary)) {
            continue;
        }
        read_candidate candidate;
        candidate.backend = backend;
        candidate.distance = distance_to(registration);
        candidate.mean_answer_time = forwarder_.latency(now, backend).value_or(duration{0});
        candidate.running = forwarder_.running(backend);
        candidate.slots = registration.slots;
        candidate.report = forwarder_.report(now, backend);
        candidate.refusing = !forwarder_.open(now, backend);
        candidate.primary = primary;
        candidate.last_used = session.last_backend == backend;
        const auto received = leadership.received(backend);
        candidate.lagging = !confirmed_primary && received && required && *received < *required;
        candidate.warming_up = registration.warm_up_remaining > duration{0};
        candidate.leaving = registration.leaving || entry.absent_since != no_deadline;
        found.push_back(candidate);
    }
    return found;
}

bool statement_executor::place_read(time_point now, caller_session& session, proxy_output& out) {
    const auto required = required_point(now, session);
    if (!required) {
        state_.groups_awaiting_evidence.insert(routes_.at(session.id).group);
    }
    const auto chosen = choose_read(now, session, candidates(now, session, required), out);
    if (!chosen) {
        return false;
    }
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    const bool confirmed_primary = leadership.primary() == *chosen && leadership.confirmed(now);
    session.work->primary_term = confirmed_primary ? leadership.term() : term{};
    return send(now, session, *chosen, confirmed_primary ? std::nullopt : required, out);
}

bool statement_executor::send(time_point now, caller_session& session,
                              const backend_server_id& backend, std::optional<log_point> after,
                              proxy_output& out) {
    const auto lease = forwarder_.acquire(now, backend, routes_.at(session.id).regions);
    if (!lease) {
        return false;
    }
    auto& transaction = session.transaction;
    const bool opens = transaction.state == transaction_state::open;
    if (opens) {
        transaction.lease = *lease;
        transaction.backend = backend;
        transaction.primary_term = session.work->primary_term;
    }
    if (!session.work->writes) {
        session.last_backend = backend;
    }
    log_use_of_leaving(now, session, backend, out);
    send_attempt(now, session, backend, *lease, after, opens, out);
    return true;
}

/// Logs the ages on which the decision to use a leaving server was based.
void statement_executor::log_use_of_leaving(time_point now, const caller_session& session,
                                            const backend_server_id& backend,
                                            proxy_output& out) const {
    const auto* entry = state_.directory.find(backend);
    if (entry == nullptr || !entry->registration.leaving) {
        return;
    }
    count(out.common, "statements_to_leaving_total");
    log_statement(session, "to_leaving",
                  "backend=" + backend.str() +
                      " leaving_ms=" + age_text(now, entry->leaving_since) +
                      " staying_age_ms=" + age_text(now, entry->last_listed_staying) +
                      " registry_age_ms=" + age_text(now, state_.directory.read_at()),
                  log_level::info, out);
}

void statement_executor::send_attempt(time_point now, caller_session& session,
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
    forwarded_statement forward;
    forward.lease = lease;
    forward.attempt = attempt;
    forward.backend = backend;
    forward.organisation = session.organisation;
    forward.values = session.values;
    forward.writes = work.writes;
    forward.continues_transaction = session.transaction.opened;
    forward.remaining = work.deadline - now;
    const auto& row = *routes_.at(session.id).row;
    forward.priority = row.priority;
    forward.target = work.received + from_milliseconds(row.target_latency_ms) - now;
    forward.alternative = !work.needs_primary && !session.transaction.opened;
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
    forwarder_.send(now, std::move(forward), out);
}

} // namespace jackdawvane
