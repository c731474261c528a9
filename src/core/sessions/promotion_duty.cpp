#include "jackdawvane/sessions/promotion_duty.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "promotion";

std::string in_group(const group_id& group, const std::string& text) {
    return "group=" + group.str() + " " + text;
}

} // namespace

promotion_duty::promotion_duty(fleet_state& state, group_observer& observer, duty_lease& lease,
                               promotion_duty_settings settings)
    : state_{state}, observer_{observer}, lease_{lease}, settings_{settings} {}

bool promotion_duty::send(time_point now, const backend_server_id& backend, command_kind kind,
                          term at, proxy_output& out) {
    backend_command command;
    command.kind = kind;
    command.term = at;
    return observer_.command(now, backend, std::move(command), out);
}

void promotion_duty::tick(time_point now, proxy_output& out) {
    if (!lease_.held(now)) {
        if (!attempts_.empty()) {
            log(out.common, log_part, log_level::warning, "stopped: the duty is not held");
        }
        attempts_.clear();
        unled_since_.clear();
        judges_since_ = now;
        return;
    }
    for (const auto& group : state_.directory.groups()) {
        bool planned = false;
        if (attempts_.contains(group) || now < not_before_[group]) {
            continue;
        }
        if (auto reason = reason_for(now, group, planned)) {
            start(now, group, std::move(*reason), planned, out);
        }
    }
    for (auto& [group, own] : attempts_) {
        advance(now, group, own, out);
    }
    for (const auto& group : std::exchange(finished_, {})) {
        attempts_.erase(group);
    }
    settle_members(now, out);
}

/// How long the primary has been silent while other servers answered this VM. Before this VM held
/// the duty it did not ask all of them. When it is short of processor time or cut off, the answers
/// of all are late, which says nothing of the primary.
duration promotion_duty::silence_of(const group_leadership& leadership) const {
    return observer_.heard() - std::max(leadership.primary_seen(), judges_since_);
}

std::optional<std::string> promotion_duty::reason_for(time_point now, const group_id& group,
                                                      bool& planned) {
    const auto& leadership = state_.leadership(group);
    const auto& primary = leadership.primary();
    const auto members = state_.directory.members(group);
    if (members.empty() || (members.size() == 1 && primary && members.contains(*primary))) {
        return {};
    }
    if (!primary || leadership.stepped_down() || leadership.closed()) {
        const auto since = unled_since_.try_emplace(group, now).first->second;
        if (now - since >= settings_.no_primary) {
            return "no primary known";
        }
        return {};
    }
    unled_since_.erase(group);
    const auto* entry = state_.directory.find(*primary);
    const auto unheard = silence_of(leadership);
    if (entry == nullptr) {
        return unheard > settings_.primary_silence || leadership.primary_seen() == time_point::min()
                   ? std::optional<std::string>{"primary is not registered"}
                   : std::nullopt;
    }
    if (entry->absent_since != no_deadline && now - entry->absent_since > settings_.absence) {
        return "primary is not registered any more";
    }
    if (entry->registration.leaving && unheard < settings_.primary_silence) {
        const bool heir = std::any_of(members.begin(), members.end(), [&](const auto& member) {
            return member != *primary && !state_.directory.find(member)->registration.leaving;
        });
        planned = heir;
        return heir ? std::optional<std::string>{"primary leaves"} : std::nullopt;
    }
    if (observer_.refused_at(*primary) > leadership.primary_seen()) {
        return "primary is down";
    }
    if (leadership.primary_seen() != time_point::min() && unheard > settings_.primary_silence) {
        return "primary is silent";
    }
    return {};
}

void promotion_duty::start(time_point now, const group_id& group, std::string reason, bool planned,
                           proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    attempt own;
    own.reason = std::move(reason);
    own.planned = planned;
    own.old_primary = leadership.primary();
    own.old_term = leadership.term();
    own.target = leadership.highest_term().next();
    own.started = now;
    log(out.common, log_part, log_level::warning,
        in_group(group, "start reason=\"" + own.reason +
                            "\" old=" + (own.old_primary ? own.old_primary->str() : "-") +
                            " term=" + std::to_string(own.target.value())));
    if (planned) {
        own.step = phase::step_down;
        own.step_until = now + settings_.short_hold_limit;
        send(now, *own.old_primary, command_kind::step_down, own.target, out);
    } else {
        own.step_until = now + settings_.second_opinion;
        observer_.ask_other_domains(now, {group}, out);
    }
    attempts_[group] = std::move(own);
}

void promotion_duty::advance(time_point now, const group_id& group, attempt& own,
                             proxy_output& out) {
    switch (own.step) {
    case phase::confirm:
        advance_confirm(now, group, own, out);
        break;
    case phase::step_down:
        advance_step_down(now, group, own, out);
        break;
    case phase::catch_up:
        advance_catch_up(now, group, own, out);
        break;
    case phase::hold:
        advance_hold(now, group, own, out);
        break;
    case phase::fence:
        advance_fence(now, group, own, out);
        break;
    case phase::promote:
        if (now >= own.step_until) {
            call_promote(now, group, own, out);
        }
        break;
    case phase::await:
        advance_await(now, group, own, out);
        break;
    }
}

void promotion_duty::advance_confirm(time_point now, const group_id& group, attempt& own,
                                     proxy_output& out) {
    const bool others_agree =
        own.old_primary && observer_.refused_elsewhere(*own.old_primary) > own.started;
    if (now < own.step_until && !others_agree) {
        if (now >= own.next_status) {
            own.next_status = now + settings_.second_opinion / 4;
            observer_.ask_other_domains(now, {group}, out);
        }
        return;
    }
    bool planned = false;
    if (!reason_for(now, group, planned)) {
        end(now, group, "not needed: another VM reaches the primary", out);
        return;
    }
    own.old_is_down = !own.old_primary || observer_.refused_at(*own.old_primary) >
                                              state_.leadership(group).primary_seen();
    begin_hold(now, group, own, out);
}

void promotion_duty::advance_step_down(time_point now, const group_id& group, attempt& own,
                                       proxy_output& out) {
    if (own.wanted) {
        own.step = phase::catch_up;
        own.step_until = now + settings_.catch_up_limit;
    } else if (now >= own.step_until) {
        // The primary did not answer; go on as if it had failed.
        own.planned = false;
        own.step = phase::confirm;
        own.step_until = now + settings_.second_opinion;
        observer_.ask_other_domains(now, {group}, out);
    }
}

void promotion_duty::advance_catch_up(time_point now, const group_id& group, attempt& own,
                                      proxy_output& out) {
    const auto caught_up = [&](const backend_server_id& member) {
        const auto found = last_status_.find(member);
        return found != last_status_.end() && member != *own.old_primary &&
               found->second.received >= *own.wanted;
    };
    const auto members = state_.directory.members(group);
    if (now >= own.step_until || std::any_of(members.begin(), members.end(), caught_up)) {
        begin_hold(now, group, own, out);
        return;
    }
    if (now >= own.next_status) {
        own.next_status = now + settings_.status_step;
        for (const auto& member : members) {
            send(now, member, command_kind::status, {}, out);
        }
    }
}

void promotion_duty::begin_hold(time_point now, const group_id& group, attempt& own,
                                proxy_output& out) {
    own.step = phase::hold;
    own.step_until =
        now + (own.old_is_down || own.wanted ? settings_.short_hold_limit : settings_.hold_limit);
    for (const auto& member : state_.directory.members(group)) {
        if (own.old_primary == member) {
            if (!own.wanted) {
                send(now, member, command_kind::step_down, own.target, out);
            }
            continue;
        }
        own.replicas[member] = std::nullopt;
        send(now, member, command_kind::hold, own.target, out);
    }
    own.next_status = now + settings_.retry_delay;
}

void promotion_duty::on_control(time_point now, const control_answer& answer, proxy_output& out) {
    if (answer.status) {
        last_status_[answer.backend] = *answer.status;
    }
    for (auto& [group, own] : attempts_) {
        if (!answer.status) {
            continue;
        }
        const bool from_old = own.old_primary == answer.backend;
        if (from_old && answer.status->role == backend_role::replica) {
            own.old_is_down = true;
            if (answer.command == command_kind::step_down) {
                own.wanted = answer.status->received;
            }
        }
        const auto replica = own.replicas.find(answer.backend);
        if (replica != own.replicas.end() && answer.status->held_term >= own.target) {
            replica->second = answer.status->received;
        }
        advance(now, group, own, out);
    }
    for (const auto& group : std::exchange(finished_, {})) {
        attempts_.erase(group);
    }
}

void promotion_duty::advance_hold(time_point now, const group_id& group, attempt& own,
                                  proxy_output& out) {
    const bool all = std::all_of(own.replicas.begin(), own.replicas.end(), [&](const auto& each) {
        return each.second || observer_.refused_at(each.first) > own.started;
    });
    if (!all && now < own.step_until) {
        if (now >= own.next_status) {
            own.next_status = now + settings_.retry_delay;
            for (const auto& [member, point] : own.replicas) {
                if (!point) {
                    send(now, member, command_kind::hold, own.target, out);
                }
            }
        }
        return;
    }
    if (!enough_held(group, own) || !best_candidate(own)) {
        own.step_until = now + settings_.retry_delay;
        if (now - own.started > settings_.lead_limit) {
            end(now, group, "failed: too few replicas answer", out);
        }
        return;
    }
    own.held_at = now;
    own.step = phase::fence;
    auto& leadership = state_.leadership(group);
    leadership.on_hold(now, own.old_term);
    for (const auto& vm : state_.live) {
        if (vm.vm != state_.self.vm) {
            out.common.emplace_back(send_to_peer{vm.vm, vm.peer, peer_channel::stream,
                                                 group_hold{group, own.old_term, duration{0}}});
        }
    }
    advance_fence(now, group, own, out);
}

/// With synchronous replicas, one of the replicas that answered must have every commit.
bool promotion_duty::enough_held(const group_id& group, const attempt& own) const {
    const auto* row = state_.find_group(group);
    const std::size_t sync = row == nullptr ? 0 : row->sync_replicas;
    const auto held = static_cast<std::size_t>(
        std::count_if(own.replicas.begin(), own.replicas.end(),
                      [](const auto& each) { return each.second.has_value(); }));
    return sync == 0 ? held > 0 : held + sync > own.replicas.size();
}

std::optional<backend_server_id> promotion_duty::best_candidate(const attempt& own) const {
    std::optional<backend_server_id> best;
    std::pair<log_point, bool> best_rank;
    for (const auto& [member, point] : own.replicas) {
        if (!point || own.refused.contains(member)) {
            continue;
        }
        const auto* entry = state_.directory.find(member);
        const bool stays = entry != nullptr && !entry->registration.leaving;
        const std::pair rank{*point, stays};
        if (!best || rank > best_rank) {
            best = member;
            best_rank = rank;
        }
    }
    return best;
}

void promotion_duty::advance_fence(time_point now, const group_id& group, attempt& own,
                                   proxy_output& out) {
    if (!own.old_is_down && own.old_primary) {
        own.old_is_down = observer_.refused_at(*own.old_primary) > own.started;
    }
    if (own.old_is_down || now >= own.held_at + settings_.proof_validity) {
        call_promote(now, group, own, out);
    }
}

void promotion_duty::call_promote(time_point now, const group_id& group, attempt& own,
                                  proxy_output& out) {
    const auto candidate = best_candidate(own);
    if (!candidate || now - own.started > 2 * settings_.lead_limit) {
        end(now, group, "failed: no candidate", out);
        return;
    }
    own.candidate = *candidate;
    own.step = phase::promote;
    own.step_until = now + settings_.call_limit;
    out.sessions.emplace_back(promote_member{group, *candidate, state_.self.vm, lease_.fence()});
    log(out.common, log_part, log_level::info,
        in_group(group, "promote backend=" + candidate->str() +
                            " fence=" + std::to_string(lease_.fence()) +
                            " log=" + std::to_string(own.replicas[*candidate]->term.value()) + "." +
                            std::to_string(own.replicas[*candidate]->position.value()) +
                            " ms=" + std::to_string(to_milliseconds(now - own.started))));
}

void promotion_duty::on_promotion(time_point now, const promotion_answered& answer,
                                  proxy_output& out) {
    const auto found = attempts_.find(answer.group);
    if (found == attempts_.end() || found->second.step != phase::promote ||
        found->second.candidate != answer.backend) {
        return;
    }
    auto& own = found->second;
    log(out.common, log_part, log_level::info,
        in_group(answer.group, std::string{"answer accepted="} + (answer.accepted ? "1" : "0") +
                                   " not_running=" + (answer.not_running ? "1" : "0")));
    if (answer.accepted) {
        own.step = phase::await;
        own.step_until = now + settings_.lead_limit;
        own.next_status = now;
        return;
    }
    if (answer.not_running) {
        own.refused.insert(answer.backend);
    }
    own.step_until = now + settings_.retry_delay;
}

void promotion_duty::advance_await(time_point now, const group_id& group, attempt& own,
                                   proxy_output& out) {
    const auto& leadership = state_.leadership(group);
    if (leadership.primary() == own.candidate && leadership.term() > own.old_term) {
        for (const auto& [member, point] : own.replicas) {
            const auto status = last_status_.find(member);
            if (member != own.candidate && status != last_status_.end() &&
                status->second.held_term > term{}) {
                send(now, member, command_kind::resume, {}, out);
            }
        }
        const auto log_end = last_status_[own.candidate].received;
        log(out.common, log_part, log_level::info,
            in_group(group, "leads term=" + std::to_string(leadership.term().value()) +
                                " log=" + std::to_string(log_end.term.value()) + "." +
                                std::to_string(log_end.position.value())));
        end(now, group, "done", out);
        return;
    }
    if (now >= own.step_until) {
        end(now, group, "failed: the promoted server does not lead", out);
        return;
    }
    if (now >= own.next_status) {
        own.next_status = now + settings_.status_step;
        send(now, own.candidate, command_kind::status, {}, out);
    }
}

void promotion_duty::end(time_point now, const group_id& group, const char* outcome,
                         proxy_output& out) {
    const auto& own = attempts_.at(group);
    log(out.common, log_part, log_level::warning,
        in_group(group, std::string{"end outcome=\""} + outcome +
                            "\" ms=" + std::to_string(to_milliseconds(now - own.started))));
    not_before_[group] = now + settings_.retry_delay;
    unled_since_.erase(group);
    finished_.insert(group);
}

/// A primary of an older term that is reached again has to step down, and a replica that an
/// unfinished promotion has left held has to go on.
void promotion_duty::settle_members(time_point now, proxy_output& out) {
    for (const auto& [backend, entry] : state_.directory.entries()) {
        const auto status = last_status_.find(backend);
        const auto& leadership = state_.leadership(entry.registration.group);
        if (status == last_status_.end() || attempts_.contains(entry.registration.group)) {
            continue;
        }
        const bool deposed =
            status->second.role == backend_role::primary && status->second.term < leadership.term();
        const bool left_held = status->second.role == backend_role::replica &&
                               status->second.held_term > leadership.term() &&
                               !leadership.stepped_down();
        auto& last = settled_at_[backend];
        if ((!deposed && !left_held) || now - last < settings_.retry_delay) {
            continue;
        }
        last = now;
        if (left_held) {
            log(out.common, log_part, log_level::warning,
                in_group(entry.registration.group, "resume backend=" + backend.str()));
            send(now, backend, command_kind::resume, {}, out);
            continue;
        }
        log(out.common, log_part, log_level::warning,
            in_group(entry.registration.group, "step down backend=" + backend.str()));
        send(now, backend, command_kind::step_down, leadership.term(), out);
    }
}

} // namespace jackdawvane
