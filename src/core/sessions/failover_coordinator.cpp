#include "jackdawvane/sessions/failover_coordinator.hpp"

#include <utility>

#include <algorithm>
#include <tuple>

#include "promotion_log.hpp"

namespace jackdawvane {

failover_coordinator::failover_coordinator(fleet_state& state, group_observer& observer,
                                           coordinator_lease& lease,
                                           failover_coordinator_settings settings)
    : state_{state}, observer_{observer}, lease_{lease}, settings_{settings} {}

bool failover_coordinator::send(time_point now, const backend_server_id& backend, command_kind kind,
                                term command_term, proxy_output& out) {
    backend_command command;
    command.kind = kind;
    command.term = command_term;
    return observer_.command(now, backend, std::move(command), out);
}

bool failover_coordinator::may_act(time_point now) const noexcept {
    return lease_.held(now) && lease_.fence() == fence_;
}

void failover_coordinator::tick(time_point now, proxy_output& out) {
    earlier_primaries_.on_directory(now, state_.directory);
    if (!may_act(now)) {
        if (!attempts_.empty()) {
            log(out.common, promotion_log::component, log_level::warning,
                "stopped: the coordinator lease has ended fence=" + std::to_string(fence_));
        }
        attempts_.clear();
        no_primary_since_.clear();
        awaited_.clear();
        holder_since_ = now;
        fence_ = lease_.fence();
    }
    if (!may_act(now)) {
        return;
    }
    for (const auto& group : state_.directory.groups()) {
        bool planned = false;
        if (attempts_.contains(group) || now < next_attempt_at_[group]) {
            continue;
        }
        if (auto reason = replacement_reason(now, group, planned)) {
            start(now, group, std::move(*reason), planned, out);
        }
    }
    for (auto& [group, current] : attempts_) {
        advance(now, group, current, out);
    }
    for (const auto& group : std::exchange(finished_groups_, {})) {
        attempts_.erase(group);
    }
    reconcile_servers(now, out);
}

/// How long the primary has not answered while other servers answered this VM. Time before this VM
/// held the lease does not count, because it did not query all servers then. The newest answer of
/// any server is the reference: when this VM is short of processor time or cut off, all answers are
/// late, which is no evidence against the primary.
duration failover_coordinator::primary_silent_for(const group_leadership& leadership) const {
    return observer_.heard() - std::max(leadership.primary_answered_at(), holder_since_);
}

std::optional<std::string>
failover_coordinator::replacement_reason(time_point now, const group_id& group, bool& planned) {
    const auto& leadership = state_.leadership(group);
    const auto& primary = leadership.primary();
    const auto members = state_.directory.members(group);
    if (members.empty() || (members.size() == 1 && primary && members.contains(*primary))) {
        return {};
    }
    if (!primary || leadership.stepped_down() || leadership.closed()) {
        const auto since = no_primary_since_.try_emplace(group, now).first->second;
        if (now - since >= settings_.no_primary_timeout) {
            return "no primary known";
        }
        return {};
    }
    no_primary_since_.erase(group);
    const auto* entry = state_.directory.find(*primary);
    const auto silent_for = primary_silent_for(leadership);
    if (entry == nullptr) {
        return silent_for > settings_.primary_timeout ||
                       leadership.primary_answered_at() == time_point::min()
                   ? std::optional<std::string>{"primary is not registered"}
                   : std::nullopt;
    }
    if (entry->absent_since != no_deadline &&
        now - entry->absent_since > settings_.registration_timeout) {
        return "primary is no longer registered";
    }
    const auto* move = reason_to_move(*entry);
    if (move != nullptr && silent_for < settings_.primary_timeout) {
        planned = has_successor(group, *primary);
        return planned ? std::optional<std::string>{move} : std::nullopt;
    }
    if (observer_.refused_at(*primary) > leadership.primary_answered_at()) {
        return "primary is down";
    }
    if (leadership.primary_answered_at() != time_point::min() &&
        silent_for > settings_.primary_timeout) {
        return "primary does not answer";
    }
    return {};
}

void failover_coordinator::start(time_point now, const group_id& group, std::string reason,
                                 bool planned, proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    attempt current;
    current.reason = std::move(reason);
    current.planned = planned;
    current.old_primary = leadership.primary();
    current.old_term = leadership.term();
    current.target_term = leadership.highest_term().next();
    current.started = now;
    log(out.common, promotion_log::component, log_level::warning,
        promotion_log::in_group(
            group, "start reason=\"" + current.reason +
                       "\" old=" + (current.old_primary ? current.old_primary->str() : "-") +
                       " term=" + std::to_string(current.target_term.value())));
    if (planned) {
        current.step = phase::step_down;
        current.step_until = now + settings_.step_down_timeout;
        send(now, *current.old_primary, command_kind::step_down, current.target_term, out);
    } else {
        current.step_until = now + settings_.confirmation_timeout;
        observer_.query_other_domains(now, {group}, out);
    }
    attempts_[group] = std::move(current);
}

void failover_coordinator::advance(time_point now, const group_id& group, attempt& current,
                                   proxy_output& out) {
    const bool holds = current.step == phase::hold || current.step == phase::fence;
    if (holds && state_.leadership(group).term() >= current.target_term) {
        // An earlier call has taken effect; the server that leads can't be held.
        end(now, group, "not needed: a server leads the term", out);
        return;
    }
    switch (current.step) {
    case phase::confirm:
        advance_confirm(now, group, current, out);
        break;
    case phase::step_down:
        advance_step_down(now, group, current, out);
        break;
    case phase::catch_up:
        advance_catch_up(now, group, current, out);
        break;
    case phase::hold:
        advance_hold(now, group, current, out);
        break;
    case phase::fence:
        advance_fence(now, group, current, out);
        break;
    case phase::promote:
        if (now >= current.step_until) {
            current.step = phase::fence;
            advance(now, group, current, out);
        }
        break;
    case phase::await_takeover:
        advance_await_takeover(now, group, current, out);
        break;
    }
}

void failover_coordinator::advance_confirm(time_point now, const group_id& group, attempt& current,
                                           proxy_output& out) {
    const bool others_agree = current.old_primary && observer_.refused_by_others_at(
                                                         *current.old_primary) > current.started;
    if (now < current.step_until && !others_agree) {
        if (now >= current.next_status) {
            current.next_status = now + settings_.confirmation_timeout / 4;
            observer_.query_other_domains(now, {group}, out);
        }
        return;
    }
    bool planned = false;
    if (!replacement_reason(now, group, planned)) {
        end(now, group, "not needed: another VM reaches the primary", out);
        return;
    }
    begin_hold(now, group, current, out);
}

void failover_coordinator::advance_step_down(time_point now, const group_id& group,
                                             attempt& current, proxy_output& out) {
    if (current.old_primary_log_end) {
        current.step = phase::catch_up;
        current.step_until = now + settings_.catch_up_timeout;
    } else if (now >= current.step_until) {
        // The primary did not answer; treat it as failed.
        current.planned = false;
        current.step = phase::confirm;
        current.step_until = now + settings_.confirmation_timeout;
        observer_.query_other_domains(now, {group}, out);
    }
}

void failover_coordinator::advance_catch_up(time_point now, const group_id& group, attempt& current,
                                            proxy_output& out) {
    const auto caught_up = [&](const backend_server_id& server) {
        const auto found = last_status_.find(server);
        return found != last_status_.end() && server != *current.old_primary &&
               !is_passed_over(group, server) &&
               found->second.received >= *current.old_primary_log_end;
    };
    const auto members = state_.directory.members(group);
    if (now >= current.step_until || std::any_of(members.begin(), members.end(), caught_up)) {
        begin_hold(now, group, current, out);
        return;
    }
    if (now >= current.next_status) {
        current.next_status = now + settings_.status_interval;
        for (const auto& server : members) {
            send(now, server, command_kind::status, {}, out);
        }
    }
}

void failover_coordinator::on_control(time_point now, const control_answer& answer,
                                      proxy_output& out) {
    if (answer.status) {
        last_status_[answer.backend] = *answer.status;
        earlier_primaries_.on_status(now, answer.backend, *answer.status);
    }
    if (!answer.status || !may_act(now)) {
        return;
    }
    for (auto& [group, current] : attempts_) {
        const bool from_old = current.old_primary == answer.backend;
        if (from_old && answer.status->role == backend_role::replica) {
            current.old_primary_inactive = true;
            if (answer.command == command_kind::step_down) {
                current.old_primary_log_end = answer.status->received;
            }
        }
        const auto replica = current.replicas.find(answer.backend);
        const bool holding = current.step == phase::hold || current.step == phase::fence;
        if (replica != current.replicas.end() && answer.status->role == backend_role::replica &&
            answer.status->held_term >= current.target_term) {
            replica->second = answer.status->received;
        } else if (replica != current.replicas.end() && holding) {
            replica->second.reset(); // It has restarted, or has not received the hold yet.
        }
        advance(now, group, current, out);
    }
    for (const auto& group : std::exchange(finished_groups_, {})) {
        attempts_.erase(group);
    }
}

std::optional<backend_server_id>
failover_coordinator::best_candidate(const attempt& current) const {
    std::optional<backend_server_id> best;
    std::tuple<log_point, bool, bool> best_rank;
    for (const auto& [server, point] : current.replicas) {
        if (!point || current.not_running_servers.contains(server)) {
            continue;
        }
        const auto* entry = state_.directory.find(server);
        const bool stays = entry != nullptr && !entry->registration.leaving;
        const std::tuple rank{*point, !is_evacuated(server), stays};
        if (!best || rank > best_rank) {
            best = server;
            best_rank = rank;
        }
    }
    return best;
}

void failover_coordinator::advance_fence(time_point now, const group_id& group, attempt& current,
                                         proxy_output& out) {
    update_replicas(now, group, current, out);
    if (!all_held(current)) {
        begin_hold(now, group, current, out);
        return;
    }
    if (current.old_primary_inactive || now >= current.held_at + settings_.proof_validity) {
        call_promote(now, group, current, out);
    }
}

void failover_coordinator::call_promote(time_point now, const group_id& group, attempt& current,
                                        proxy_output& out) {
    const auto candidate = best_candidate(current);
    if (!candidate || now - current.held_at > 2 * settings_.takeover_timeout) {
        end(now, group, "failed: no replica could be promoted in time", out);
        return;
    }
    current.candidate = *candidate;
    current.step = phase::promote;
    current.step_until = now + settings_.call_timeout;
    last_call_at_[group] = now;
    earlier_primaries_.on_promotion(*candidate);
    out.sessions.emplace_back(promote_server{group, *candidate, state_.self.vm, lease_.fence()});
    log(out.common, promotion_log::component, log_level::info,
        promotion_log::in_group(
            group, "promote backend=" + candidate->str() +
                       " fence=" + std::to_string(lease_.fence()) +
                       " log=" + std::to_string(current.replicas[*candidate]->term.value()) + "." +
                       std::to_string(current.replicas[*candidate]->position.value()) +
                       " ms=" + std::to_string(to_milliseconds(now - current.started))));
}

void failover_coordinator::on_promotion(time_point now, const promotion_answered& answer,
                                        proxy_output& out) {
    const auto found = attempts_.find(answer.group);
    if (found == attempts_.end() || found->second.step != phase::promote ||
        found->second.candidate != answer.backend) {
        return;
    }
    auto& current = found->second;
    log(out.common, promotion_log::component, log_level::info,
        promotion_log::in_group(answer.group,
                                std::string{"answer accepted="} + (answer.accepted ? "1" : "0") +
                                    " not_running=" + (answer.not_running ? "1" : "0")));
    if (answer.accepted) {
        current.step = phase::await_takeover;
        current.step_until = now + settings_.takeover_timeout;
        current.next_status = now;
        return;
    }
    if (answer.not_running) {
        current.not_running_servers.insert(answer.backend);
    }
    current.step_until = now + settings_.retry_delay;
}

void failover_coordinator::advance_await_takeover(time_point now, const group_id& group,
                                                  attempt& current, proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    if (leadership.primary() == current.candidate && leadership.term() > current.old_term) {
        const auto log_end = last_status_[current.candidate].received;
        log(out.common, promotion_log::component, log_level::info,
            promotion_log::in_group(group,
                                    "leads term=" + std::to_string(leadership.term().value()) +
                                        " log=" + std::to_string(log_end.term.value()) + "." +
                                        std::to_string(log_end.position.value())));
        end(now, group, "done", out);
        return;
    }
    if (now >= current.step_until) {
        end(now, group, "failed: the promoted server did not become primary in time", out);
        return;
    }
    if (now >= current.next_status) {
        current.next_status = now + settings_.status_interval;
        send(now, current.candidate, command_kind::status, {}, out);
    }
}

void failover_coordinator::end(time_point now, const group_id& group, const char* outcome,
                               proxy_output& out) {
    const auto& current = attempts_.at(group);
    log(out.common, promotion_log::component, log_level::warning,
        promotion_log::in_group(group, std::string{"end outcome=\""} + outcome + "\" ms=" +
                                           std::to_string(to_milliseconds(now - current.started))));
    next_attempt_at_[group] = now + settings_.retry_delay;
    no_primary_since_.erase(group);
    finished_groups_.insert(group);
}

} // namespace jackdawvane
