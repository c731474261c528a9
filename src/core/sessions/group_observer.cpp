#include "jackdawvane/sessions/group_observer.hpp"

#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/membership/placement.hpp"
#include "jackdawvane/sessions/reply_matcher.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "observer";
/// Timer resolution while this VM observes groups or waits for an answer.
constexpr duration tick_step = std::chrono::milliseconds{25};
/// Timer resolution at other times.
constexpr duration idle_step = std::chrono::milliseconds{100};

} // namespace

group_observer::group_observer(fleet_state& state, observer_settings settings,
                               id_sequence<connection_id>& connections,
                               id_sequence<request_id>& requests)
    : state_{state}, settings_{settings}, connection_ids_{connections}, request_ids_{requests} {}

void group_observer::tick(time_point now, proxy_output& out) {
    expire_queries(now, out);
    choose_roles(now);
    read_directory(now, out);
    poll_servers(now, out);
    query_directory(now, out);
    report_age(now, out);
    report_proofs(now, out);
    if (state_.directory.known() &&
        now - state_.directory.read_at() > settings_.directory_stale_after &&
        now >= next_other_domain_query_) {
        query_other_domains(now, {}, out);
    }
    due_ = now + (controls_.empty() && queries_.empty() ? idle_step : tick_step);
}

const std::vector<vm_id>& group_observer::candidates_for(const std::string& subject) {
    if (candidates_version_ != state_.fleet_version) {
        candidates_version_ = state_.fleet_version;
        candidates_.clear();
    }
    auto [found, created] = candidates_.try_emplace(subject);
    if (created) {
        found->second = region_delegates(subject, state_.self.place.region, state_.live,
                                         settings_.observer_candidates);
    }
    return found->second;
}

vm_id group_observer::first_responsive(time_point now, const std::vector<vm_id>& ranked) const {
    for (const auto& vm : ranked) {
        if (vm == state_.self.vm) {
            break;
        }
        if (!is_unresponsive(now, vm)) {
            return vm;
        }
    }
    return vm_id{};
}

vm_id group_observer::observer_of(time_point now, const group_id& group) {
    return first_responsive(now, candidates_for(task + ("/" + group.str())));
}

void group_observer::choose_roles(time_point now) {
    std::erase_if(observe_until_, [now](const auto& each) { return each.second <= now; });
    choose_reader(now);
    observed_.clear();
    for (const auto& group : state_.directory.groups()) {
        if (observes_all_ || observe_until_.contains(group) || observer_of(now, group).empty()) {
            observed_.insert(group);
        }
    }
}

/// A reader whose own list is old keeps trying to read the registry, and also queries the VMs that
/// are ranked after it.
void group_observer::choose_reader(time_point now) {
    std::erase_if(stale_readers_, [&](const auto& each) {
        return now - each.second > settings_.stale_reader_backoff;
    });
    reader_ = vm_id{};
    is_reader_ = false;
    for (const auto& vm : candidates_for(task)) {
        if (vm == state_.self.vm) {
            is_reader_ = true;
            if (!list_older_than(now, settings_.reader_max_age)) {
                return;
            }
        } else if (!is_unresponsive(now, vm) && !stale_readers_.contains(vm)) {
            reader_ = vm;
            return;
        }
    }
}

bool group_observer::list_older_than(time_point now, duration limit) const {
    return !state_.directory.known() || now - state_.directory.read_at() > limit;
}

bool group_observer::is_unresponsive(time_point now, const vm_id& vm) const {
    const auto found = unresponsive_at_.find(vm);
    return found != unresponsive_at_.end() &&
           now - found->second < settings_.unresponsive_vm_backoff;
}

void group_observer::read_directory(time_point now, proxy_output& out) {
    if (directory_pending_ && now - directory_requested_at_ > settings_.directory_retry_interval) {
        directory_pending_ = false;
        next_directory_read_ = now;
        report_failed_read(now, out);
    }
    const bool direct_read = reader_.empty() && list_older_than(now, settings_.direct_read_after);
    const bool wanted = observes_all_ || is_reader_ || direct_read || !state_.directory.known() ||
                        !state_.evacuations.known();
    if (!wanted || directory_pending_ || now < next_directory_read_) {
        return;
    }
    store_request request;
    request.id = directory_request_ = request_ids_.next();
    request.operation = store_operation::list_backends;
    directory_pending_ = true;
    directory_requested_at_ = now;
    out.common.emplace_back(std::move(request));
}

bool group_observer::on_store(time_point now, const store_answer& answer, proxy_output& out) {
    if (!directory_pending_ || answer.id != directory_request_) {
        return false;
    }
    directory_pending_ = false;
    if (answer.status != store_status::ok) {
        next_directory_read_ = now + settings_.directory_retry_interval;
        report_failed_read(now, out);
        return true;
    }
    next_directory_read_ = directory_requested_at_ + settings_.directory_read_interval;
    apply_list(now, directory_requested_at_, answer.version, answer.backends, "store", out);
    if (answer.evacuations) {
        apply_evacuations(now, directory_requested_at_, *answer.evacuations, "store", out);
    }
    return true;
}

void group_observer::apply_list(time_point now, time_point read_at, std::uint64_t version,
                                const std::vector<backend_registration>& list,
                                const std::string& source, proxy_output& out) {
    if (!state_.directory.update(now, read_at, version, list)) {
        return;
    }
    state_.update_group_members();
    std::erase_if(reports_,
                  [&](const auto& each) { return state_.directory.find(each.first) == nullptr; });
    log(out.common, log_component, log_level::info,
        "registry version=" + std::to_string(version) + " backends=" + std::to_string(list.size()) +
            " source=" + source + " age_ms=" + age_text(now, read_at));
    for (const auto& [backend, entry] : state_.directory.entries()) {
        if (entry.leaving_since == now) {
            log(out.common, log_component, log_level::info,
                "leaving backend=" + backend.str() + " group=" + entry.registration.group.str() +
                    " staying_age_ms=" + age_text(now, entry.last_listed_staying) +
                    " source=" + source);
        }
    }
}

void group_observer::report_failed_read(time_point now, proxy_output& out) const {
    log(out.common, log_component, log_level::warning,
        "registry_unread ms=" + std::to_string(to_milliseconds(now - directory_requested_at_)) +
            " age_ms=" + age_text(now, state_.directory.read_at()));
}

void group_observer::report_age(time_point now, proxy_output& out) {
    if (!state_.directory.known() || now < next_age_report_) {
        return;
    }
    next_age_report_ = now + settings_.age_report_interval;
    report_evacuations(now, out);
    const auto age = now - state_.directory.read_at();
    out.common.emplace_back(measurement{metric_kind::gauge, "registry_age_ms", "", "",
                                        static_cast<double>(to_milliseconds(age))});
    const bool old = age > settings_.directory_stale_after;
    if (std::exchange(reported_stale_, old) != old) {
        log(out.common, log_component, old ? log_level::warning : log_level::info,
            std::string{old ? "registry_old" : "registry_current"} +
                " age_ms=" + age_text(now, state_.directory.read_at()) +
                " reader=" + (reader_.empty() ? state_.self.vm : reader_).str());
    }
}

void group_observer::poll_servers(time_point now, proxy_output& out) {
    for (const auto& [backend, entry] : state_.directory.entries()) {
        if (observed_.contains(entry.registration.group)) {
            poll_server(now, entry, controls_[backend], out);
        }
    }
    for (auto it = controls_.begin(); it != controls_.end();) {
        const auto* entry = state_.directory.find(it->first);
        if (entry != nullptr && observed_.contains(entry->registration.group)) {
            ++it;
            continue;
        }
        disconnect(now, it->second, out);
        observations_.erase(it->first);
        it = controls_.erase(it);
    }
}

backend_server_id group_observer::proving_replica(const group_id& group) const {
    const auto& leadership = state_.leaderships.at(group);
    backend_server_id chosen;
    for (const auto& server : state_.directory.members(group)) {
        const auto own = controls_.find(server);
        const bool answers = own != controls_.end() && own->second.open;
        if (leadership.primary() == server || !answers) {
            continue;
        }
        const auto* entry = state_.directory.find(server);
        const bool near = state_.region_of(entry->registration.domain) == state_.self.place.region;
        if (chosen.empty() || near) {
            chosen = server;
        }
    }
    return chosen;
}

duration group_observer::status_interval_for(time_point now,
                                             const backend_directory::entry& entry) const {
    const auto& registration = entry.registration;
    const auto& leadership = state_.leaderships.at(registration.group);
    const bool often = !leadership.confirmed(now) || !leadership.one_suffices() ||
                       leadership.primary() == registration.backend ||
                       proving_replica(registration.group) == registration.backend;
    return often ? settings_.status_interval : settings_.slow_status_interval;
}

void group_observer::poll_server(time_point now, const backend_directory::entry& entry,
                                 control_connection& own, proxy_output& out) {
    if (own.connection == connection_id{}) {
        if (now >= own.retry_at) {
            open(now, entry.registration, own, out);
        }
        return;
    }
    if (!own.sent.empty() && now - own.sent.front().at > settings_.answer_timeout) {
        log(out.common, log_component, log_level::warning,
            "silent backend=" + entry.registration.backend.str() +
                " ms=" + std::to_string(to_milliseconds(now - own.sent.front().at)));
        disconnect(now, own, out);
        return;
    }
    const bool status_open =
        std::any_of(own.sent.begin(), own.sent.end(),
                    [](const sent_command& each) { return each.kind == command_kind::status; });
    const auto interval = status_interval_for(now, entry);
    own.next_status = std::min(own.next_status, now + interval);
    if (!status_open && now >= own.next_status) {
        own.next_status = now + interval;
        backend_command status;
        status.kind = command_kind::status;
        command(now, entry.registration.backend, std::move(status), out);
    }
}

void group_observer::open(time_point now, const backend_registration& server,
                          control_connection& own, proxy_output& out) {
    if (!state_.configuration || state_.configuration->organisations.empty()) {
        return;
    }
    own.connection = connection_ids_.next();
    own.open = false;
    own.opened_at = now;
    own.first_sent_at = no_deadline;
    own.next_status = now;
    by_connection_[own.connection] = server.backend;
    out.sessions.emplace_back(
        open_server_connection{own.connection, server.endpoint, server.group,
                               state_.configuration->organisations.begin()->first, server.backend});
}

void group_observer::disconnect(time_point now, control_connection& own, proxy_output& out) {
    if (own.connection == connection_id{}) {
        return;
    }
    by_connection_.erase(own.connection);
    out.sessions.emplace_back(close_server_connection{own.connection});
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
    found->second.first_sent_at = std::min(found->second.first_sent_at, now);
    found->second.sent.push_back({command.kind, now});
    out.sessions.emplace_back(send_to_server{found->second.connection, {std::move(command)}});
    return true;
}

bool group_observer::on_ready(time_point /*now*/, const server_connected& ready,
                              proxy_output& /*out*/) {
    const auto found = by_connection_.find(ready.connection);
    if (found == by_connection_.end()) {
        return false;
    }
    controls_[found->second].open = true;
    return true;
}

bool group_observer::on_closed(time_point now, const server_disconnected& closed,
                               proxy_output& out) {
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
    own.ended_at = was_open ? now : own.ended_at;
    // The end of an open connection may mean that the process has ended: reconnect immediately.
    own.retry_at = was_open ? now : now + settings_.reconnect_delay;
    if (closed.reason == close_reason::refused) {
        own.refused_at = tried;
        observations_[backend] = {tried, {}};
        if (const auto* entry = state_.directory.find(backend)) {
            state_.leadership(entry->registration.group).on_refused(tried, backend);
        }
        report_refusal(now, backend, own, out);
    }
    return true;
}

bool group_observer::on_reply(time_point now, const server_replied& replied, proxy_output& out) {
    const auto found = by_connection_.find(replied.connection);
    if (found == by_connection_.end()) {
        return false;
    }
    const auto backend = found->second;
    auto& own = controls_[backend];
    // With several rows, some are from an earlier answer that was cut off.
    if (own.sent.empty() || replied.reply.rows.size() > 1) {
        log(out.common, log_component, log_level::warning,
            "foreign_reply backend=" + backend.str() +
                " connection=" + std::to_string(replied.connection.value()) +
                " pending=" + (own.sent.empty() ? "none" : to_string(own.sent.front().kind)) +
                " age_ms=" + (own.sent.empty() ? "-" : age_text(now, own.sent.front().at)) +
                " problem=" + to_string(replied.reply.problem) +
                " rows=" + std::to_string(replied.reply.rows.size()) + " outcome=closed");
        count(out.common, "member_foreign_replies_total", "verdict", "control");
        withdraw_evidence(now, backend, own);
        for (const auto& each : std::exchange(own.sent, {})) {
            answers_.push_back({backend, each.kind, {}});
        }
        disconnect(now, own, out);
        return true;
    }
    const auto command = own.sent.front();
    own.sent.pop_front();
    answers_.push_back({backend, command.kind, replied.status});
    const auto* entry = state_.directory.find(backend);
    if (replied.status && entry != nullptr) {
        heard_ = std::max(heard_, command.at);
        observations_[backend] = {command.at, replied.status};
        own.refused_at = time_point::min();
        state_.leadership(entry->registration.group)
            .on_status(now, command.at, backend, *replied.status,
                       state_.directory.listed(backend, command.at));
    }
    return true;
}

/// The foreign answer may be the own one of the last command, and the answer that counted for that
/// command a second one to an earlier command. The first answer on a connection is always its own.
void group_observer::withdraw_evidence(time_point now, const backend_server_id& backend,
                                       const control_connection& own) {
    const auto since = std::max(own.first_sent_at, now - second_answer_window);
    const auto last = observations_.find(backend);
    if (last != observations_.end() && last->second.requested_at > since) {
        observations_.erase(last);
    }
    if (const auto* entry = state_.directory.find(backend)) {
        state_.leadership(entry->registration.group).withdraw(backend, since);
    }
}

std::vector<control_answer> group_observer::take_answers() {
    return std::exchange(answers_, {});
}

time_point group_observer::refused_at(const backend_server_id& backend) const {
    const auto found = controls_.find(backend);
    return found == controls_.end() ? time_point::min() : found->second.refused_at;
}

const group_observer::report* group_observer::reported(const backend_server_id& backend) const {
    const auto found = reports_.find(backend);
    return found == reports_.end() ? nullptr : &found->second;
}

time_point group_observer::refused_by_others_at(const backend_server_id& backend) const {
    const auto found = refused_by_others_at_.find(backend);
    return found == refused_by_others_at_.end() ? time_point::min() : found->second;
}

void group_observer::leave(proxy_output& out) {
    for (auto& [backend, own] : controls_) {
        if (own.connection != connection_id{}) {
            out.sessions.emplace_back(close_server_connection{own.connection});
        }
    }
    controls_.clear();
    by_connection_.clear();
}

} // namespace jackdawvane
