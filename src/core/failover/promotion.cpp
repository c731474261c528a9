#include "jackdawvane/failover/promotion.hpp"

#include "jackdawvane/failover/group_view.hpp"

#include <utility>

#include <algorithm>
#include <tuple>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "failover";

auto log_order(const backend_status& status) noexcept {
    return std::tuple{status.last_entry_term, status.position};
}

} // namespace

promotion::promotion(promotion_proposal proposal, std::vector<promotion_member> members,
                     node_ids ids, promotion_limits limits)
    : proposal_{std::move(proposal)}, ids_{ids}, limits_{limits} {
    for (auto& member : members) {
        members_.push_back(
            {backend_call{std::move(member.backend), std::move(member.endpoint), ids_},
             false,
             {},
             false});
    }
}

void promotion::start(time_point now, actions& out) {
    accept_until_ = now + limits_.accept;
    for (auto& member : members_) {
        member.call.send(now, backend_request{}, limits_.accept, out);
    }
}

bool promotion::on_connected(time_point now, connection_id connection, actions& out) {
    for (auto& member : members_) {
        if (member.call.on_connected(connection, out)) {
            review(now, out);
            return true;
        }
    }
    return false;
}

bool promotion::on_disconnected(time_point now, connection_id connection, const std::string& reason,
                                actions& out) {
    for (auto& member : members_) {
        if (member.call.on_disconnected(connection, reason)) {
            member.accepted.reset();
            review(now, out);
            return true;
        }
    }
    return false;
}

bool promotion::on_answer(time_point now, connection_id connection, const backend_answer& answer,
                          actions& out) {
    for (auto& member : members_) {
        if (member.call.on_answer(connection, answer, out)) {
            highest_seen_ = std::max(highest_seen_, answer.status.accepted_term);
            take_answer(now, member, out);
            review(now, out);
            return true;
        }
    }
    return false;
}

void promotion::tick(time_point now, actions& out) {
    for (auto& member : members_) {
        member.call.tick(now, out);
    }
    review(now, out);
}

void promotion::stop(actions& out) {
    for (auto& member : members_) {
        member.call.close(out);
    }
    if (state_ == progress::running) {
        state_ = progress::failed;
    }
}

time_point promotion::next_deadline() const {
    if (state_ != progress::running) {
        return no_deadline;
    }
    auto next = asked_to_promote() ? no_deadline : accept_until_;
    for (const auto& member : members_) {
        next = std::min(next, member.call.next_deadline());
    }
    return next;
}

void promotion::take_answer(time_point now, attempt& member, actions& out) {
    if (asked_to_promote() || member.call.state() != backend_call::progress::answered) {
        return;
    }
    if (!member.asked) {
        take_survey(now, member, out);
        return;
    }
    const auto& answer = member.call.answer();
    const bool accepted = answer.problem.kind == error_kind::none &&
                          answer.status.accepted_term == proposal_.proposed;
    member.refused = !accepted;
    if (accepted) {
        member.accepted = answer.status;
    }
}

void promotion::take_survey(time_point now, attempt& member, actions& out) {
    const auto& status = member.call.answer().status;
    if (acts_as_primary(status) && status.accepted_term > found_term_) {
        found_primary_ = member.call.backend();
        found_term_ = status.accepted_term;
    }
    if (accepting_) {
        ask_to_accept(now, member, out);
    }
}

void promotion::ask_to_accept(time_point now, attempt& member, actions& out) {
    backend_request request;
    request.operation = backend_operation::accept_term;
    request.expected_term = proposal_.proposed;
    request.candidate = proposal_.candidate;
    member.asked = true;
    member.call.send(now, std::move(request), accept_until_ - now, out);
}

void promotion::review(time_point now, actions& out) {
    if (state_ != progress::running) {
        return;
    }
    if (!accepting_) {
        review_survey(now, out);
        return;
    }
    if (!asked_to_promote()) {
        review_acceptances(now, out);
        return;
    }
    for (const auto& member : members_) {
        if (member.call.backend() == chosen_) {
            review_promotion(member.call, out);
            return;
        }
    }
}

void promotion::review_survey(time_point now, actions& out) {
    const auto in_state = [&](backend_call::progress state) {
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(),
                          [state](const auto& member) { return member.call.state() == state; }));
    };
    const auto answered = in_state(backend_call::progress::answered);
    if (answered + in_state(backend_call::progress::running) < majority()) {
        finish(progress::failed,
               std::to_string(answered) + " of " + std::to_string(members_.size()) + " answered",
               out);
        return;
    }
    if (answered < majority()) {
        return; // Each call has its own limit, so this ends.
    }
    // The proposed term is above those that the owner knows, so an older primary does not count.
    if (found_term_ != term{} && found_term_.next() >= proposal_.proposed &&
        found_term_ == highest_seen_) {
        finish(progress::superseded, found_primary_.str() + " is the primary", out);
        return;
    }
    found_primary_ = {};
    accepting_ = true;
    proposal_.proposed = std::max(proposal_.proposed, highest_seen_.next());
    for (auto& member : members_) {
        if (member.call.state() == backend_call::progress::answered) {
            ask_to_accept(now, member, out);
        }
    }
}

void promotion::review_acceptances(time_point now, actions& out) {
    std::size_t accepted{0};
    std::size_t waiting{0};
    bool refused{false};
    for (const auto& member : members_) {
        accepted += member.accepted ? 1 : 0;
        waiting += member.call.state() == backend_call::progress::running ? 1 : 0;
        refused = refused || member.refused;
    }
    if (highest_seen_ > proposal_.proposed) {
        finish(progress::superseded,
               "term " + std::to_string(highest_seen_.value()) + " exists already", out);
        return;
    }
    if (accepted + waiting < majority()) {
        finish(refused ? progress::superseded : progress::failed,
               "accepted by " + std::to_string(accepted) + " of " + std::to_string(members_.size()),
               out);
        return;
    }
    if (accepted < majority()) {
        return; // Each call has its own limit, so this ends.
    }
    accept_until_ = std::min(accept_until_, now + limits_.grace);
    if (waiting == 0 || now >= accept_until_) {
        promote_best(now, out);
    }
}

void promotion::review_promotion(const backend_call& call, actions& out) {
    if (call.state() == backend_call::progress::failed) {
        finish(progress::failed, chosen_.str() + ": " + call.reason(), out);
    }
    if (call.state() != backend_call::progress::answered) {
        return;
    }
    if (call.answer().problem.kind == error_kind::none) {
        finish(progress::won, chosen_.str() + " is the primary", out);
        return;
    }
    finish(progress::superseded, chosen_.str() + ": " + call.answer().problem.detail, out);
}

void promotion::promote_best(time_point now, actions& out) {
    attempt* best = nullptr;
    for (auto& member : members_) {
        const bool better = member.accepted && (best == nullptr || log_order(*member.accepted) >
                                                                       log_order(*best->accepted));
        best = better ? &member : best;
    }
    chosen_ = best->call.backend();
    backend_request request;
    request.operation = backend_operation::promote;
    request.expected_term = proposal_.proposed;
    request.candidate = proposal_.candidate;
    best->call.send(now, std::move(request), limits_.promote, out);
}

void promotion::finish(progress end, const std::string& reason, actions& out) {
    state_ = end;
    const bool won = end == progress::won;
    log(out, log_part, won ? log_level::info : log_level::warning,
        "group " + proposal_.group.str() + " term " + std::to_string(proposal_.proposed.value()) +
            (won ? " promoted: " : " not promoted: ") + reason);
    stop(out);
}

} // namespace jackdawvane
