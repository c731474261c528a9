#include "jackdawvane/sessions/statement_executor.hpp"

#include "jackdawvane/configuration/key_registry.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr duration busy_tick_interval = std::chrono::milliseconds{10};
constexpr duration idle_tick_interval = std::chrono::milliseconds{100};
/// Other VMs accept the statement at once.
constexpr const char* stopping_detail = "this VM is stopping; retry_after_ms=0";

statement_reply local_reply(transaction_state state) {
    statement_reply reply;
    reply.signature = "-";
    reply.state = state;
    return reply;
}

std::size_t size_of(const statement& each) {
    return each.id.str().size() + each.name.size() + each.value.size() + each.shape.size() +
           each.text.size();
}

} // namespace

statement_executor::statement_executor(fleet_state& state, statement_forwarder& forwarder,
                                       admission_service& limits, executor_settings settings,
                                       attempt_id last_attempt)
    : state_{state}, forwarder_{forwarder}, limits_{limits}, settings_{settings},
      attempt_ids_{last_attempt} {}

void statement_executor::on(time_point now, const session_started& what, proxy_output& out) {
    if (sessions_.contains(what.session) || pending_sessions_.contains(what.session)) {
        on(now, session_broken{what.session, "the session has already started"}, out);
        return;
    }
    const auto key = digest_of(what.key);
    if (state_.configuration || closed_) {
        open_session(now, what.session, what.database, key, out);
    } else {
        pending_sessions_[what.session] = {what.database, key, now};
    }
}

void statement_executor::open_pending_sessions(time_point now, proxy_output& out) {
    if (pending_sessions_.empty()) {
        return;
    }
    const auto due = [&](const auto& each) {
        return state_.configuration || now - each.second.since >= settings_.configuration_wait;
    };
    for (auto it = pending_sessions_.begin(); it != pending_sessions_.end();) {
        if (!due(*it)) {
            ++it;
            continue;
        }
        const auto [id, start] = *it;
        it = pending_sessions_.erase(it);
        open_session(now, id, start.database, start.key, out);
    }
}

void statement_executor::open_session(time_point now, session_id id, const route_name& database,
                                      const key_digest& key, proxy_output& out) {
    caller_session session;
    session.id = id;
    session.database = database;
    session.key = key;
    session.last_activity = now;
    const auto problem =
        closed_ ? refusal{statement_error::busy, "this VM has stopped"} : select_route(session);
    if (problem) {
        log(out.common, "session", log_level::info,
            "rejected session=" + std::to_string(id.value()) + " database=" + database.str() +
                " reason=\"" + problem->detail + "\"");
        count(out.common, "sessions_rejected_total", "reason", problem->detail);
        out.sessions.emplace_back(reject_session{id, problem->problem, problem->detail});
        return;
    }
    out.sessions.emplace_back(accept_session{id, session.organisation});
    sessions_[id] = std::move(session);
}

/// Checks the route and the key against the configuration that is current at this operation.
std::optional<statement_executor::refusal>
statement_executor::select_route(caller_session& session) {
    if (!state_.configuration) {
        return refusal{statement_error::busy, "no configuration yet; retry_after_ms=500"};
    }
    const auto row = state_.configuration->routes.find(session.database);
    if (row == state_.configuration->routes.end()) {
        return refusal{statement_error::unknown_database, "no route has this name"};
    }
    const auto pool = state_.configuration->pools.find(row->second.pool);
    if (pool == state_.configuration->pools.end() || pool->second.groups.empty()) {
        return refusal{statement_error::unknown_database, "the route's pool is empty"};
    }
    const auto key = state_.configuration->keys.find(session.key);
    if (key != state_.configuration->keys.end()) {
        session.organisation = key->second.organisation;
    } else if (row->second.open) {
        session.organisation = organisation_id{"anonymous"};
    } else {
        return refusal{statement_error::unauthorised, "unknown key"};
    }
    const auto organisation = state_.configuration->organisations.find(session.organisation);
    const auto* limits =
        organisation == state_.configuration->organisations.end() ? nullptr : &organisation->second;
    routes_[session.id] = {state_.configuration, &row->second, pool->second.groups.begin()->first,
                           region_policy{row->second, limits}};
    return {};
}

void statement_executor::on(time_point now, const statement_received& what, proxy_output& out) {
    const auto found = sessions_.find(what.session);
    if (found == sessions_.end()) {
        return;
    }
    auto& session = found->second;
    session.last_activity = now;
    const auto size = size_of(what.statement);
    if (session.input.size() >= settings_.pipeline_limit ||
        session.input_bytes + size > settings_.pipeline_bytes) {
        out.sessions.emplace_back(reject_session{session.id, statement_error::too_large,
                                                 "too many pipelined statements"});
        close(now, session.id, out);
        return;
    }
    session.input.push_back(what.statement);
    session.input_bytes += size;
    if (!session.work) {
        start_next(now, session, out);
    }
}

void statement_executor::on(time_point now, const session_broken& what, proxy_output& out) {
    log(out.common, "session", log_level::warning,
        "broken session=" + std::to_string(what.session.value()) + " reason=\"" + what.reason +
            "\"");
    out.sessions.emplace_back(
        reject_session{what.session, statement_error::malformed, what.reason});
    close(now, what.session, out);
}

void statement_executor::on(time_point now, const session_closed& what, proxy_output& out) {
    close(now, what.session, out);
}

void statement_executor::close(time_point now, session_id id, proxy_output& out) {
    pending_sessions_.erase(id);
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) {
        return;
    }
    auto& session = found->second;
    if (session.work) {
        limits_.withdraw(id);
        dequeue(session);
        // A statement in flight runs to its end on the backend server, and its connection is reused
        // afterwards. The connection of a transaction is discarded.
        const bool in_transaction = session.transaction.state != transaction_state::idle;
        abandon_attempts(now, session, in_transaction, out);
    }
    end_transaction(now, session, out);
    state_bytes_ -= session.state_bytes;
    active_sessions_.erase(id);
    routes_.erase(id);
    sessions_.erase(found);
}

void statement_executor::start_next(time_point now, caller_session& session, proxy_output& out) {
    const auto id = session.id;
    while (true) {
        const auto found = sessions_.find(id);
        if (found == sessions_.end() || found->second.work || found->second.input.empty()) {
            return;
        }
        auto next = std::move(found->second.input.front());
        found->second.input.pop_front();
        found->second.input_bytes -= size_of(next);
        start(now, found->second, std::move(next), out);
    }
}

void statement_executor::start(time_point now, caller_session& session, statement next,
                               proxy_output& out) {
    const auto state = session.transaction.state;
    const bool ends = next.kind == statement_kind::commit || next.kind == statement_kind::rollback;
    const bool invalid_in_state =
        (ends && state == transaction_state::idle) ||
        (next.kind == statement_kind::begin && state != transaction_state::idle);
    if (next.kind == statement_kind::unknown || invalid_in_state ||
        (state == transaction_state::failed && !ends)) {
        auto reply = local_reply(state);
        reply.problem = statement_error::malformed;
        reply.detail = invalid_in_state ? "statement not allowed in the current transaction state"
                                        : "unknown statement, or the transaction has failed";
        out.sessions.emplace_back(answer_statement{session.id, std::move(reply)});
        return;
    }
    switch (next.kind) {
    case statement_kind::set:
    case statement_kind::prepare:
    case statement_kind::deallocate:
        start_local(now, session, next, out);
        return;
    case statement_kind::commit:
    case statement_kind::rollback:
        start_ending(now, session, std::move(next), out);
        return;
    default:
        break;
    }
    if (next.kind == statement_kind::execute && !session.prepared.contains(next.name)) {
        auto reply = local_reply(state);
        reply.problem = statement_error::no_statement;
        reply.detail = next.name;
        out.sessions.emplace_back(answer_statement{session.id, std::move(reply)});
        return;
    }
    if (state == transaction_state::idle) {
        start_operation(now, session, std::move(next), out);
    } else {
        start_in_transaction(now, session, std::move(next), out);
    }
}

void statement_executor::start_local(time_point /*now*/, caller_session& session,
                                     const statement& next, proxy_output& out) {
    if (!reserve_state(session, next)) {
        log(out.common, "session", log_level::warning,
            "no room for a value session=" + std::to_string(session.id.value()) + " held=" +
                std::to_string(session.state_bytes) + " all=" + std::to_string(state_bytes_));
        count(out.common, "session_values_refused_total");
        auto reply = local_reply(session.transaction.state);
        reply.problem = statement_error::busy;
        reply.detail = "no room for session values; use shorter ones";
        out.sessions.emplace_back(answer_statement{session.id, std::move(reply)});
        return;
    }
    if (next.kind == statement_kind::set) {
        session.values[next.name] = next.value;
    } else if (next.kind == statement_kind::prepare) {
        session.prepared[next.name] = {next.access, next.shape};
    } else {
        session.prepared.erase(next.name);
    }
    out.sessions.emplace_back(answer_statement{session.id, local_reply(session.transaction.state)});
}

/// Counts what the session keeps after @a next. Returns false if there is no room for it.
bool statement_executor::reserve_state(caller_session& session, const statement& next) {
    const bool sets = next.kind == statement_kind::set;
    std::size_t before = 0;
    if (sets && session.values.contains(next.name)) {
        before = next.name.size() + session.values.at(next.name).size();
    } else if (!sets && session.prepared.contains(next.name)) {
        before = next.name.size() + session.prepared.at(next.name).shape.size();
    }
    const bool removes = next.kind == statement_kind::deallocate;
    const auto added = removes ? 0 : next.name.size() + (sets ? next.value : next.shape).size();
    const auto of_session = session.state_bytes - before + added;
    const auto of_all = state_bytes_ - before + added;
    if (added > before && of_session > settings_.session_state_allowance &&
        of_all > settings_.state_bytes) {
        return false;
    }
    session.state_bytes = of_session;
    state_bytes_ = of_all;
    return true;
}

void statement_executor::start_ending(time_point now, caller_session& session, statement next,
                                      proxy_output& out) {
    const bool failed = session.transaction.state == transaction_state::failed;
    if (next.kind == statement_kind::commit && !failed) {
        start_in_transaction(now, session, std::move(next), out);
        return;
    }
    auto reply = local_reply(transaction_state::idle);
    if (next.kind == statement_kind::commit) {
        reply.problem = statement_error::aborted;
        reply.detail = "the transaction had failed and was rolled back";
    }
    end_transaction(now, session, out);
    out.sessions.emplace_back(answer_statement{session.id, std::move(reply)});
    end_after_operation(now, session.id, out);
}

void statement_executor::end_transaction(time_point now, caller_session& session,
                                         proxy_output& out) {
    auto ended = std::exchange(session.transaction, {});
    if (ended.lease != connection_id{}) {
        forwarder_.release(now, ended.lease, true, out);
    }
}

bool statement_executor::writes(const caller_session& session, const statement& next) const {
    if (next.kind == statement_kind::execute) {
        const auto found = session.prepared.find(next.name);
        return found != session.prepared.end() && found->second.access == access_mode::write;
    }
    return next.kind == statement_kind::write;
}

void statement_executor::start_operation(time_point now, caller_session& session, statement next,
                                         proxy_output& out) {
    statement_work work;
    work.received = now;
    work.first_of_operation = true;
    work.writes = writes(session, next);
    work.statement = std::move(next);
    work.deadline = now;
    session.work = std::move(work);
    active_sessions_.insert(session.id);
    if (const auto problem = select_route(session)) {
        refuse(now, session, problem->problem, problem->detail, out);
        return;
    }
    if (refuses_operations(now)) {
        refuse(now, session, statement_error::busy, stopping_detail, out);
        return;
    }
    const auto& row = *routes_.at(session.id).row;
    session.work->deadline = now + from_milliseconds(row.deadline_ms);
    session.work->needs_primary = session.work->writes ||
                                  row.consistency == consistency_mode::primary ||
                                  (session.work->statement.kind == statement_kind::begin &&
                                   !session.work->statement.read_only);
    if (refuse_if_unservable(now, session, out)) {
        return;
    }
    const admission_request request{request_id{session.id.value()}, session.organisation,
                                    row.priority, session.work->deadline,
                                    now + from_milliseconds(row.target_latency_ms)};
    const auto decision = limits_.admit(now, request, out.common);
    if (decision.state != admission_state::pending) {
        on_admission(now, decision, out);
    }
}

void statement_executor::on_admission(time_point now, const admission& decision,
                                      proxy_output& out) {
    const auto found = sessions_.find(session_id{decision.handle.value()});
    if (found == sessions_.end() || !found->second.work ||
        found->second.work->step != work_step::admission) {
        return;
    }
    auto& session = found->second;
    if (decision.state == admission_state::admitted) {
        on_admitted(now, session, out);
        return;
    }
    const auto after = decision.problem.retry_after.value_or(settings_.default_retry_after);
    refuse(now, session, statement_error::busy,
           "rate limit exceeded; retry_after_ms=" + std::to_string(to_milliseconds(after)), out);
}

void statement_executor::on_admitted(time_point now, caller_session& session, proxy_output& out) {
    auto& work = *session.work;
    if (work.statement.kind != statement_kind::begin) {
        work.step = work_step::placement;
        work.retryable = !work.writes;
        enqueue(session);
        return;
    }
    // BEGIN is sent to a backend server only with the transaction's first statement.
    session.transaction.state = transaction_state::open;
    session.transaction.read_only = work.statement.read_only;
    session.transaction.started = now;
    finish(now, session, local_reply(transaction_state::open), out);
}

void statement_executor::start_in_transaction(time_point now, caller_session& session,
                                              statement next, proxy_output& out) {
    const auto& row = *routes_.at(session.id).row;
    statement_work work;
    work.received = now;
    work.deadline = now + from_milliseconds(row.deadline_ms);
    work.writes = writes(session, next);
    work.first_of_operation = !session.transaction.opened;
    work.needs_primary =
        !session.transaction.read_only || row.consistency == consistency_mode::primary;
    work.retryable = work.first_of_operation;
    work.step = work_step::placement;
    work.statement = std::move(next);
    session.work = std::move(work);
    active_sessions_.insert(session.id);
    if (refuses_operations(now) && session.work->statement.kind != statement_kind::commit) {
        refuse(now, session, statement_error::aborted, stopping_detail, out);
        return;
    }
    enqueue(session);
}

void statement_executor::settle(time_point now, proxy_output& out) {
    open_pending_sessions(now, out);
    bool progress = true;
    while (progress) {
        const auto results = forwarder_.take_results();
        for (const auto& result : results) {
            handle_result(now, result, out);
        }
        log_health_changes(out);
        place_waiting(now, out);
        progress = !results.empty();
    }
}

void statement_executor::tick(time_point now, proxy_output& out) {
    if (now >= exit_time()) {
        end_all_sessions(now, out);
    }
    const auto working = active_sessions_;
    for (const auto id : working) {
        const auto found = sessions_.find(id);
        if (found != sessions_.end() && found->second.work) {
            if (!abort_if_evacuated(now, found->second, out)) {
                check_progress(now, found->second, out);
            }
        }
    }
    if (now >= next_idle_check_) {
        next_idle_check_ = now + idle_tick_interval;
        std::vector<session_id> all;
        for (const auto& [id, session] : sessions_) {
            if (!session.work) {
                all.push_back(id);
            }
        }
        for (const auto id : all) {
            check_idle(now, sessions_.at(id), out);
        }
    }
    next_tick_ = now + (active_sessions_.empty() ? idle_tick_interval : busy_tick_interval);
}

void statement_executor::check_idle(time_point now, caller_session& session, proxy_output& out) {
    if (!abort_if_evacuated(now, session, out) &&
        session.transaction.state == transaction_state::open) {
        const auto limit = from_milliseconds(routes_.at(session.id).row->transaction_idle_ms);
        const bool stop_due = refuses_operations(now);
        if (now - session.last_activity < limit && !stop_due) {
            return;
        }
        log_statement(session, "transaction_ended", stop_due ? "reason=stop" : "reason=idle",
                      log_level::info, out);
        end_transaction(now, session, out);
        session.transaction.state = transaction_state::failed;
    }
    if (may_end(now, session)) {
        out.sessions.emplace_back(end_session{session.id});
        close(now, session.id, out);
    }
}

void statement_executor::log_statement(const caller_session& session, const char* outcome,
                                       const std::string& details, log_level level,
                                       proxy_output& out) const {
    std::string text = std::string{outcome} + " session=" + std::to_string(session.id.value()) +
                       " route=" + session.database.str() +
                       " organisation=" + session.organisation.str();
    if (session.work) {
        text += " request=" + session.work->statement.id.str() +
                " kind=" + to_string(session.work->statement.kind) +
                " tries=" + std::to_string(session.work->tries);
    }
    const auto route = routes_.find(session.id);
    if (route != routes_.end() && route->second.configuration) {
        text += " revision=" + std::to_string(route->second.configuration->revision.value());
    }
    log(out.common, "statement", level, text + (details.empty() ? "" : " ") + details);
}

} // namespace jackdawvane
