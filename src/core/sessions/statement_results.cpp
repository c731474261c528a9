#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <algorithm>

/// @file
/// @brief What becomes of a statement after it was sent.

namespace jackdawvane {

namespace {

constexpr std::uint32_t failed_read_tries = 2;

std::string milliseconds(duration value) {
    return std::to_string(to_milliseconds(value));
}

} // namespace

void statement_executor::take_result(time_point now, const attempt_result& result,
                                     proxy_output& out) {
    const auto named = attempts_.find(result.attempt);
    if (named == attempts_.end()) {
        return;
    }
    const auto found = sessions_.find(named->second);
    attempts_.erase(named);
    if (found == sessions_.end() || !found->second.work) {
        return;
    }
    auto& session = found->second;
    session.work->attempts.erase(result.attempt);
    if (result.answered) {
        take_answer(now, session, result, out);
    } else {
        take_loss(now, session, result, out);
    }
}

void statement_executor::take_answer(time_point now, caller_session& session,
                                     const attempt_result& result, proxy_output& out) {
    if (result.reply.problem == statement_error::none) {
        take_success(now, session, result, out);
    } else {
        take_problem(now, session, result, out);
    }
}

void statement_executor::take_success(time_point now, caller_session& session,
                                      const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    abandon_attempts(now, session, false, out);
    work.answered = now;
    const bool commits = work.statement.kind == statement_kind::commit
                             ? session.transaction.wrote
                             : work.writes && session.transaction.state == transaction_state::idle;
    if (!commits) {
        deliver(now, session, result, out);
        return;
    }
    if (work.statement.kind == statement_kind::commit) {
        work.leader = session.transaction.leader;
    }
    work.held = result;
    work.step = work_step::confirmation;
    check_confirmation(now, session, out);
}

/// A commit counts only if no newer primary can have acted when the answer came.
void statement_executor::check_confirmation(time_point now, caller_session& session,
                                            proxy_output& out) {
    auto& work = *session.work;
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    if (leadership.term() == work.leader &&
        (leadership.confirmed(now) || leadership.confirmed_at() >= work.answered)) {
        const auto result = std::move(*work.held);
        work.held.reset();
        deliver(now, session, result, out);
        return;
    }
    if (leadership.term() == work.leader && now < work.answered + settings_.confirmation_limit) {
        state_.awaited.insert(routes_.at(session.id).group);
        return;
    }
    const auto connection = work.held->lease;
    work.held.reset();
    session.transaction = {};
    gateway_.discard(now, connection, out);
    statement_reply reply;
    reply.problem = statement_error::unknown_outcome;
    reply.detail = "the primary may have been replaced before the commit";
    finish(now, session, std::move(reply), out);
}

void statement_executor::deliver(time_point now, caller_session& session,
                                 const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    auto reply = result.reply;
    const auto& group = routes_.at(session.id).group;
    if (reply.position) {
        const auto leader = state_.leadership(group).term();
        auto& floor = session.floors[group];
        if (floor.leader < leader) {
            floor = {*reply.position, leader};
        } else {
            floor.point = std::max(floor.point, *reply.position);
        }
    }
    if (work.statement.kind == statement_kind::commit) {
        transaction = {};
        reply.state = transaction_state::idle;
        gateway_.release(now, result.lease, false, out);
    } else if (transaction.state == transaction_state::open) {
        transaction.opened = true;
        transaction.wrote = transaction.wrote || work.writes;
        transaction.state = reply.state;
    } else {
        reply.state = transaction_state::idle;
        gateway_.release(now, result.lease, false, out);
    }
    finish(now, session, std::move(reply), out);
}

void statement_executor::take_problem(time_point now, caller_session& session,
                                      const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    const bool not_run = promises_not_run(result.reply.problem) || !result.sent;
    const bool own_transaction = transaction.state == transaction_state::open;
    if (not_run && !transaction.opened) {
        if (own_transaction) {
            // The transaction at the server has failed or was never opened.
            transaction.lease = {};
            gateway_.release(now, result.lease, result.sent, out);
        } else {
            gateway_.release(now, result.lease, false, out);
        }
        retry(now, session, result, out);
        return;
    }
    if (not_run && transaction.opened && result.reply.state == transaction_state::open) {
        work.step = work_step::placement;
        work.retry_at = now + settings_.retry_pause;
        enqueue(session);
        return;
    }
    const bool single_read = !own_transaction && !work.writes;
    if (single_read && result.reply.problem == statement_error::failed &&
        work.tries < failed_read_tries) {
        gateway_.release(now, result.lease, false, out);
        retry(now, session, result, out);
        return;
    }
    auto reply = result.reply;
    if (work.statement.kind == statement_kind::commit) {
        transaction = {};
        gateway_.discard(now, result.lease, out);
        reply.state = transaction_state::idle;
        if (not_run) {
            reply.problem = statement_error::aborted;
        }
    } else if (own_transaction) {
        transaction.opened = true;
        transaction.state = transaction_state::failed;
        reply.state = transaction_state::failed;
    } else {
        gateway_.release(now, result.lease, false, out);
        reply.state = transaction_state::idle;
    }
    finish(now, session, std::move(reply), out);
}

void statement_executor::take_loss(time_point now, caller_session& session,
                                   const attempt_result& result, proxy_output& out) {
    auto& work = *session.work;
    if (!work.attempts.empty()) {
        return; // Another attempt is under way.
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
    note(session, "retry",
         "backend=" + result.backend.str() + " problem=" + to_string(result.reply.problem) +
             " ms=" + milliseconds(now - work.received),
         log_level::info, out);
    work.tried.insert(result.backend);
    const auto members = state_.directory.members(routes_.at(session.id).group);
    const bool all_tried = std::all_of(members.begin(), members.end(), [&](const auto& member) {
        return work.tried.contains(member);
    });
    work.retry_at = now;
    if (work.needs_primary || all_tried) {
        work.tried.clear();
        work.retry_at = now + settings_.retry_pause;
    }
    work.step = work_step::placement;
    enqueue(session);
}

void statement_executor::abandon_attempts(time_point now, caller_session& session, bool discard,
                                          proxy_output& out) {
    for (const auto& [attempt, connection] : std::exchange(session.work->attempts, {})) {
        attempts_.erase(attempt);
        if (discard) {
            gateway_.discard(now, connection, out);
            if (session.transaction.lease == connection) {
                session.transaction.lease = {};
            }
        } else {
            gateway_.release(now, connection, false, out);
        }
    }
}

/// Ends a statement that may have run: the answer says what is kept.
void statement_executor::give_up(time_point now, caller_session& session, const char* why,
                                 proxy_output& out) {
    auto& work = *session.work;
    auto& transaction = session.transaction;
    const bool sent = work.tries > 0; // Counts only tries that may have reached a server.
    abandon_attempts(now, session, true, out);
    statement_reply reply;
    reply.detail = why;
    if (work.statement.kind == statement_kind::commit) {
        const bool may_be_kept = transaction.wrote && sent;
        reply.problem = may_be_kept ? statement_error::unknown_outcome : statement_error::aborted;
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

void statement_executor::finish(time_point now, caller_session& session, statement_reply reply,
                                proxy_output& out) {
    dequeue(session);
    const auto taken = now - session.work->received;
    const bool good = reply.problem == statement_error::none;
    note(session, good ? "done" : "not_done",
         std::string{"problem="} + to_string(reply.problem) + " ms=" + milliseconds(taken) +
             " backend=" + session.last_backend.str() +
             (good ? std::string{} : evidence(now, session)) +
             (reply.detail.empty() || good ? "" : " detail=\"" + reply.detail + "\""),
         good ? log_level::debug : log_level::info, out);
    count(out.common, "statements_total", "problem", to_string(reply.problem));
    out.common.emplace_back(measurement{metric_kind::histogram, "statement_duration", "", "",
                                        static_cast<double>(taken.count())});
    session.work.reset();
    working_.erase(session.id);
    session.last_activity = now;
    out.sessions.emplace_back(answer_statement{session.id, std::move(reply)});
    start_next(now, session, out);
}

/// What was known of the group's primary, with its age.
std::string statement_executor::evidence(time_point now, const caller_session& session) const {
    const auto route = routes_.find(session.id);
    if (route == routes_.end()) {
        return {};
    }
    const auto& leadership = state_.leadership(route->second.group);
    return " group=" + route->second.group.str() +
           " term=" + std::to_string(leadership.term().value()) +
           " primary=" + (leadership.primary() ? leadership.primary()->str() : "-") +
           " proof_age_ms=" + age_text(now, leadership.confirmed_at()) +
           " primary_age_ms=" + age_text(now, leadership.primary_seen());
}

std::string statement_executor::unavailable(time_point now, const caller_session& session) const {
    const auto& leadership = state_.leadership(routes_.at(session.id).group);
    std::string reason = "no backend server has room";
    if (session.work->needs_primary && !leadership.confirmed(now)) {
        reason = "the primary is not confirmed";
    }
    return reason + "; retry_after_ms=" + milliseconds(settings_.default_retry_after);
}

void statement_executor::check_work(time_point now, caller_session& session, proxy_output& out) {
    auto& work = *session.work;
    switch (work.step) {
    case work_step::admission:
        break;
    case work_step::placement:
        if (now >= work.deadline - settings_.refusal_margin) {
            if (session.transaction.opened) {
                give_up(now, session, "the primary is not confirmed", out);
            } else {
                refuse(now, session, statement_error::busy, unavailable(now, session), out);
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
            note(session, placed ? "hedged" : "not_hedged", "backend=" + session.last_backend.str(),
                 log_level::info, out);
        }
        break;
    case work_step::confirmation:
        check_confirmation(now, session, out);
        break;
    }
}

} // namespace jackdawvane
