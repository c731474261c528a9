#include "jackdawvane/failover/promotion.hpp"

#include "jackdawvane/failover/group_view.hpp"

#include <utility>

#include <algorithm>
#include <tuple>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "failover";

auto log_order(const backend_status& status) noexcept {
    return std::tuple{status.last_entry_term, status.position};
}

} // namespace

promotion::promotion(promotion_proposal proposal, std::vector<promotion_server> servers,
                     node_id_sequences ids, promotion_limits limits)
    : proposal_{std::move(proposal)}, ids_{ids}, limits_{limits} {
    for (auto& server : servers) {
        servers_.push_back(
            {backend_call{std::move(server.backend), std::move(server.endpoint), ids_},
             false,
             {},
             false});
    }
}

void promotion::start(time_point now, actions& out) {
    accept_deadline_ = now + limits_.accept;
    for (auto& server : servers_) {
        server.call.send(now, backend_request{}, limits_.accept, out);
    }
}

bool promotion::on_connected(time_point now, connection_id connection, actions& out) {
    for (auto& server : servers_) {
        if (server.call.on_connected(connection, out)) {
            evaluate(now, out);
            return true;
        }
    }
    return false;
}

bool promotion::on_disconnected(time_point now, connection_id connection, const std::string& reason,
                                actions& out) {
    for (auto& server : servers_) {
        if (server.call.on_disconnected(connection, reason)) {
            server.accepted.reset();
            evaluate(now, out);
            return true;
        }
    }
    return false;
}

bool promotion::on_answer(time_point now, connection_id connection, const backend_answer& answer,
                          actions& out) {
    for (auto& server : servers_) {
        if (server.call.on_answer(connection, answer, out)) {
            highest_seen_ = std::max(highest_seen_, answer.status.accepted_term);
            handle_answer(now, server, out);
            evaluate(now, out);
            return true;
        }
    }
    return false;
}

void promotion::tick(time_point now, actions& out) {
    for (auto& server : servers_) {
        server.call.tick(now, out);
    }
    evaluate(now, out);
}

void promotion::stop(actions& out) {
    for (auto& server : servers_) {
        server.call.close(out);
    }
    if (state_ == progress::running) {
        state_ = progress::failed;
    }
}

time_point promotion::next_deadline() const {
    if (state_ != progress::running) {
        return no_deadline;
    }
    auto next = asked_to_promote() ? no_deadline : accept_deadline_;
    for (const auto& server : servers_) {
        next = std::min(next, server.call.next_deadline());
    }
    return next;
}

void promotion::handle_answer(time_point now, participant& server, actions& out) {
    if (asked_to_promote() || server.call.state() != backend_call::progress::answered) {
        return;
    }
    if (!server.accept_requested) {
        handle_status_answer(now, server, out);
        return;
    }
    const auto& answer = server.call.answer();
    const bool accepted = answer.problem.kind == error_kind::none &&
                          answer.status.accepted_term == proposal_.proposed;
    server.refused = !accepted;
    if (accepted) {
        server.accepted = answer.status;
    }
}

void promotion::handle_status_answer(time_point now, participant& server, actions& out) {
    const auto& status = server.call.answer().status;
    if (acts_as_primary(status) && status.accepted_term > found_term_) {
        found_primary_ = server.call.backend();
        found_term_ = status.accepted_term;
    }
    if (accepting_) {
        ask_to_accept(now, server, out);
    }
}

void promotion::ask_to_accept(time_point now, participant& server, actions& out) {
    backend_request request;
    request.operation = backend_operation::accept_term;
    request.expected_term = proposal_.proposed;
    request.candidate = proposal_.candidate;
    server.accept_requested = true;
    server.call.send(now, std::move(request), accept_deadline_ - now, out);
}

void promotion::evaluate(time_point now, actions& out) {
    if (state_ != progress::running) {
        return;
    }
    if (!accepting_) {
        evaluate_status_answers(now, out);
        return;
    }
    if (!asked_to_promote()) {
        evaluate_acceptances(now, out);
        return;
    }
    for (const auto& server : servers_) {
        if (server.call.backend() == chosen_) {
            evaluate_promotion(server.call, out);
            return;
        }
    }
}

void promotion::evaluate_status_answers(time_point now, actions& out) {
    const auto in_state = [&](backend_call::progress state) {
        return static_cast<std::size_t>(
            std::count_if(servers_.begin(), servers_.end(),
                          [state](const auto& server) { return server.call.state() == state; }));
    };
    const auto answered = in_state(backend_call::progress::answered);
    if (answered + in_state(backend_call::progress::running) < majority()) {
        finish(progress::failed,
               std::to_string(answered) + " of " + std::to_string(servers_.size()) + " answered",
               out);
        return;
    }
    if (answered < majority()) {
        return; // Each call has a time limit, so the wait is bounded.
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
    for (auto& server : servers_) {
        if (server.call.state() == backend_call::progress::answered) {
            ask_to_accept(now, server, out);
        }
    }
}

void promotion::evaluate_acceptances(time_point now, actions& out) {
    std::size_t accepted{0};
    std::size_t waiting{0};
    bool refused{false};
    for (const auto& server : servers_) {
        accepted += server.accepted ? 1 : 0;
        waiting += server.call.state() == backend_call::progress::running ? 1 : 0;
        refused = refused || server.refused;
    }
    if (highest_seen_ > proposal_.proposed) {
        finish(progress::superseded,
               "term " + std::to_string(highest_seen_.value()) + " has already been accepted", out);
        return;
    }
    if (accepted + waiting < majority()) {
        finish(refused ? progress::superseded : progress::failed,
               "term accepted by " + std::to_string(accepted) + " of " +
                   std::to_string(servers_.size()),
               out);
        return;
    }
    if (accepted < majority()) {
        return; // Each call has a time limit, so the wait is bounded.
    }
    accept_deadline_ = std::min(accept_deadline_, now + limits_.grace);
    if (waiting == 0 || now >= accept_deadline_) {
        promote_best(now, out);
    }
}

void promotion::evaluate_promotion(const backend_call& call, actions& out) {
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
    participant* best = nullptr;
    for (auto& server : servers_) {
        const bool better = server.accepted && (best == nullptr || log_order(*server.accepted) >
                                                                       log_order(*best->accepted));
        best = better ? &server : best;
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
    log(out, log_component, won ? log_level::info : log_level::warning,
        "group " + proposal_.group.str() + " term " + std::to_string(proposal_.proposed.value()) +
            (won ? " promoted: " : " not promoted: ") + reason);
    stop(out);
}

} // namespace jackdawvane
