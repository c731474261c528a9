#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief Statement executor: results of attempts, retries, timeouts and replies to the caller.

namespace jackdawvane {

namespace {

constexpr std::uint32_t failed_read_tries = 2;

std::string milliseconds(duration value) {
    return std::to_string(to_milliseconds(value));
}

} // namespace

void statement_executor::handle_result(time_point now, const attempt_result& result,
                                       proxy_output& out) {
    const auto attempt = attempts_.find(result.attempt);
    if (attempt == attempts_.end()) {
        // Its statement has ended; the session may be running another one by now.
        count(out.common, "late_attempt_results_total");
        return;
    }
    const auto found = sessions_.find(attempt->second);
    attempts_.erase(attempt);
    if (found == sessions_.end() || !found->second.work ||
        found->second.work->attempts.erase(result.attempt) == 0) {
        log(out.common, "statement", log_level::error,
            "result dropped, no statement has its attempt attempt=" +
                std::to_string(result.attempt.value()) + " backend=" + result.backend.str());
        forwarder_.discard(now, result.lease, out);
        return;
    }
    auto& session = found->second;
    if (result.answered) {
        handle_reply(now, session, result, out);
    } else {
        handle_connection_loss(now, session, result, out);
    }
}

void statement_executor::handle_reply(time_point now, caller_session& session,
                                      const attempt_result& result, proxy_output& out) {
    if (result.reply.problem == statement_error::none) {
        handle_success(now, session, result, out);
    } else {
        handle_error(now, session, result, out);
    }
}

void statement_executor::handle_success(time_point now, caller_session& session,
                                        const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    abandon_attempts(now, session, false, out); // A commit may wait for its confirmation.
    work.answered = now;
    const bool commits = work.statement.kind == statement_kind::commit
                             ? session.transaction.wrote
                             : work.writes && session.transaction.state == transaction_state::idle;
    if (!commits) {
        deliver(now, session, result, out);
        return;
    }
    if (work.statement.kind == statement_kind::commit) {
        work.primary_term = session.transaction.primary_term;
    }
    work.unconfirmed_result = result;
    work.step = work_step::confirmation;
    check_confirmation(now, session, out);
}

/// Reports a commit as successful only once no newer primary can have been active when its answer
/// arrived; otherwise its outcome is unknown.
void statement_executor::check_confirmation(time_point now, caller_session& session,
                                            proxy_output& out) {
    auto& work = *session.work;
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    if (leadership.term() == work.primary_term &&
        (leadership.confirmed(now) || leadership.confirmed_at() >= work.answered)) {
        const auto result = std::move(*work.unconfirmed_result);
        work.unconfirmed_result.reset();
        deliver(now, session, result, out);
        return;
    }
    if (leadership.term() == work.primary_term &&
        now < work.answered + settings_.confirmation_limit) {
        state_.groups_awaiting_evidence.insert(routes_.at(session.id).group);
        return;
    }
    give_up_confirmation(now, session, "the primary may have been replaced before the commit", out);
}

/// Ends a commit that was answered but not confirmed.
void statement_executor::give_up_confirmation(time_point now, caller_session& session,
                                              const char* why, proxy_output& out) {
    const auto connection = session.work->unconfirmed_result->lease;
    session.work->unconfirmed_result.reset();
    session.transaction = {};
    forwarder_.discard(now, connection, out);
    statement_reply reply;
    reply.problem = statement_error::unknown_outcome;
    reply.detail = why;
    finish(now, session, std::move(reply), out);
}

void statement_executor::deliver(time_point now, caller_session& session,
                                 const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    auto reply = result.reply;
    const auto& group = routes_.at(session.id).group;
    if (reply.position) {
        const auto primary_term = state_.leadership(group).term();
        auto& floor = session.floors[group];
        if (floor.primary_term < primary_term) {
            floor = {*reply.position, primary_term};
        } else {
            floor.point = std::max(floor.point, *reply.position);
        }
    }
    if (work.statement.kind == statement_kind::commit) {
        transaction = {};
        reply.state = transaction_state::idle;
        forwarder_.release(now, result.lease, false, out);
    } else if (transaction.state == transaction_state::open) {
        transaction.opened = true;
        transaction.wrote = transaction.wrote || work.writes;
        transaction.state = reply.state;
    } else {
        reply.state = transaction_state::idle;
        forwarder_.release(now, result.lease, false, out);
    }
    finish(now, session, std::move(reply), out);
}

void statement_executor::handle_error(time_point now, caller_session& session,
                                      const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    const bool not_run = promises_not_run(result.reply.problem) || !result.sent;
    const bool own_transaction = transaction.state == transaction_state::open;
    if (not_run && !transaction.opened) {
        if (own_transaction) {
            // The transaction on the server has failed or was never begun.
            transaction.lease = {};
            forwarder_.release(now, result.lease, result.sent, out);
        } else {
            forwarder_.release(now, result.lease, false, out);
        }
        retry(now, session, result, out);
        return;
    }
    if (not_run && transaction.opened && result.reply.state == transaction_state::open) {
        work.step = work_step::placement;
        work.retry_at = now + settings_.retry_delay;
        enqueue(session);
        return;
    }
    if (!work.attempts.empty()) {
        // Only a single read has two attempts; the other one may still succeed.
        forwarder_.release(now, result.lease, false, out);
        log_statement(session, "attempt_failed",
                      "backend=" + result.backend.str() +
                          " problem=" + to_string(result.reply.problem) +
                          " in_flight=" + std::to_string(work.attempts.size()) +
                          " ms=" + milliseconds(now - work.received),
                      log_level::info, out);
        return;
    }
    const bool single_read = !own_transaction && !work.writes;
    if (single_read && result.reply.problem == statement_error::failed &&
        work.tries < failed_read_tries) {
        forwarder_.release(now, result.lease, false, out);
        retry(now, session, result, out);
        return;
    }
    auto reply = result.reply;
    if (work.statement.kind == statement_kind::commit) {
        transaction = {};
        forwarder_.discard(now, result.lease, out);
        reply.state = transaction_state::idle;
        if (not_run) {
            reply.problem = statement_error::aborted;
        }
    } else if (own_transaction) {
        transaction.opened = true;
        transaction.state = transaction_state::failed;
        reply.state = transaction_state::failed;
    } else {
        forwarder_.release(now, result.lease, false, out);
        reply.state = transaction_state::idle;
    }
    finish(now, session, std::move(reply), out);
}

void statement_executor::handle_connection_loss(time_point now, caller_session& session,
                                                const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    if (!work.attempts.empty()) {
        return; // Another attempt is in flight.
    }
    if ((work.retryable || !result.sent) && !session.transaction.opened) {
        session.transaction.lease = {};
        retry(now, session, result, out);
        return;
    }
    session.transaction.lease = {};
    if (!result.sent) {
        work.tries = 0;
    }
    give_up(now, session, "the connection to the backend server was lost", out);
}

void statement_executor::retry(time_point now, caller_session& session,
                               const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    if (work.step == work_step::running && !work.attempts.empty()) {
        return;
    }
    log_statement(session, "retry",
                  "backend=" + result.backend.str() + " problem=" +
                      to_string(result.reply.problem) + " ms=" + milliseconds(now - work.received),
                  log_level::info, out);
    work.tried.insert(result.backend);
    const auto members = state_.directory.members(routes_.at(session.id).group);
    const bool all_tried = std::all_of(members.begin(), members.end(), [&](const auto& server) {
        return work.tried.contains(server) ||
               !may_read_at(now, session, *state_.directory.find(server));
    });
    work.retry_at = now;
    if (work.needs_primary || all_tried) {
        work.tried.clear();
        work.retry_at = now + settings_.retry_delay;
    }
    work.step = work_step::placement;
    enqueue(session);
}

void statement_executor::abandon_attempts(time_point now, caller_session& session, bool discard,
                                          proxy_output& out) {
    for (const auto& [attempt, connection] : std::exchange(session.work->attempts, {})) {
        attempts_.erase(attempt);
        if (discard) {
            forwarder_.discard(now, connection, out);
            if (session.transaction.lease == connection) {
                session.transaction.lease = {};
            }
        } else {
            forwarder_.release(now, connection, false, out);
        }
    }
}

/// Ends a statement that may have run; the error of the reply says whether it may have taken
/// effect.
void statement_executor::give_up(time_point now, caller_session& session, const char* why,
                                 proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    const bool sent = work.tries > 0; // Counts only attempts that may have reached a server.
    abandon_attempts(now, session, true, out);
    statement_reply reply;
    reply.detail = why;
    if (work.statement.kind == statement_kind::commit) {
        const bool may_be_committed = transaction.wrote && sent;
        reply.problem =
            may_be_committed ? statement_error::unknown_outcome : statement_error::aborted;
        end_transaction(now, session, out);
    } else if (transaction.state == transaction_state::open) {
        reply.problem = statement_error::aborted;
        end_transaction(now, session, out);
        transaction.state = transaction_state::failed;
    } else {
        reply.problem = work.writes ? statement_error::unknown_outcome : statement_error::timeout;
    }
    reply.state = transaction.state;
    finish(now, session, std::move(reply), out);
}

void statement_executor::refuse(time_point now, caller_session& session, statement_error problem,
                                std::string detail, proxy_output& out) {
    statement_reply reply;
    reply.problem = problem;
    reply.detail = std::move(detail);
    if (session.transaction.state != transaction_state::idle) {
        const bool ends = session.work->statement.kind == statement_kind::commit;
        end_transaction(now, session, out);
        session.transaction.state = ends ? transaction_state::idle : transaction_state::failed;
    }
    reply.state = session.transaction.state;
    finish(now, session, std::move(reply), out);
}

/// Answers the caller. Attempts that are still in flight are abandoned, so that none of their
/// results can reach the session's next statement.
void statement_executor::finish(time_point now, caller_session& session, statement_reply reply,
                                proxy_output& out) {
    dequeue(session);
    abandon_attempts(now, session, false, out);
    const auto elapsed = now - session.work->received;
    const bool succeeded = reply.problem == statement_error::none;
    log_statement(session, succeeded ? "done" : "not_done",
                  std::string{"problem="} + to_string(reply.problem) +
                      " ms=" + milliseconds(elapsed) + " backend=" + session.last_backend.str() +
                      (succeeded ? std::string{} : leadership_evidence(now, session)) +
                      (reply.detail.empty() || succeeded ? "" : " detail=\"" + reply.detail + "\""),
                  succeeded ? log_level::debug : log_level::info, out);
    count(out.common, "statements_total", "problem", to_string(reply.problem));
    out.common.emplace_back(measurement{metric_kind::histogram, "statement_duration", "", "",
                                        static_cast<double>(elapsed.count())});
    session.work.reset();
    active_sessions_.erase(session.id);
    session.last_activity = now;
    const auto id = session.id;
    out.sessions.emplace_back(answer_statement{id, std::move(reply)});
    start_next(now, session, out);
    end_after_operation(now, id, out);
}

/// Log fields: the known primary of the group, and the age of the evidence for it.
std::string statement_executor::leadership_evidence(time_point now,
                                                    const caller_session& session) const {
    const auto route = routes_.find(session.id);
    if (route == routes_.end()) {
        return {};
    }
    const auto& leadership = state_.leadership(route->second.group);
    return " group=" + route->second.group.str() +
           " term=" + std::to_string(leadership.term().value()) +
           " primary=" + (leadership.primary() ? leadership.primary()->str() : "-") +
           " proof_age_ms=" + age_text(now, leadership.confirmed_at()) +
           " primary_age_ms=" + age_text(now, leadership.primary_answered_at());
}

std::string statement_executor::unavailable_reason(time_point now,
                                                   const caller_session& session) const {
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    std::string reason = "no backend server is available";
    if (session.work->needs_primary && !leadership.confirmed(now)) {
        reason = "the primary is not confirmed";
    }
    return reason + "; retry_after_ms=" + milliseconds(settings_.default_retry_after);
}

void statement_executor::check_progress(time_point now, caller_session& session,
                                        proxy_output& out) {
    auto& work = *session.work;
    switch (work.step) {
    case work_step::admission:
        break;
    case work_step::placement:
        if (now >= work.deadline - settings_.refusal_margin) {
            if (session.transaction.opened) {
                give_up(now, session, "the primary is not confirmed", out);
            } else {
                refuse(now, session, statement_error::busy, unavailable_reason(now, session), out);
            }
        }
        break;
    case work_step::running:
        if (now >= work.deadline) {
            give_up(now, session, "no answer within the route's timeout", out);
        } else if (now >= work.hedge_at) {
            work.hedge_at = no_deadline;
            work.tried.insert(session.last_backend);
            const bool placed = place(now, session, out);
            work.step = work_step::running;
            log_statement(session, placed ? "hedged" : "not_hedged",
                          "backend=" + session.last_backend.str(), log_level::info, out);
        }
        break;
    case work_step::confirmation:
        check_confirmation(now, session, out);
        break;
    }
}

} // namespace jackdawvane
