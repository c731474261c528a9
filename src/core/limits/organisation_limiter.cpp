#include "jackdawvane/limits/organisation_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace jackdawvane {

namespace {

/// Requests that wait for tokens of other VMs; beyond this the fleet has none left.
constexpr std::size_t longest_line = 256;
/// Donors that are asked at the same time.
constexpr std::size_t parallel_requests = 6;
/// A VM that lately had no token itself keeps what it needs for the next moments; else tokens of
/// an organisation above its rate would travel to and fro, three messages each.
constexpr duration short_memory = std::chrono::milliseconds{200};
constexpr double kept_seconds = 0.1;
/// Token requests that may be sent at once, for a burst of callers at one VM.
constexpr double message_burst = 60;
/// A holder asks for its deficit of this time ahead, which keeps the number of messages low.
constexpr double ahead_seconds = 1;
/// It also asks for this part of its free capacity: one token at a time takes a message each.
constexpr double ahead_room = 0.4;
constexpr duration shortest_retry = std::chrono::milliseconds{1};
constexpr duration longest_retry = std::chrono::seconds{10};
/// Longest time before the confirmation of an inherited part for which it has refilled.
constexpr duration longest_inheritance = std::chrono::seconds{1};

} // namespace

organisation_limiter::organisation_limiter(organisation_id organisation, share_group& group,
                                           limiter_context& context, time_point started)
    : organisation_{std::move(organisation)}, group_{group}, context_{context}, started_{started} {
    messages_.set_limits(started, context.limits.messages_per_second, message_burst);
    messages_.add(started, message_burst);
}

void organisation_limiter::configure(time_point now, share_limits whole, actions& out) {
    whole_ = whole;
    donors_.set_limits(whole);
    update(now, out);
}

void organisation_limiter::retire(time_point now) {
    for (const auto& each : std::exchange(waiting_, {})) {
        decide(admission_state::refused, each.handle, now);
    }
}

void organisation_limiter::share_changed(time_point now, actions& out) {
    update(now, out);
}

admission organisation_limiter::admit(time_point now, request_id handle, time_point deadline,
                                      actions& out) {
    note_arrival(now);
    follow_share(now);
    serve(now);
    if (waiting_.empty() && take(now)) {
        return {handle, admission_state::admitted, {error_kind::none, {}, {}}};
    }
    consider_share_request(now, out);
    const bool joins = ledger().target() && !uses_share();
    const auto patience = joins ? context_.limits.joining : context_.limits.pending;
    const auto give_up = std::min(deadline, now + patience);
    if (waiting_.size() >= longest_line || give_up <= now) {
        short_at_ = now;
        return {handle, admission_state::refused, refusal(now)};
    }
    waiting_.push_back({handle, give_up});
    ask(now, out);
    if (donors_.open() == 0 && donors_.next_chance(now, group_.candidates()) > give_up &&
        own_chance(now) > give_up) {
        waiting_.pop_back();
        return {handle, admission_state::refused, refusal(now)};
    }
    return {handle, admission_state::pending, {error_kind::none, {}, {}}};
}

void organisation_limiter::withdraw(request_id handle) {
    std::erase_if(waiting_, [&](const waiter& each) { return each.handle == handle; });
}

void organisation_limiter::tick(time_point now, actions& out) {
    update(now, out);
}

time_point organisation_limiter::next_deadline(time_point now) const {
    auto due = donors_.next_deadline();
    for (const auto& [key, open] : transits_) {
        due = std::min(due, open.expiry);
    }
    for (const auto& each : partial_grants_) {
        due = std::min(due, each.expiry);
    }
    for (const auto& each : waiting_) {
        due = std::min(due, each.deadline);
    }
    if (!waiting_.empty()) {
        if (uses_share()) {
            due = std::min(due, bucket_.time_of(now, 1));
        }
        const auto chance = donors_.next_chance(now, group_.candidates());
        if (chance > now) { // An earlier one was not used for a reason that time does not change.
            due = std::min(due, chance);
        }
    }
    return due;
}

/// Brings everything up to date after an event.
void organisation_limiter::update(time_point now, actions& out) {
    follow_share(now);
    take_inheritance(now);
    settle_expired(now);
    donors_.expire(now);
    serve(now);
    spend_partial_grants(now, out);
    ask(now, out);
    refuse_hopeless(now);
    if (waiting_.empty()) {
        drop_partial_grants(out);
    }
}

share_limits organisation_limiter::usable() const noexcept {
    const double fraction = ledger().usable_fraction();
    return {whole_.rate * fraction, whole_.burst * fraction};
}

void organisation_limiter::follow_share(time_point now) {
    const auto part = usable();
    if (part.rate != bucket_.rate() || part.burst != bucket_.capacity()) {
        bucket_.set_limits(now, part.rate, part.burst);
    }
}

/// The earlier life of this VM ended before this one started; since then its part has refilled.
void organisation_limiter::take_inheritance(time_point now) {
    if (inheritance_taken_ || !uses_share() || !ledger().holder()) {
        return;
    }
    inheritance_taken_ = true;
    if (ledger().inherited()) {
        const auto refilled = std::min(now - started_, longest_inheritance);
        bucket_.add(now, bucket_.rate() * std::chrono::duration<double>(refilled).count());
    }
}

bool organisation_limiter::uses_share() const noexcept {
    return ledger().verified();
}

bool organisation_limiter::take(time_point now) {
    return uses_share() && bucket_.take(now, 1);
}

double organisation_limiter::free_tokens(time_point now) const {
    if (!uses_share()) {
        return 0;
    }
    const bool short_lately = now < short_at_ + short_memory;
    const double kept = short_lately ? demand(now) * kept_seconds : 0;
    return std::max(0.0, bucket_.tokens(now) - static_cast<double>(waiting_.size()) - kept);
}

void organisation_limiter::serve(time_point now) {
    while (!waiting_.empty() && take(now)) {
        decide(admission_state::admitted, waiting_.front().handle, now);
        waiting_.erase(waiting_.begin());
    }
}

/// Spends granted tokens on waiting requests; only the rest is stored, up to the capacity.
void organisation_limiter::spend_grant(time_point now, double amount) {
    while (!waiting_.empty()) {
        const double missing = std::max(0.0, 1 - amount);
        if (missing > 0 && (!uses_share() || !bucket_.take(now, missing))) {
            break;
        }
        amount = std::max(0.0, amount - 1);
        decide(admission_state::admitted, waiting_.front().handle, now);
        waiting_.erase(waiting_.begin());
    }
    bucket_.add(now, amount);
}

void organisation_limiter::ask(time_point now, actions& out) {
    const bool own = uses_share();
    double missing = static_cast<double>(waiting_.size()) - donors_.outstanding() - partial_sum() -
                     (own ? bucket_.tokens(now) : 0);
    const double deficit = std::max(0.0, demand(now) - bucket_.rate());
    while (missing > 0 && donors_.open() < parallel_requests) {
        const auto* donor = donors_.choose(now, group_.candidates());
        if (donor == nullptr || !messages_.take(now, 1)) {
            return;
        }
        const double room = bucket_.capacity() - bucket_.reserved();
        const double refill = std::max(deficit * ahead_seconds, room * ahead_room);
        const double ahead = own ? std::clamp(refill, 0.0, room / 2) : 0;
        const double likely = donors_.estimate(now, *donor);
        if (whole_.burst * donor->fraction < 1) {
            missing = std::max(missing, 1.0); // All that it has: only whole tokens can be used.
        }
        send_request(now, *donor, missing, ahead, out);
        missing -= std::max(std::min(1.0, whole_.burst * donor->fraction), likely);
    }
}

void organisation_limiter::send_request(time_point now, const token_donors::candidate& donor,
                                        double missing, double ahead, actions& out) {
    const auto entry = context_.live.find(donor.vm);
    if (entry == context_.live.end()) {
        return;
    }
    // Random ids: a delayed grant to an earlier incarnation must not match a request of this one.
    const request_id id{context_.random() >> 1U};
    const auto validity = context_.limits.grant_validity;
    const double likely =
        std::max(std::min(1.0, whole_.burst * donor.fraction), donors_.estimate(now, donor));
    donors_.asked(id, donor.vm, std::min(missing, likely), now + validity);
    short_of_tokens_ = true;
    short_at_ = now;
    out.emplace_back(
        send_to_peer{donor.vm, entry->second.peer, peer_channel::stream,
                     token_request{id, organisation_, missing + ahead, missing, validity}});
}

void organisation_limiter::refuse_hopeless(time_point now) {
    const bool hopeless = donors_.open() == 0 &&
                          donors_.next_chance(now, group_.candidates()) > last_wait() &&
                          own_chance(now) > last_wait();
    for (std::size_t i = 0; i < waiting_.size();) {
        if (!hopeless && waiting_[i].deadline > now) {
            ++i;
            continue;
        }
        decide(admission_state::refused, waiting_[i].handle, now);
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

/// When the own share has tokens for all that wait. A share that is not confirmed yet may be at
/// any moment.
time_point organisation_limiter::own_chance(time_point now) const {
    if (!context_.limits.waits_for_own_share) {
        return no_deadline;
    }
    return uses_share() ? bucket_.time_of(now, static_cast<double>(waiting_.size())) : now;
}

time_point organisation_limiter::last_wait() const noexcept {
    auto last = time_point::min();
    for (const auto& each : waiting_) {
        last = std::max(last, each.deadline);
    }
    return last;
}

void organisation_limiter::decide(admission_state state, request_id handle, time_point now) {
    admission decision{handle, state, {error_kind::none, {}, {}}};
    if (state == admission_state::refused) {
        decision.problem = refusal(now);
    }
    context_.decisions.push_back(std::move(decision));
}

error organisation_limiter::refusal(time_point now) const {
    if (whole_.rate <= 0) {
        return {error_kind::rate_exceeded,
                "organisation " + organisation_.str() + " has no rate in the configuration",
                longest_retry};
    }
    auto wait = duration{static_cast<duration::rep>(1e6 / whole_.rate)};
    const auto due = uses_share() ? bucket_.time_of(now, 1) : no_deadline;
    if (due != no_deadline) {
        wait = due - now;
    }
    return {error_kind::rate_exceeded, "organisation " + organisation_.str() + " is over its rate",
            std::clamp(wait, shortest_retry, longest_retry)};
}

} // namespace jackdawvane
