#include "jackdawvane/failover/group_monitor.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <limits>

namespace jackdawvane {

namespace {

constexpr const char* log_part = "failover";

using call_state = backend_call::progress;

bool is_finished(const std::optional<backend_call>& call) noexcept {
    return call && call->state() != call_state::running;
}

time_point deadline_of(const std::optional<backend_call>& call) noexcept {
    return call ? call->next_deadline() : no_deadline;
}

void drop(std::optional<backend_call>& call, actions& out) {
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
                             random_engine& random, node_ids ids)
    : watched_{std::move(watched)}, settings_{settings}, random_{random}, ids_{ids},
      view_{watched_.group}, exchange_{watched_.group, watched_.backend, watched_.place,
                                       settings.reports} {}

void group_monitor::configure(const group_row& group,
                              const std::map<backend_server_id, vm_entry>& owners) {
    group_ = group;
    std::set<backend_server_id> members;
    for (const auto& [backend, row] : group.backend_servers) {
        members.insert(backend);
    }
    view_.configure(members);
    exchange_.configure(owners);
}

void group_monitor::start(time_point now, actions& out) {
    running_ = true;
    quiet_since_ = now;
    start_probe(now, out);
    react(now, out);
}

void group_monitor::stop(actions& out) {
    running_ = false;
    for (auto* call : {&poll_, &probe_, &follow_, &primary_probe_}) {
        drop(*call, out);
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
        react(now, out);
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
        react(now, out);
    }
    return taken;
}

void group_monitor::on_report(time_point now, const group_report& report, actions& out) {
    if (report.group != watched_.group) {
        return;
    }
    const auto measured = exchange_.receive(now, report);
    if (report.report.backend != watched_.backend) {
        view_.observe(now, report.report, measured);
    }
    view_.learn_primary(report.known_term, report.primary);
    react(now, out);
}

void group_monitor::on_status(time_point now, const backend_status& status, time_point asked,
                              actions& out) {
    take_status(now, status, asked);
    react(now, out);
}

void group_monitor::want_position(time_point now, log_position position, actions& out) {
    view_.expect(now, position);
    exchange_.want(position);
    react(now, out);
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
    quiet_since_ = now;
    told_lost_since_.reset();
    lost_primary_at_.reset();
    unled_since_.reset();
    start_probe(now, out);
    react(now, out);
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
    react(now, out);
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

void group_monitor::react(time_point now, actions& out) {
    if (!running_) {
        return;
    }
    review_poll(now, out);
    review_probe(now, out);
    review_follow(now, out);
    review_primary_probe(now, out);
    review_promotion(now);
    note_view_changes(now, out);
    if (now >= probe_due_) {
        start_probe(now, out);
    }
    if (now >= follow_due()) {
        start_follow(now, out);
    }
    start_election(now, out);
    exchange_.send_due(now, view_, measured_, out);
}

void group_monitor::review_poll(time_point now, actions& out) {
    if (!is_finished(poll_)) {
        return;
    }
    if (poll_->state() == call_state::answered) {
        take_status(now, poll_->answer().status, poll_->asked_at());
        poll_again(now, out);
        return;
    }
    log(out, log_part, log_level::info,
        watched_.backend.str() + " status connection: " + poll_->reason() + "; probing");
    poll_.reset();
    if (!probe_) {
        start_probe(now, out);
    }
}

void group_monitor::review_probe(time_point now, actions& out) {
    if (!is_finished(probe_)) {
        return;
    }
    auto finished = std::move(*probe_);
    probe_.reset();
    drop(poll_, out);
    if (finished.state() != call_state::answered) {
        take_unreachable(now, finished.reason(), out);
        probe_due_ = now + settings_.reconnect;
        return;
    }
    take_status(now, finished.answer().status, finished.asked_at());
    poll_.emplace(std::move(finished));
    poll_again(now, out);
}

void group_monitor::review_follow(time_point now, actions& out) {
    if (!is_finished(follow_)) {
        return;
    }
    if (follow_->state() == call_state::answered) {
        take_status(now, follow_->answer().status, follow_->asked_at());
    }
    drop(follow_, out);
}

void group_monitor::review_primary_probe(time_point now, actions& out) {
    if (!is_finished(primary_probe_)) {
        return;
    }
    const auto finished = *primary_probe_;
    drop(primary_probe_, out);
    const auto& primary = finished.backend();
    const auto heard = view_.heard(primary).value_or(time_point::min());
    if (primary != view_.primary() || (heard > finished.asked_at() && view_.reachable(primary))) {
        return;
    }
    if (finished.state() != call_state::answered) {
        start_promotion(now, primary.str() + " does not answer: " + finished.reason(), out);
        return;
    }
    const auto& status = finished.answer().status;
    view_.observe(now, {primary, true, status, duration{0}}, finished.asked_at());
    quiet_since_ = now;
    told_lost_since_.reset();
    if (status.role != backend_role::primary && status.accepted_term <= view_.known_term()) {
        start_promotion(now, primary.str() + " is not the primary any more", out);
    }
}

void group_monitor::review_promotion(time_point now) {
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
    election_after_ = now + duration{wait(random_)};
    quiet_since_ = now;
    if (told_lost_since_) {
        told_lost_since_ = now;
    }
}

void group_monitor::poll_again(time_point now, actions& out) {
    backend_request request;
    request.after = poll_->answer().status.position;
    request.wait = settings_.status_wait;
    const auto limit = settings_.status_wait + settings_.answer_limit + allowance(watched_.backend);
    poll_->send(now, std::move(request), limit, out);
}

void group_monitor::start_probe(time_point now, actions& out) {
    probe_due_ = no_deadline;
    probe_.emplace(call_to(watched_.backend));
    probe_->send(now, backend_request{}, settings_.answer_limit + allowance(watched_.backend), out);
}

void group_monitor::start_follow(time_point now, actions& out) {
    const auto primary = group_.backend_servers.find(view_.primary());
    follow_after_ = now + settings_.follow_interval;
    if (primary == group_.backend_servers.end()) {
        return;
    }
    backend_request request;
    request.operation = backend_operation::follow;
    request.expected_term = view_.known_term();
    request.primary = primary->second.endpoint;
    follow_.emplace(call_to(watched_.backend));
    follow_->send(now, std::move(request), settings_.answer_limit + allowance(watched_.backend),
                  out);
    log(out, log_part, log_level::info,
        watched_.backend.str() + " told to follow " + view_.primary().str() + " in term " +
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
    log(out, log_part, log_level::info,
        "group " + watched_.group.str() + ": " + next.reason + "; probing " +
            view_.primary().str());
    primary_probe_.emplace(call_to(view_.primary()));
    primary_probe_->send(now, backend_request{},
                         settings_.answer_limit + allowance(view_.primary()), out);
}

void group_monitor::start_promotion(time_point now, const std::string& reason, actions& out) {
    const auto highest = std::max(view_.highest_term(), last_proposed_);
    if (promotion_ || highest.value() == std::numeric_limits<std::uint64_t>::max()) {
        return;
    }
    last_proposed_ = highest.next();
    // The random part keeps two lives of one VM apart.
    const vm_id candidate{watched_.self.str() + "/" + watched_.backend.str() + "/" +
                          std::to_string(random_())};
    log(out, log_part, log_level::warning,
        "group " + watched_.group.str() + ": " + reason + "; promoting for term " +
            text_of(last_proposed_) + " or later");
    promotion_.emplace(promotion_proposal{watched_.group, last_proposed_,
                                          group_.backend_servers.size(), candidate},
                       promotion_members(lost_primary_at_ || !handover_possible()), ids_,
                       settings_.promotion);
    promotion_->start(now, out);
}

void group_monitor::take_status(time_point now, const backend_status& status, time_point asked) {
    if (view_.observe(now, {watched_.backend, true, status, duration{0}}, asked)) {
        exchange_.announce();
    }
    measured_ = std::max(measured_, asked);
    // Waiting for a first entry after an idle time is replication lag, not a missing follow.
    if (status.position > follow_position_ || !is_behind_quietly()) {
        progress_at_ = now;
    }
    follow_position_ = status.position;
    const bool lost_role = own_primary() && status.role != backend_role::primary &&
                           status.accepted_term == view_.known_term() && asked > term_noted_at_ &&
                           noted_term_ == view_.known_term();
    if (!lost_role) {
        lost_primary_at_.reset();
    } else if (!lost_primary_at_) {
        lost_primary_at_ = now;
    }
}

void group_monitor::take_unreachable(time_point now, const std::string& reason, actions& out) {
    if (view_.observe(now, {watched_.backend, false, {}, duration{0}}, std::nullopt)) {
        exchange_.announce();
        log(out, log_part, log_level::warning,
            watched_.backend.str() + " is unreachable: " + reason);
    }
    if (own_primary() && !lost_primary_at_) {
        lost_primary_at_ = now;
    }
}

void group_monitor::note_view_changes(time_point now, actions& out) {
    if (view_.known_term() != noted_term_) {
        note_term(now, out);
    }
    if (view_.highest_term() <= view_.known_term()) {
        unled_since_.reset();
    } else if (!unled_since_ || unled_term_ != view_.highest_term()) {
        unled_since_ = now;
        unled_term_ = view_.highest_term();
    }
    const bool told_lost =
        !own_primary() && view_.heard(view_.primary()) && !view_.reachable(view_.primary());
    if (!told_lost) {
        told_lost_since_.reset();
    } else if (!told_lost_since_) {
        told_lost_since_ = now;
    }
}

void group_monitor::note_term(time_point now, actions& out) {
    noted_term_ = view_.known_term();
    term_noted_at_ = now;
    quiet_since_ = now;
    lost_primary_at_.reset();
    follow_after_ = now;
    progress_at_ = now;
    exchange_.forget_wanted();
    exchange_.announce();
    log(out, log_part, log_level::info,
        "group " + watched_.group.str() + ": " + view_.primary().str() +
            " is the primary of term " + text_of(noted_term_));
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
        return follow_after_;
    }
    return is_behind_quietly() ? std::max(follow_after_, progress_at_ + settings_.follow_interval)
                               : no_deadline;
}

bool group_monitor::is_behind_quietly() const {
    const auto* own = view_.status(watched_.backend);
    const auto* primary = view_.status(view_.primary());
    return primary != nullptr && primary->last_entry_term == own->last_entry_term &&
           primary->position > own->position;
}

} // namespace jackdawvane
