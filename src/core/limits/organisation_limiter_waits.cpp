#include "jackdawvane/limits/organisation_limiter.hpp"

#include <utility>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

/// @file
/// @brief Requests of this VM's callers that wait by priority class for a token of a holder.

namespace jackdawvane {

namespace {

/// Requests that may wait; the same bound as without classes.
constexpr std::size_t max_waits = 256;
/// A token of this VM's own share is preferred to one of another VM that comes this much earlier.
constexpr duration network_time = std::chrono::milliseconds{5};
/// One part in this many of the time in a holder's queue is not relied on: its clock may run
/// faster.
constexpr int clock_margin_divisor = 10;
/// First time for which a holder that does not answer is not asked; doubled each time.
constexpr duration silence_backoff = std::chrono::milliseconds{250};
constexpr duration shortest_retry = std::chrono::milliseconds{1};
constexpr duration longest_retry = std::chrono::seconds{10};
/// Token requests that each class leaves to the classes above it. Without this, lower classes that
/// get no tokens used up the budget, and a sixth of the highest class was refused for lack of it.
constexpr double budget_kept_for_higher_classes = 15;
/// Refusals of an organisation are logged together, once in this time.
constexpr duration log_interval = std::chrono::seconds{1};
constexpr double microseconds_per_second = 1e6;

duration time_for(double tokens, double rate) noexcept {
    constexpr double longest = 1e12;
    return rate <= 0 ? longest_retry
                     : duration{static_cast<duration::rep>(
                           std::min(longest, tokens / rate * microseconds_per_second))};
}

std::string class_name(std::uint32_t priority) {
    return std::to_string(admission_queue::class_of(priority));
}

} // namespace

bool organisation_limiter::queues_by_class() const {
    const auto candidates = group_.candidates();
    return context_.limits.queues_by_class &&
           (holds_whole_tokens() || candidates.empty() ||
            std::any_of(candidates.begin(), candidates.end(), [&](const auto& each) {
                return each.fraction * fleet_limits_.burst >= 1;
            }));
}

admission_entry organisation_limiter::entry_of(const class_wait& wait) const {
    return {request_id{last_queue_id_ + 1}, organisation_, wait.priority, 1, wait.deadline};
}

admission organisation_limiter::admit_by_class(time_point now, const admission_request& request,
                                               time_point deadline, actions& out) {
    last_shortage_ = now;
    class_wait wait;
    wait.priority = request.priority;
    wait.arrived = now;
    wait.deadline = deadline;
    const bool full = waits_.size() >= max_waits;
    if (full || deadline <= now || !place_wait(now, request.handle, wait, out)) {
        report_refusal(now, request.handle, wait, full ? "queue_full" : "no_token_in_time", out);
        return {request.handle, admission_state::refused, refusal_by_class(now, wait)};
    }
    waits_.insert_or_assign(request.handle, std::move(wait));
    count(out, "rate_waits_total", "class", class_name(request.priority));
    return {request.handle, admission_state::pending, {error_kind::none, {}, {}}};
}

/// Queues @a wait here or at the holder with the shortest expected wait.
/// @return false if no holder is known that can grant a token in time
bool organisation_limiter::place_wait(time_point now, request_id handle, class_wait& wait,
                                      actions& out) {
    const auto entry = entry_of(wait);
    const bool own = holds_whole_tokens() && queue_.can_serve(now, entry);
    duration expected{0};
    const auto* const holder = choose_holder(now, wait, expected);
    const bool near =
        holder == nullptr || (own && queue_.expected_wait(now, entry) <= expected + network_time);
    // The first holder is asked in any case: what this VM knows of its queue may be old.
    const bool worth_asking =
        holder != nullptr && (wait.tried.empty() || expected <= wait.deadline - now);
    if (!near && worth_asking && ask_holder(now, handle, wait, *holder, out)) {
        return true;
    }
    if (own && queue_.push(entry)) {
        last_queue_id_ = entry.id.value();
        wait.queued = entry.id;
        origins_.emplace(entry.id, queue_origin{{}, handle, now, {}, 0, false});
        return true;
    }
    return waits_for_holder(now, wait);
}

/// Whether a holder may become available in time: this VM's share is not confirmed yet, or the
/// holders have not answered and may be asked again.
bool organisation_limiter::waits_for_holder(time_point now, const class_wait& wait) const {
    if (!wait.tried.empty() || wait.deadline <= now) {
        return false;
    }
    const auto candidates = group_.candidates();
    if (candidates.empty() || (ledger().target() && !uses_share() && !ledger().lapsed())) {
        return !ledger().lapsed();
    }
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto& each) {
        const auto known = holders_.find(each.vm);
        return known != holders_.end() && known->second.ask_at > now &&
               known->second.ask_at < wait.deadline;
    });
}

const token_donors::candidate*
organisation_limiter::choose_holder(time_point now, const class_wait& wait, duration& best) {
    const token_donors::candidate* chosen = nullptr;
    double best_score{0};
    for (const auto& each : group_.candidates()) {
        const auto& view = holders_[each.vm];
        if (each.fraction * fleet_limits_.burst < 1 || view.ask_at > now ||
            wait.tried.contains(each.vm)) {
            continue;
        }
        const auto expected = expected_wait_at(now, each, wait.priority);
        const double score = tokens_at(now, each) * each.preference;
        if (chosen == nullptr || expected < best || (expected == best && score > best_score)) {
            chosen = &each;
            best = expected;
            best_score = score;
        }
    }
    return chosen;
}

/// Tokens that @a holder reported and its refill since, less the requests that it has not answered.
double organisation_limiter::tokens_at(time_point now,
                                       const token_donors::candidate& holder) const {
    const double capacity = holder.fraction * fleet_limits_.burst;
    const auto known = holders_.find(holder.vm);
    double tokens = capacity;
    if (known != holders_.end() && known->second.known) {
        const auto age = static_cast<double>((now - known->second.heard_at).count());
        tokens = std::min(capacity, known->second.left + holder.fraction * fleet_limits_.rate *
                                                             age / microseconds_per_second);
    }
    const auto asked = std::count_if(opened_.begin(), opened_.end(), [&](const auto& each) {
        return each.second.donor == holder.vm;
    });
    return tokens - static_cast<double>(asked);
}

/// Wait that @a holder reported, less the time since, plus that behind this VM's own requests.
duration organisation_limiter::expected_wait_at(time_point now,
                                                const token_donors::candidate& holder,
                                                std::uint32_t priority) const {
    const auto index = admission_queue::class_of(priority);
    const auto known = holders_.find(holder.vm);
    duration expected{0};
    if (known != holders_.end() && known->second.known) {
        const auto& view = known->second;
        expected = std::max(duration{0}, view.wait.at(index) - (now - view.wait_at.at(index)));
    }
    const double missing = 1 - tokens_at(now, holder);
    return missing <= 0
               ? expected
               : std::max(expected, time_for(missing, holder.fraction * fleet_limits_.rate));
}

bool organisation_limiter::ask_holder(time_point now, request_id handle, class_wait& wait,
                                      const token_donors::candidate& holder, actions& out) {
    const auto entry = context_.live.find(holder.vm);
    const auto index = static_cast<double>(admission_queue::class_of(wait.priority));
    if (entry == context_.live.end() ||
        request_budget_.tokens(now) < 1 + index * budget_kept_for_higher_classes ||
        !request_budget_.take(now, 1)) {
        return false;
    }
    // Random ids: a delayed grant to an earlier incarnation must not match a request of this one.
    const request_id id{context_.random() >> 1U};
    const auto queue_for = wait.deadline - now;
    const auto validity = context_.limits.grant_validity;
    opened_.insert_or_assign(
        id, open_request{handle, holder.vm, wait.priority, now, wait.deadline + validity});
    wait.asked = id;
    short_of_tokens_ = true;
    out.emplace_back(send_to_peer{holder.vm, entry->second.peer, peer_channel::stream,
                                  token_request{id, organisation_, 1 + prefetch_of(now), 1,
                                                validity, wait.priority, queue_for}});
    return true;
}

bool organisation_limiter::accept_by_class(time_point now, const vm_id& from,
                                           const token_grant& message, actions& out) {
    const auto found = opened_.find(message.id);
    if (found == opened_.end() || found->second.donor != from) {
        return false;
    }
    const auto request = found->second;
    opened_.erase(found);
    auto& view = holders_[from];
    const auto index = admission_queue::class_of(request.priority);
    view.wait.at(index) = message.wait;
    view.wait_at.at(index) = now;
    view.left = message.left;
    view.known = true;
    view.heard_at = now;
    view.backoff = {};
    view.ask_at = time_point::min();
    sync_bucket_limits(now);
    const auto queued = message.queued - message.queued / clock_margin_divisor;
    const bool late = now > request.sent + queued + context_.limits.grant_validity;
    const auto own = waits_.find(request.handle);
    const bool waits = own != waits_.end() && own->second.asked == message.id;
    if (waits) {
        own->second.asked = {};
    }
    if (message.amount >= 1 && !late) {
        request_budget_.add(now, 1);
        use_grant(now, from, message, waits ? std::optional{request.handle} : first_wait(), out);
    } else if (waits) {
        own->second.tried.insert(from);
        if (message.retry_after) {
            own->second.retry_after = message.retry_after;
        }
    }
    update(now, out);
    return true;
}

/// Spends one token on the request @a handle, stores the rest in this VM's share, and returns what
/// it can't store.
void organisation_limiter::use_grant(time_point now, const vm_id& from, const token_grant& message,
                                     std::optional<request_id> handle, actions& out) {
    double rest = message.amount;
    if (handle) {
        rest -= 1;
        admit_wait(now, *handle, out);
    }
    if (uses_share()) {
        const double before = bucket_.tokens(now);
        bucket_.add(now, rest);
        rest -= bucket_.tokens(now) - before;
    }
    acknowledge(from, message.id, out, std::max(0.0, rest));
}

/// Request of the highest class that is not in this VM's own queue, if there is one.
std::optional<request_id> organisation_limiter::first_wait() const {
    std::optional<request_id> first;
    std::pair<std::size_t, time_point> order{admission_queue::classes, no_deadline};
    for (const auto& [handle, wait] : waits_) {
        const std::pair own{admission_queue::class_of(wait.priority), wait.deadline};
        if (wait.queued == request_id{} && own < order) {
            first = handle;
            order = own;
        }
    }
    return first;
}

void organisation_limiter::admit_wait(time_point now, request_id handle, actions& out) {
    const auto& wait = waits_.at(handle);
    out.emplace_back(measurement{metric_kind::histogram, "rate_wait", "class",
                                 class_name(wait.priority),
                                 static_cast<double>((now - wait.arrived).count())});
    record_decision(admission_state::admitted, handle, now);
    end_wait(handle);
}

void organisation_limiter::refuse_wait(time_point now, request_id handle, const char* reason,
                                       actions& out) {
    const auto found = waits_.find(handle);
    if (found == waits_.end()) {
        return;
    }
    report_refusal(now, handle, found->second, reason, out);
    context_.decisions.push_back(
        {handle, admission_state::refused, refusal_by_class(now, found->second)});
    end_wait(handle);
}

/// The retry time of the last holder that refused, else one calculated from this VM's own queue or
/// from what the holders last reported.
error organisation_limiter::refusal_by_class(time_point now, const class_wait& wait) {
    auto after = longest_retry;
    if (wait.retry_after) {
        after = *wait.retry_after;
    } else if (holds_whole_tokens()) {
        after = queue_.retry_after(now, entry_of(wait), context_.random);
    } else if (fleet_limits_.rate > 0) {
        auto expected = longest_retry;
        for (const auto& each : group_.candidates()) {
            expected = std::min(expected, expected_wait_at(now, each, wait.priority));
        }
        expected = std::max({expected, time_for(1, fleet_limits_.rate), shortest_retry});
        std::uniform_int_distribution<duration::rep> jitter{0, expected.count()};
        after = expected + duration{jitter(context_.random)};
    }
    return {error_kind::rate_exceeded, "organisation " + organisation_.str() + " is over its rate",
            std::clamp(after, shortest_retry, longest_retry)};
}

void organisation_limiter::report_refusal(time_point now, request_id handle, const class_wait& wait,
                                          const char* reason, actions& out) {
    count(out, "rate_refusals_total", "reason", reason);
    count(out, "rate_refusals_by_class_total", "class", class_name(wait.priority));
    ++unlogged_;
    if (now < next_log_at_) {
        return;
    }
    next_log_at_ = now + log_interval;
    log(out, "limits", log_level::info,
        "refused id=" + std::to_string(handle.value()) + " organisation=" + organisation_.str() +
            " class=" + class_name(wait.priority) + " reason=" + reason +
            " waited_ms=" + std::to_string(to_milliseconds(now - wait.arrived)) + " waiting=" +
            std::to_string(waits_.size()) + " queued=" + std::to_string(queue_.size()) +
            " refusals=" + std::to_string(std::exchange(unlogged_, 0)));
}

void organisation_limiter::end_wait(request_id handle) {
    const auto found = waits_.find(handle);
    if (found == waits_.end()) {
        return;
    }
    if (found->second.queued != request_id{}) {
        std::ignore = queue_.remove(found->second.queued);
        origins_.erase(found->second.queued);
    }
    waits_.erase(found);
}

void organisation_limiter::update_by_class(time_point now, actions& out) {
    if (!holds_whole_tokens() && !queue_.empty()) {
        flush_queue(now, out);
    }
    expire_requests(now);
    std::vector<request_id> handles;
    for (auto& [handle, wait] : waits_) {
        const auto request = opened_.find(wait.asked);
        const bool open = request != opened_.end() && is_candidate(request->second.donor);
        if (wait.asked != request_id{} && !open) {
            wait.asked = {}; // The holder is gone.
        }
        if (wait.deadline <= now || (wait.asked == request_id{} && wait.queued == request_id{})) {
            handles.push_back(handle);
        }
    }
    for (const auto handle : handles) {
        auto& wait = waits_.at(handle);
        if (wait.deadline <= now) {
            refuse_wait(now, handle, "expired", out);
        } else if (!place_wait(now, handle, wait, out)) {
            refuse_wait(now, handle, "no_token_in_time", out);
        }
    }
}

bool organisation_limiter::is_candidate(const vm_id& vm) const {
    const auto candidates = group_.candidates();
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const auto& each) { return each.vm == vm; });
}

/// A holder that has sent nothing since an expired request is probably unreachable.
void organisation_limiter::expire_requests(time_point now) {
    std::erase_if(opened_, [&](const auto& each) {
        const auto& request = each.second;
        if (request.expiry > now) {
            return false;
        }
        auto& view = holders_[request.donor];
        if (view.heard_at < request.sent && view.ask_at <= now) {
            view.backoff =
                std::clamp(view.backoff * 2, silence_backoff, token_donors::longest_backoff);
            view.ask_at = now + view.backoff;
        }
        return true;
    });
}

time_point organisation_limiter::next_deadline_by_class(time_point now) const {
    auto due = queue_.next_deadline();
    if (!queue_.empty() && holds_whole_tokens()) {
        due = std::min(due, bucket_.time_of(now, 1));
    }
    for (const auto& [id, request] : opened_) {
        due = std::min(due, request.expiry);
    }
    for (const auto& [handle, wait] : waits_) {
        due = std::min(due, wait.deadline);
        if (wait.asked == request_id{} && wait.queued == request_id{}) {
            for (const auto& [vm, view] : holders_) {
                due = view.ask_at > now ? std::min(due, view.ask_at) : due;
            }
        }
    }
    return due;
}

} // namespace jackdawvane
