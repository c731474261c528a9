#include "jackdawvane/sessions/group_observer.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "observer";
/// Task name under which the observers of a failure domain are ranked.
constexpr const char* observer_task = "observer";
/// Resolution of this part's timers.
constexpr duration tick_step = std::chrono::milliseconds{25};

} // namespace

group_observer::group_observer(fleet_state& state, observer_settings settings,
                               id_sequence<connection_id>& connections,
                               id_sequence<request_id>& requests)
    : state_{state}, settings_{settings}, connection_ids_{connections}, request_ids_{requests} {}

void group_observer::tick(time_point now, proxy_output& out) {
    due_ = now + tick_step;
    choose_role(now);
    read_directory(now, out);
    if (active_) {
        watch_members(now, out);
    } else {
        query_observer(now, out);
    }
    if (state_.directory.known() && now - state_.directory.read_at() > settings_.directory_stale &&
        now >= next_foreign_query_) {
        ask_other_domains(now, out);
    }
}

void group_observer::choose_role(time_point now) {
    if (ranked_version_ != state_.fleet_version || ranked_.empty()) {
        std::vector<vm_entry> mates;
        std::copy_if(state_.live.begin(), state_.live.end(), std::back_inserter(mates),
                     [&](const vm_entry& vm) {
                         return vm.place.region == state_.self.place.region &&
                                vm.state == vm_state::live;
                     });
        ranked_ = rank_vms(observer_task, mates);
        ranked_version_ = state_.fleet_version;
    }
    observer_ = vm_id{};
    for (const auto& vm : ranked_) {
        if (vm == state_.self.vm) {
            break;
        }
        if (!silent(now, vm)) {
            observer_ = vm;
            break;
        }
    }
    active_ = always_active_ || observer_.empty();
}

bool group_observer::silent(time_point now, const vm_id& vm) const {
    const auto found = silent_since_.find(vm);
    return found != silent_since_.end() && now - found->second < settings_.silent_observer_memory;
}

void group_observer::read_directory(time_point now, proxy_output& out) {
    if (directory_pending_ && now - directory_sent_ > settings_.directory_retry) {
        directory_pending_ = false;
        directory_at_ = now;
    }
    const bool wanted = active_ || !state_.directory.known();
    if (!wanted || directory_pending_ || now < directory_at_) {
        return;
    }
    store_request request;
    request.id = directory_call_ = request_ids_.next();
    request.operation = store_operation::list_backends;
    directory_pending_ = true;
    directory_sent_ = now;
    out.common.emplace_back(std::move(request));
}

bool group_observer::on_store(time_point now, const store_answer& answer, proxy_output& out) {
    if (!directory_pending_ || answer.id != directory_call_) {
        return false;
    }
    directory_pending_ = false;
    if (answer.status != store_status::ok) {
        directory_at_ = now + settings_.directory_retry;
        return true;
    }
    directory_at_ = directory_sent_ + settings_.directory_interval;
    if (state_.directory.update(now, directory_sent_, answer.version, answer.backends)) {
        state_.follow_directory();
        log(out.common, log_part, log_level::info,
            "registry version=" + std::to_string(answer.version) +
                " backends=" + std::to_string(answer.backends.size()) + " source=store");
    }
    return true;
}

void group_observer::watch_members(time_point now, proxy_output& out) {
    for (const auto& [backend, entry] : state_.directory.entries()) {
        watch_member(now, entry, controls_[backend], out);
    }
    for (auto it = controls_.begin(); it != controls_.end();) {
        if (state_.directory.find(it->first) != nullptr) {
            ++it;
            continue;
        }
        drop(now, it->second, out);
        observations_.erase(it->first);
        it = controls_.erase(it);
    }
}

backend_server_id group_observer::witness(const group_id& group) const {
    const auto& leadership = state_.leaderships.at(group);
    backend_server_id chosen;
    for (const auto& member : state_.directory.members(group)) {
        const auto own = controls_.find(member);
        const bool answers = own != controls_.end() && own->second.open;
        if (leadership.primary() == member || !answers) {
            continue;
        }
        const auto* entry = state_.directory.find(member);
        const bool near = state_.region_of(entry->registration.domain) == state_.self.place.region;
        if (chosen.empty() || near) {
            chosen = member;
        }
    }
    return chosen;
}

duration group_observer::interval_for(time_point now, const backend_directory::entry& entry) const {
    const auto& registration = entry.registration;
    const auto& leadership = state_.leaderships.at(registration.group);
    const bool often = !leadership.confirmed(now) || leadership.primary() == registration.backend ||
                       witness(registration.group) == registration.backend;
    return often ? settings_.status_interval : settings_.slow_status_interval;
}

void group_observer::watch_member(time_point now, const backend_directory::entry& entry,
                                  control& own, proxy_output& out) {
    if (own.connection == connection_id{}) {
        if (now >= own.retry_at) {
            open(now, entry.registration, own, out);
        }
        return;
    }
    if (!own.sent.empty() && now - own.sent.front().at > settings_.answer_limit) {
        log(out.common, log_part, log_level::warning,
            "silent backend=" + entry.registration.backend.str() +
                " ms=" + std::to_string(to_milliseconds(now - own.sent.front().at)));
        drop(now, own, out);
        return;
    }
    const bool status_open =
        std::any_of(own.sent.begin(), own.sent.end(),
                    [](const sent_command& each) { return each.kind == command_kind::status; });
    const auto interval = interval_for(now, entry);
    own.next_status = std::min(own.next_status, now + interval);
    if (!status_open && now >= own.next_status) {
        own.next_status = now + interval;
        backend_command status;
        status.kind = command_kind::status;
        command(now, entry.registration.backend, std::move(status), out);
    }
}

void group_observer::open(time_point now, const backend_registration& member, control& own,
                          proxy_output& out) {
    if (!state_.configuration || state_.configuration->organisations.empty()) {
        return;
    }
    own.connection = connection_ids_.next();
    own.open = false;
    own.opened_at = now;
    own.next_status = now;
    by_connection_[own.connection] = member.backend;
    out.sessions.emplace_back(open_member{own.connection, member.endpoint, member.group,
                                          state_.configuration->organisations.begin()->first,
                                          member.backend});
}

void group_observer::drop(time_point now, control& own, proxy_output& out) {
    if (own.connection == connection_id{}) {
        return;
    }
    by_connection_.erase(own.connection);
    out.sessions.emplace_back(close_member{own.connection});
    own.connection = connection_id{};
    own.open = false;
    own.sent.clear();
    own.retry_at = now + settings_.reconnect_delay;
}

bool group_observer::command(time_point now, const backend_server_id& backend,
                             backend_command command, proxy_output& out) {
    const auto found = controls_.find(backend);
    if (found == controls_.end() || found->second.connection == connection_id{}) {
        return false;
    }
    found->second.sent.push_back({command.kind, now});
    out.sessions.emplace_back(send_to_member{found->second.connection, {std::move(command)}});
    return true;
}

bool group_observer::on_ready(time_point /*now*/, const member_ready& ready,
                              proxy_output& /*out*/) {
    const auto found = by_connection_.find(ready.connection);
    if (found == by_connection_.end()) {
        return false;
    }
    controls_[found->second].open = true;
    return true;
}

bool group_observer::on_closed(time_point now, const member_closed& closed, proxy_output& out) {
    const auto found = by_connection_.find(closed.connection);
    if (found == by_connection_.end()) {
        return false;
    }
    const auto backend = found->second;
    by_connection_.erase(found);
    auto& own = controls_[backend];
    const auto tried = own.opened_at;
    for (const auto& each : std::exchange(own.sent, {})) {
        answers_.push_back({backend, each.kind, {}});
    }
    const bool was_open = own.open;
    own.connection = connection_id{};
    own.open = false;
    // A connection that was open tells by its end that the process may be gone: ask at once.
    own.retry_at = was_open ? now : now + settings_.reconnect_delay;
    if (closed.reason == close_reason::refused) {
        own.refused_at = tried;
        observations_[backend] = {tried, {}};
        if (const auto* entry = state_.directory.find(backend)) {
            state_.leadership(entry->registration.group).on_refused(tried, backend);
        }
        log(out.common, log_part, log_level::warning, "refused backend=" + backend.str());
    }
    return true;
}

bool group_observer::on_reply(time_point now, const member_replied& replied, proxy_output& out) {
    const auto found = by_connection_.find(replied.connection);
    if (found == by_connection_.end()) {
        return false;
    }
    const auto backend = found->second;
    auto& own = controls_[backend];
    if (own.sent.empty()) {
        drop(now, own, out);
        return true;
    }
    const auto command = own.sent.front();
    own.sent.pop_front();
    answers_.push_back({backend, command.kind, replied.status});
    const auto* entry = state_.directory.find(backend);
    if (replied.status && entry != nullptr) {
        observations_[backend] = {command.at, replied.status};
        state_.leadership(entry->registration.group)
            .on_status(now, command.at, backend, *replied.status);
    }
    return true;
}

void group_observer::query_observer(time_point now, proxy_output& out) {
    for (auto it = queries_.begin(); it != queries_.end();) {
        if (now - it->second.at <= settings_.query_limit) {
            ++it;
            continue;
        }
        if (it->second.to == observer_) {
            silent_since_[observer_] = now;
            log(out.common, log_part, log_level::warning,
                "observer silent vm=" + observer_.str() +
                    " limit_ms=" + std::to_string(to_milliseconds(settings_.query_limit)));
        }
        it = queries_.erase(it);
    }
    if (now < next_query_) {
        return;
    }
    next_query_ = now + settings_.query_interval;
    send_query(now, observer_, out);
}

void group_observer::send_query(time_point now, const vm_id& to, proxy_output& out) {
    const auto* vm = state_.find_vm(to);
    if (vm == nullptr) {
        return;
    }
    queries_[++query_number_] = {to, now};
    out.common.emplace_back(
        send_to_peer{to, vm->peer, peer_channel::stream,
                     observation_query{query_number_, state_.directory.version()}});
}

void group_observer::ask_other_domains(time_point now, proxy_output& out) {
    next_foreign_query_ = now + settings_.foreign_query_interval;
    std::set<failure_domain_id> asked{state_.self.place.domain};
    for (const auto& vm : rank_vms(observer_task, state_.live)) {
        const auto* entry = state_.find_vm(vm);
        if (entry != nullptr && entry->vm != state_.self.vm &&
            asked.insert(entry->place.domain).second) {
            send_query(now, vm, out);
        }
    }
}

void group_observer::on_query(time_point now, const vm_id& from, const observation_query& query,
                              proxy_output& out) {
    const auto* vm = state_.find_vm(from);
    if (vm == nullptr) {
        return;
    }
    observation_reply reply;
    reply.number = query.number;
    for (const auto& [backend, own] : observations_) {
        const auto* entry = state_.directory.find(backend);
        const auto age = now - own.asked;
        if (entry != nullptr && age < settings_.silent_observer_memory) {
            reply.members.push_back({backend, entry->registration.group, own.status, age});
        }
    }
    if (state_.directory.known()) {
        reply.directory_version = state_.directory.version();
        reply.directory_age = now - state_.directory.read_at();
        if (query.directory_version < reply.directory_version) {
            reply.directory = state_.directory.registrations();
        }
    }
    out.common.emplace_back(send_to_peer{from, vm->peer, peer_channel::stream, std::move(reply)});
}

void group_observer::on_answer(time_point now, const vm_id& from, const observation_reply& reply,
                               proxy_output& out) {
    const auto found = queries_.find(reply.number);
    if (found == queries_.end()) {
        return;
    }
    const auto asked = found->second.at;
    queries_.erase(found);
    const bool fresh = std::any_of(
        reply.members.begin(), reply.members.end(),
        [&](const member_observation& each) { return each.age < settings_.answer_limit; });
    if (fresh) {
        silent_since_.erase(from);
    } else if (from == observer_) {
        silent_since_[from] = now; // It answers, but reaches no backend server.
    }
    if (!reply.directory.empty()) {
        if (state_.directory.update(now, asked - reply.directory_age, reply.directory_version,
                                    reply.directory)) {
            state_.follow_directory();
            log(out.common, log_part, log_level::info,
                "registry version=" + std::to_string(reply.directory_version) +
                    " source=" + from.str());
        }
    } else {
        state_.directory.confirm(now, asked - reply.directory_age, reply.directory_version);
    }
    for (const auto& each : reply.members) {
        auto& leadership = state_.leadership(each.group);
        if (each.status) {
            leadership.on_status(now, asked - each.age, each.backend, *each.status);
        } else {
            leadership.on_refused(asked - each.age, each.backend);
            refused_elsewhere_[each.backend] = asked - each.age;
        }
    }
}

std::vector<control_answer> group_observer::take_answers() {
    return std::exchange(answers_, {});
}

time_point group_observer::refused_at(const backend_server_id& backend) const {
    const auto found = controls_.find(backend);
    return found == controls_.end() ? time_point::min() : found->second.refused_at;
}

time_point group_observer::refused_elsewhere(const backend_server_id& backend) const {
    const auto found = refused_elsewhere_.find(backend);
    return found == refused_elsewhere_.end() ? time_point::min() : found->second;
}

void group_observer::leave(proxy_output& out) {
    for (auto& [backend, own] : controls_) {
        if (own.connection != connection_id{}) {
            out.sessions.emplace_back(close_member{own.connection});
        }
    }
    controls_.clear();
    by_connection_.clear();
}

} // namespace jackdawvane
