#include "jackdawvane/failover/group_monitor.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <limits>

namespace jackdawvane {

namespace {

constexpr const char* log_component = "failover";

using call_state = backend_call::progress;

bool is_finished(const std::optional<backend_call>& call) noexcept {
    return call && call->state() != call_state::running;
}

time_point deadline_of(const std::optional<backend_call>& call) noexcept {
    return call ? call->next_deadline() : no_deadline;
}

void close_and_reset(std::optional<backend_call>& call, actions& out) {
    if (call) {
        call->close(out);
        call.reset();
    }
}

std::string text_of(term number) {
    return std::to_string(number.value());
}

} // namespace

group_monitor::group_monitor(monitored_backend watched, group_monitor_settings settings,
                             random_engine& random, node_id_sequences ids)
    : watched_{std::move(watched)}, settings_{settings}, random_{random}, ids_{ids},
      view_{watched_.group}, exchange_{watched_.group, watched_.backend, watched_.place,
                                       settings.reports} {}

void group_monitor::configure(const group_row& group,
                              const std::map<backend_server_id, vm_entry>& owners) {
    group_ = group;
    std::set<backend_server_id> servers;
    for (const auto& [backend, row] : group.backend_servers) {
        servers.insert(backend);
    }
    view_.configure(servers);
    exchange_.configure(owners);
}

void group_monitor::start(time_point now, actions& out) {
    running_ = true;
    silence_start_ = now;
    start_probe(now, out);
    advance(now, out);
}

void group_monitor::stop(actions& out) {
    running_ = false;
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        close_and_reset(*call, out);
    }
    if (promotion_) {
        promotion_->stop(out);
        promotion_.reset();
    }
}

bool group_monitor::on_connected(time_point now, connection_id connection, actions& out) {
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        if (*call && (*call)->on_connected(connection, out)) {
            return true;
        }
    }
    return promotion_ && promotion_->on_connected(now, connection, out);
}

bool group_monitor::on_disconnected(time_point now, connection_id connection,
                                    const std::string& reason, actions& out) {
    bool taken = promotion_ && promotion_->on_disconnected(now, connection, reason, out);
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        taken = taken || (*call && (*call)->on_disconnected(connection, reason));
    }
    if (taken) {
        advance(now, out);
    }
    return taken;
}

bool group_monitor::on_answer(time_point now, connection_id connection,
                              const backend_answer& answer, actions& out) {
    bool taken = promotion_ && promotion_->on_answer(now, connection, answer, out);
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        taken = taken || (*call && (*call)->on_answer(connection, answer, out));
    }
    if (taken) {
        advance(now, out);
    }
    return taken;
}

void group_monitor::on_report(time_point now, const group_report& report, actions& out) {
    if (report.group != watched_.group) {
        return;
    }
    const auto as_of = exchange_.receive(now, report);
    if (report.report.backend != watched_.backend) {
        view_.observe(now, report.report, as_of);
    }
    view_.learn_primary(report.known_term, report.primary);
    advance(now, out);
}

void group_monitor::on_status(time_point now, const backend_status& status, time_point requested_at,
                              actions& out) {
    apply_status(now, status, requested_at);
    advance(now, out);
}

void group_monitor::await_position(time_point now, log_position position, actions& out) {
    view_.await_position(now, position);
    exchange_.await_position(position);
    advance(now, out);
}

void group_monitor::suspect(time_point now, actions& out) {
    if (running_ && !probe_) {
        start_probe(now, out);
    }
}

void group_monitor::paused(time_point now, actions& out) {
    view_.forget_confirmations();
    exchange_.forget_echoes();
    if (!running_) {
        return;
    }
    stop(out);
    running_ = true;
    silence_start_ = now;
    reported_unreachable_since_.reset();
    own_primary_lost_at_.reset();
    leaderless_since_.reset();
    start_probe(now, out);
    advance(now, out);
}

void group_monitor::tick(time_point now, actions& out) {
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        if (*call) {
            (*call)->tick(now, out);
        }
    }
    if (promotion_) {
        promotion_->tick(now, out);
    }
    advance(now, out);
}

time_point group_monitor::next_deadline() const {
    if (!running_) {
        return no_deadline;
    }
    const std::array deadlines{
        deadline_of(poll_),
        deadline_of(probe_),
        deadline_of(follow_),
        deadline_of(primary_probe_),
        promotion_ ? promotion_->next_deadline() : no_deadline,
        probe_due_,
        follow_due(),
        next_election().due,
        exchange_.next_deadline(view_),
    };
    return *std::min_element(deadlines.begin(), deadlines.end());
}

void group_monitor::advance(time_point now, actions& out) {
    if (!running_) {
        return;
    }
    handle_poll_result(now, out);
    handle_probe_result(now, out);
    handle_follow_result(now, out);
    handle_primary_probe_result(now, out);
    handle_promotion_result(now);
    track_view_changes(now, out);
    if (now >= probe_due_) {
        start_probe(now, out);
    }
    if (now >= follow_due()) {
        start_follow(now, out);
    }
    start_election(now, out);
    exchange_.send_due(now, view_, status_requested_at_, out);
}

void group_monitor::handle_poll_result(time_point now, actions& out) {
    if (!is_finished(poll_)) {
        return;
    }
    if (poll_->state() == call_state::answered) {
        apply_status(now, poll_->answer().status, poll_->asked_at());
        send_poll(now, out);
        return;
    }
    log(out, log_component, log_level::info,
        watched_.backend.str() + " status poll failed: " + poll_->reason() +
            "; probing on a new connection");
    poll_.reset();
    if (!probe_) {
        start_probe(now, out);
    }
}

void group_monitor::handle_probe_result(time_point now, actions& out) {
    if (!is_finished(probe_)) {
        return;
    }
    auto finished = std::move(*probe_);
    probe_.reset();
    close_and_reset(poll_, out);
    if (finished.state() != call_state::answered) {
        mark_unreachable(now, finished.reason(), out);
        probe_due_ = now + settings_.reconnect;
        return;
    }
    apply_status(now, finished.answer().status, finished.asked_at());
    poll_.emplace(std::move(finished));
    send_poll(now, out);
}

void group_monitor::handle_follow_result(time_point now, actions& out) {
    if (!is_finished(follow_)) {
        return;
    }
    if (follow_->state() == call_state::answered) {
        apply_status(now, follow_->answer().status, follow_->asked_at());
    }
    close_and_reset(follow_, out);
}

void group_monitor::handle_primary_probe_result(time_point now, actions& out) {
    if (!is_finished(primary_probe_)) {
        return;
    }
    const auto finished = *primary_probe_;
    close_and_reset(primary_probe_, out);
    const auto& primary = finished.backend();
    const auto last_report_at = view_.last_report_at(primary).value_or(time_point::min());
    if (primary != view_.primary() ||
        (last_report_at > finished.asked_at() && view_.reachable(primary))) {
        return;
    }
    if (finished.state() != call_state::answered) {
        start_promotion(now, primary.str() + " does not answer: " + finished.reason(), out);
        return;
    }
    const auto& status = finished.answer().status;
    view_.observe(now, {primary, true, status, duration{0}}, finished.asked_at());
    silence_start_ = now;
    reported_unreachable_since_.reset();
    if (status.role != backend_role::primary && status.accepted_term <= view_.known_term()) {
        start_promotion(now, primary.str() + " is no longer the primary", out);
    }
}

void group_monitor::handle_promotion_result(time_point now) {
    if (!promotion_ || promotion_->state() == promotion::progress::running) {
        return;
    }
    const auto ended = std::move(*promotion_);
    promotion_.reset();
    last_proposed_ = std::max(last_proposed_, ended.proposal().proposed);
    view_.learn_term(ended.highest_seen());
    if (ended.state() == promotion::progress::won) {
        view_.learn_primary(ended.proposal().proposed, ended.chosen());
        return;
    }
    if (!ended.found_primary().empty()) {
        view_.learn_primary(ended.found_term(), ended.found_primary());
    }
    std::uniform_int_distribution<duration::rep> wait{settings_.backoff_min.count(),
                                                      settings_.backoff_max.count()};
    next_election_at_ = now + duration{wait(random_)};
    silence_start_ = now;
    if (reported_unreachable_since_) {
        reported_unreachable_since_ = now;
    }
}

void group_monitor::send_poll(time_point now, actions& out) {
    backend_request request;
    request.after = poll_->answer().status.position;
    request.wait = settings_.status_wait;
    const auto limit =
        settings_.status_wait + settings_.answer_timeout + network_allowance(watched_.backend);
    poll_->send(now, std::move(request), limit, out);
}

void group_monitor::start_probe(time_point now, actions& out) {
    probe_due_ = no_deadline;
    probe_.emplace(call_to(watched_.backend));
    probe_->send(now, backend_request{},
                 settings_.answer_timeout + network_allowance(watched_.backend), out);
}

void group_monitor::start_follow(time_point now, actions& out) {
    const auto primary = group_.backend_servers.find(view_.primary());
    next_follow_at_ = now + settings_.follow_interval;
    if (primary == group_.backend_servers.end()) {
        return;
    }
    backend_request request;
    request.operation = backend_operation::follow;
    request.expected_term = view_.known_term();
    request.primary = primary->second.endpoint;
    follow_.emplace(call_to(watched_.backend));
    follow_->send(now, std::move(request),
                  settings_.answer_timeout + network_allowance(watched_.backend), out);
    log(out, log_component, log_level::info,
        watched_.backend.str() + " is asked to follow " + view_.primary().str() + " in term " +
            text_of(view_.known_term()));
}

void group_monitor::start_election(time_point now, actions& out) {
    const auto next = next_election();
    if (now < next.due) {
        return;
    }
    if (!next.probe) {
        start_promotion(now, next.reason, out);
        return;
    }
    log(out, log_component, log_level::info,
        "group " + watched_.group.str() + ": " + next.reason + "; probing " +
            view_.primary().str());
    primary_probe_.emplace(call_to(view_.primary()));
    primary_probe_->send(now, backend_request{},
                         settings_.answer_timeout + network_allowance(view_.primary()), out);
}

void group_monitor::start_promotion(time_point now, const std::string& reason, actions& out) {
    const auto highest = std::max(view_.highest_term(), last_proposed_);
    if (promotion_ || highest.value() == std::numeric_limits<std::uint64_t>::max()) {
        return;
    }
    last_proposed_ = highest.next();
    // The random part distinguishes two incarnations of one VM.
    const vm_id candidate{watched_.self.str() + "/" + watched_.backend.str() + "/" +
                          std::to_string(random_())};
    log(out, log_component, log_level::warning,
        "group " + watched_.group.str() + ": " + reason + "; starting a promotion for term " +
            text_of(last_proposed_) + " or later");
    promotion_.emplace(promotion_proposal{watched_.group, last_proposed_,
                                          group_.backend_servers.size(), candidate},
                       promotion_servers(own_primary_lost_at_ || !handover_possible()), ids_,
                       settings_.promotion);
    promotion_->start(now, out);
}

void group_monitor::apply_status(time_point now, const backend_status& status,
                                 time_point requested_at) {
    if (view_.observe(now, {watched_.backend, true, status, duration{0}}, requested_at)) {
        exchange_.mark_urgent();
    }
    status_requested_at_ = std::max(status_requested_at_, requested_at);
    // Waiting for the first entry after an idle period is replication lag, not a missing `follow`.
    if (status.position > last_own_position_ || !is_behind_primary()) {
        last_progress_at_ = now;
    }
    last_own_position_ = status.position;
    const bool lost_role = own_primary() && status.role != backend_role::primary &&
                           status.accepted_term == view_.known_term() &&
                           requested_at > tracked_term_since_ &&
                           tracked_term_ == view_.known_term();
    if (!lost_role) {
        own_primary_lost_at_.reset();
    } else if (!own_primary_lost_at_) {
        own_primary_lost_at_ = now;
    }
}

void group_monitor::mark_unreachable(time_point now, const std::string& reason, actions& out) {
    if (view_.observe(now, {watched_.backend, false, {}, duration{0}}, std::nullopt)) {
        exchange_.mark_urgent();
        log(out, log_component, log_level::warning,
            watched_.backend.str() + " is unreachable: " + reason);
    }
    if (own_primary() && !own_primary_lost_at_) {
        own_primary_lost_at_ = now;
    }
}

void group_monitor::track_view_changes(time_point now, actions& out) {
    if (view_.known_term() != tracked_term_) {
        on_new_primary(now, out);
    }
    if (view_.highest_term() <= view_.known_term()) {
        leaderless_since_.reset();
    } else if (!leaderless_since_ || leaderless_term_ != view_.highest_term()) {
        leaderless_since_ = now;
        leaderless_term_ = view_.highest_term();
    }
    const bool reported_unreachable = !own_primary() && view_.last_report_at(view_.primary()) &&
                                      !view_.reachable(view_.primary());
    if (!reported_unreachable) {
        reported_unreachable_since_.reset();
    } else if (!reported_unreachable_since_) {
        reported_unreachable_since_ = now;
    }
}

void group_monitor::on_new_primary(time_point now, actions& out) {
    tracked_term_ = view_.known_term();
    tracked_term_since_ = now;
    silence_start_ = now;
    own_primary_lost_at_.reset();
    next_follow_at_ = now;
    last_progress_at_ = now;
    exchange_.reset_awaited_positions();
    exchange_.mark_urgent();
    log(out, log_component, log_level::info,
        "group " + watched_.group.str() + ": " + view_.primary().str() +
            " is the primary of term " + text_of(tracked_term_));
}

time_point group_monitor::follow_due() const {
    const auto* own = view_.status(watched_.backend);
    const bool possible = running_ && own != nullptr && reachable() && !own_primary() && !follow_ &&
                          own->accepted_term <= view_.known_term();
    if (!possible || view_.known_term() == term{}) {
        return no_deadline;
    }
    if (own->accepted_term < view_.known_term() || own->last_entry_term < view_.known_term() ||
        own->role == backend_role::primary) {
        return next_follow_at_;
    }
    return is_behind_primary()
               ? std::max(next_follow_at_, last_progress_at_ + settings_.follow_interval)
               : no_deadline;
}

bool group_monitor::is_behind_primary() const {
    const auto* own = view_.status(watched_.backend);
    const auto* primary = view_.status(view_.primary());
    return primary != nullptr && primary->last_entry_term == own->last_entry_term &&
           primary->position > own->position;
}

} // namespace jackdawvane
