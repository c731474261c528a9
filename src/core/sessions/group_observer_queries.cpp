#include "jackdawvane/membership/placement.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

#include <utility>

#include <algorithm>
#include <iterator>

/// @file
/// @brief Queries between VMs about backend servers and the registry.

namespace jackdawvane {

namespace {

constexpr const char* log_component = "observer";
/// VMs of each region that are queried for a second opinion, besides one of each other domain.
constexpr std::size_t second_opinions_per_region = 2;

std::set<vm_id> as_set(std::vector<vm_id> vms) {
    return {std::make_move_iterator(vms.begin()), std::make_move_iterator(vms.end())};
}

} // namespace

/// A VM that does not answer in time is passed over, unless it was queried for a second opinion.
void group_observer::expire_queries(time_point now, proxy_output& out) {
    for (auto it = queries_.begin(); it != queries_.end();) {
        if (now - it->second.at <= settings_.query_timeout) {
            ++it;
            continue;
        }
        const auto& vm = it->second.to;
        if (it->second.second_opinion) {
            it = queries_.erase(it);
            continue;
        }
        if (!is_unresponsive(now, vm)) {
            log(out.common, log_component, log_level::warning,
                "observer did not answer vm=" + vm.str() +
                    " limit_ms=" + std::to_string(to_milliseconds(settings_.query_timeout)));
        }
        unresponsive_at_[vm] = now;
        it = queries_.erase(it);
    }
}

void group_observer::query_directory(time_point now, proxy_output& out) {
    if (reader_.empty() || now < next_directory_query_) {
        return;
    }
    next_directory_query_ = now + settings_.directory_query_interval;
    send_query(now, reader_, observation_query{}, false, out);
}

void group_observer::query_awaited_groups(time_point now, proxy_output& out) {
    std::map<vm_id, std::vector<group_id>> queries;
    for (const auto& group : std::exchange(state_.groups_awaiting_evidence, {})) {
        auto& next = next_group_query_[group];
        if (now < next || observed_.contains(group)) {
            continue;
        }
        const auto observer = observer_of(now, group);
        if (!observer.empty()) {
            next = now + settings_.query_interval;
            queries[observer].push_back(group);
        }
    }
    for (auto& [vm, groups] : queries) {
        send_query(now, vm, std::move(groups), false, out);
        due_ = std::min(due_, now + settings_.query_timeout);
    }
}

void group_observer::send_query(time_point now, const vm_id& to, std::vector<group_id> groups,
                                bool second_opinion, proxy_output& out) {
    observation_query query;
    query.groups = std::move(groups);
    send_query(now, to, std::move(query), second_opinion, out);
}

void group_observer::send_query(time_point now, const vm_id& to, observation_query query,
                                bool second_opinion, proxy_output& out) {
    const auto* vm = state_.find_vm(to);
    if (vm == nullptr) {
        return;
    }
    query.number = ++query_number_;
    query.directory_version = state_.directory.version();
    queries_[query.number] = {to, now, query.groups, second_opinion};
    out.common.emplace_back(send_to_peer{to, vm->peer, peer_channel::stream, std::move(query)});
}

std::set<vm_id> group_observer::other_domains(const std::vector<group_id>& groups) const {
    const auto subject = groups.empty() ? std::string{task} : task + ("/" + groups.front().str());
    std::set<vm_id> targets;
    for (const auto& [domain, region] : state_.regions) {
        if (domain != state_.self.place.domain) {
            targets.merge(as_set(delegates(subject, domain, state_.live, 1)));
        }
        // The observers of a region already have recent statuses; other VMs would first have to
        // request them.
        targets.merge(
            as_set(region_delegates(subject, region, state_.live, second_opinions_per_region)));
    }
    targets.erase(state_.self.vm);
    return targets;
}

void group_observer::query_other_domains(time_point now, const std::vector<group_id>& groups,
                                         proxy_output& out) {
    next_other_domain_query_ = now + settings_.other_domain_query_interval;
    for (const auto& vm : other_domains(groups)) {
        send_query(now, vm, groups, true, out);
    }
}

void group_observer::request_holds(time_point now, const group_id& group,
                                   const std::vector<backend_server_id>& servers, term held_term,
                                   proxy_output& out) {
    for (const auto& vm : other_domains({group})) {
        observation_query query;
        query.groups = {group};
        query.hold_servers = servers;
        query.hold_term = held_term;
        send_query(now, vm, std::move(query), true, out);
    }
}

void group_observer::on_query(time_point now, const vm_id& from, const observation_query& query,
                              proxy_output& out) {
    const auto* vm = state_.find_vm(from);
    if (vm == nullptr) {
        return;
    }
    for (const auto& backend : query.hold_servers) {
        backend_command hold;
        hold.kind = command_kind::hold;
        hold.term = query.hold_term;
        const bool sent = command(now, backend, std::move(hold), out);
        log(out.common, log_component, log_level::info,
            "hold backend=" + backend.str() + " term=" + std::to_string(query.hold_term.value()) +
                " for=" + from.str() + " outcome=" + (sent ? "sent" : "not_connected"));
    }
    observation_reply reply;
    reply.number = query.number;
    for (const auto& group : query.groups) {
        observe_until_[group] = now + settings_.observe_after_query;
        due_ = observed_.contains(group) ? due_ : now;
        for (const auto& backend : state_.directory.members(group)) {
            const auto own = observations_.find(backend);
            if (own != observations_.end() &&
                now - own->second.requested_at < settings_.unresponsive_vm_backoff) {
                reply.members.push_back(
                    {backend, group, own->second.status, now - own->second.requested_at});
            }
        }
    }
    if (state_.directory.known()) {
        reply.directory_version = state_.directory.version();
        reply.directory_read_version = state_.directory.read_version();
        reply.directory_age = now - state_.directory.read_at();
        if (query.directory_version < reply.directory_version) {
            reply.directory = state_.directory.registrations();
        }
    }
    if (state_.evacuations.enabled() && state_.evacuations.known()) {
        reply.evacuations = state_.evacuations.last();
        reply.evacuations_age = now - state_.evacuations.read_at();
    }
    out.common.emplace_back(send_to_peer{from, vm->peer, peer_channel::stream, std::move(reply)});
}

void group_observer::on_answer(time_point now, const vm_id& from, const observation_reply& reply,
                               proxy_output& out) {
    const auto found = queries_.find(reply.number);
    if (found == queries_.end()) {
        return;
    }
    const auto query = std::move(found->second);
    queries_.erase(found);
    if (!query.second_opinion) {
        check_observer_answer(now, from, reply, query.groups);
        check_reader_answer(now, from, reply, out);
    }
    apply_directory(now, query.at, from, reply, out);
    if (reply.evacuations) {
        apply_evacuations(now, query.at - reply.evacuations_age, *reply.evacuations, from.str(),
                          out);
    }
    // The primary's status is applied before and after those of the replicas: first for its term,
    // which the replicas' statuses prove, then for its log position, which is recorded only with a
    // proof.
    for (const auto role : {backend_role::primary, backend_role::replica, backend_role::primary}) {
        for (const auto& each : reply.members) {
            if ((each.status ? each.status->role : backend_role::replica) == role) {
                apply_observation(now, query.at - each.age, each);
            }
        }
    }
}

/// A VM that answers without a recent status, because it reaches no backend server, is passed over,
/// too. It first has `answer_timeout` to begin to observe the group.
void group_observer::check_observer_answer(time_point now, const vm_id& from,
                                           const observation_reply& reply,
                                           const std::vector<group_id>& groups) {
    const bool fresh = std::any_of(
        reply.members.begin(), reply.members.end(),
        [&](const member_observation& each) { return each.age < settings_.answer_timeout; });
    if (groups.empty() || fresh) {
        unresponsive_at_.erase(from);
        uninformed_since_.erase(from);
        return;
    }
    const auto since = uninformed_since_.try_emplace(from, now).first->second;
    if (now - since > settings_.answer_timeout) {
        unresponsive_at_[from] = now;
        uninformed_since_.erase(from);
    }
}

/// A VM that answers with an old list, because it cannot read the registry, is passed over as
/// reader.
void group_observer::check_reader_answer(time_point now, const vm_id& from,
                                         const observation_reply& reply, proxy_output& out) {
    if (from != reader_ ||
        (reply.directory_read_version > 0 && reply.directory_age <= settings_.reader_max_age)) {
        return;
    }
    log(out.common, log_component, log_level::warning,
        "reader_old vm=" + from.str() +
            " age_ms=" + std::to_string(to_milliseconds(reply.directory_age)) +
            " limit_ms=" + std::to_string(to_milliseconds(settings_.reader_max_age)));
    stale_readers_[from] = now;
    next_directory_query_ = now;
    due_ = now;
}

void group_observer::apply_directory(time_point now, time_point requested_at, const vm_id& from,
                                     const observation_reply& reply, proxy_output& out) {
    const auto read_at = requested_at - reply.directory_age;
    if (reply.directory.empty()) {
        state_.directory.confirm(now, read_at, reply.directory_version,
                                 reply.directory_read_version);
        return;
    }
    apply_list(now, read_at, reply.directory_read_version, reply.directory, from.str(), out);
}

void group_observer::apply_observation(time_point now, time_point requested_at,
                                       const member_observation& each) {
    auto& leadership = state_.leadership(each.group);
    if (each.status) {
        leadership.on_status(now, requested_at, each.backend, *each.status,
                             state_.directory.listed(each.backend, requested_at));
        auto& last = reports_[each.backend];
        if (requested_at >= last.requested_at) {
            last = {requested_at, *each.status};
        }
    } else {
        leadership.on_refused(requested_at, each.backend);
        refused_by_others_at_[each.backend] = requested_at;
    }
}

} // namespace jackdawvane
