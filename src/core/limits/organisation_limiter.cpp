#include "jackdawvane/limits/organisation_limiter.hpp"

#include "jackdawvane/membership/placement.hpp"

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
/// Organisations with a small burst have fewer holders, so that each has this much of it. In
/// smaller parts the tokens of a small organisation are scattered and requests are refused.
constexpr double smallest_burst_part = 4;
/// Longest time before the confirmation of an inherited part for which it has refilled.
constexpr duration longest_inheritance = std::chrono::seconds{1};
constexpr double region_preference = 0.8;
constexpr double distant_preference = 0.5;

} // namespace

organisation_limiter::organisation_limiter(organisation_id organisation, limiter_context& context)
    : organisation_{std::move(organisation)}, context_{context}, ledger_{organisation_, context} {}

void organisation_limiter::configure(time_point now, revision newer, const organisation_row& row,
                                     actions& out) {
    started_ = row_ ? started_ : now;
    row_ = row;
    messages_.set_limits(now, context_.limits.messages_per_second, message_burst);
    ledger_.configure(now, newer, {row.rate, row.burst}, out);
    fleet_changed(now, out);
}

void organisation_limiter::retire(time_point now, actions& out) {
    row_.reset();
    leave(now, out);
}

void organisation_limiter::fleet_changed(time_point now, actions& out) {
    ledger_.set_targets(now, chosen_holders(), out);
    candidates_ = candidates();
    update(now, out);
}

admission organisation_limiter::admit(time_point now, request_id handle, time_point deadline,
                                      actions& out) {
    note_arrival(now);
    follow_ledger(now);
    serve(now);
    if (!row_) {
        return {handle, admission_state::refused, refusal(now)};
    }
    if (waiting_.empty() && take(now)) {
        return {handle, admission_state::admitted, {error_kind::none, {}, {}}};
    }
    consider_share_request(now, out);
    const bool joins = ledger_.target() && !uses_share();
    const auto patience = joins ? context_.limits.joining : context_.limits.pending;
    const auto give_up = std::min(deadline, now + patience);
    if (waiting_.size() >= longest_line || give_up <= now) {
        short_at_ = now;
        return {handle, admission_state::refused, refusal(now)};
    }
    waiting_.push_back({handle, give_up});
    ask(now, out);
    if (donors_.open() == 0 && donors_.next_chance(now, candidates_) > give_up &&
        own_chance(now) > give_up) {
        waiting_.pop_back();
        return {handle, admission_state::refused, refusal(now)};
    }
    return {handle, admission_state::pending, {error_kind::none, {}, {}}};
}

void organisation_limiter::withdraw(request_id handle) {
    std::erase_if(waiting_, [&](const waiter& each) { return each.handle == handle; });
}

bool organisation_limiter::on_store(time_point now, const store_answer& answer, actions& out) {
    const bool own = ledger_.on_store(now, answer, out);
    if (own) {
        candidates_ = candidates();
        update(now, out);
    }
    return own;
}

void organisation_limiter::paused(time_point now, actions& out) {
    ledger_.paused(now, out);
    update(now, out);
}

void organisation_limiter::leave(time_point now, actions& out) {
    ledger_.leave(now, out);
    update(now, out);
}

void organisation_limiter::tick(time_point now, actions& out) {
    ledger_.tick(now, out);
    update(now, out);
}

time_point organisation_limiter::next_deadline(time_point now) const {
    auto due = std::min(ledger_.next_deadline(), donors_.next_deadline());
    for (const auto& [key, open] : transits_) {
        due = std::min(due, open.expiry);
    }
    for (const auto& each : waiting_) {
        due = std::min(due, each.deadline);
    }
    if (!waiting_.empty()) {
        if (uses_share()) {
            due = std::min(due, bucket_.time_of(now, 1));
        }
        const auto chance = donors_.next_chance(now, candidates_);
        if (chance > now) { // An earlier one was not used for a reason that time does not change.
            due = std::min(due, chance);
        }
    }
    return due;
}

/// Brings everything up to date after an event.
void organisation_limiter::update(time_point now, actions& out) {
    follow_ledger(now);
    take_inheritance(now);
    settle_expired(now);
    donors_.expire(now);
    serve(now);
    ask(now, out);
    refuse_hopeless(now);
}

void organisation_limiter::follow_ledger(time_point now) {
    const auto usable = ledger_.usable();
    if (usable.rate != bucket_.rate() || usable.burst != bucket_.capacity()) {
        bucket_.set_limits(now, usable.rate, usable.burst);
        candidates_ = candidates();
    }
}

/// The earlier life of this VM ended before this one started; since then its part has refilled.
void organisation_limiter::take_inheritance(time_point now) {
    if (inheritance_taken_ || !uses_share() || !ledger_.holder()) {
        return;
    }
    inheritance_taken_ = true;
    if (ledger_.inherited()) {
        const auto refilled = std::min(now - started_, longest_inheritance);
        bucket_.add(now, bucket_.rate() * std::chrono::duration<double>(refilled).count());
    }
}

bool organisation_limiter::uses_share() const noexcept {
    return row_.has_value() && ledger_.verified();
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
        waiting_.pop_front();
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
        waiting_.pop_front();
    }
    bucket_.add(now, amount);
}

void organisation_limiter::ask(time_point now, actions& out) {
    const bool own = uses_share();
    double missing = static_cast<double>(waiting_.size()) - donors_.outstanding() -
                     (own ? bucket_.tokens(now) : 0);
    const double deficit = std::max(0.0, demand(now) - bucket_.rate());
    while (missing > 0 && donors_.open() < parallel_requests) {
        const auto* donor = donors_.choose(now, candidates_);
        if (donor == nullptr || !messages_.take(now, 1)) {
            return;
        }
        const double room = bucket_.capacity() - bucket_.reserved();
        const double refill = std::max(deficit * ahead_seconds, room * ahead_room);
        const double ahead = own ? std::clamp(refill, 0.0, room / 2) : 0;
        const double likely = donors_.estimate(now, *donor);
        send_request(now, *donor, missing, ahead, out);
        missing -= std::max(1.0, likely);
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
    const double likely = std::max(1.0, donors_.estimate(now, donor));
    donors_.asked(id, donor.vm, std::min(missing, likely), now + validity);
    short_of_tokens_ = true;
    short_at_ = now;
    out.emplace_back(
        send_to_peer{donor.vm, entry->second.peer, peer_channel::stream,
                     token_request{id, organisation_, missing + ahead, missing, validity}});
}

void organisation_limiter::refuse_hopeless(time_point now) {
    const bool hopeless = donors_.open() == 0 &&
                          donors_.next_chance(now, candidates_) > last_wait() &&
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
    if (!row_ || row_->rate <= 0) {
        return {error_kind::rate_exceeded,
                "organisation " + organisation_.str() + " has no rate in the configuration",
                longest_retry};
    }
    auto wait = duration{static_cast<duration::rep>(1e6 / row_->rate)};
    const auto due = uses_share() ? bucket_.time_of(now, 1) : no_deadline;
    if (due != no_deadline) {
        wait = due - now;
    }
    return {error_kind::rate_exceeded, "organisation " + organisation_.str() + " is over its rate",
            std::clamp(wait, shortest_retry, longest_retry)};
}

token_donors::candidate organisation_limiter::candidate(const vm_entry& vm) const {
    const auto* entry = ledger_.record().find(vm.vm);
    const auto holders = std::max<std::size_t>(1, ledger_.targets().size());
    const double equal = 1.0 / static_cast<double>(holders);
    const double part = entry == nullptr ? equal : static_cast<double>(entry->part) / whole_share;
    auto limits = ledger_.limits();
    if (limits.rate <= 0 && row_) {
        limits = {row_->rate, row_->burst}; // No record read yet: only for the estimate.
    }
    double preference{1};
    if (vm.place.region != context_.place.region) {
        preference = distant_preference;
    } else if (vm.place.domain != context_.place.domain) {
        preference = region_preference;
    }
    return {vm.vm, {limits.rate * part, limits.burst * part}, preference};
}

std::vector<token_donors::candidate> organisation_limiter::candidates() const {
    std::vector<token_donors::candidate> all;
    for (const auto& [vm, entry] : context_.live) {
        const auto& targets = ledger_.targets();
        const bool listed = std::find(targets.begin(), targets.end(), vm) != targets.end();
        const bool holds = ledger_.record().find(vm) != nullptr;
        if (vm != context_.self && (listed || holds) && entry.state == vm_state::live) {
            all.push_back(candidate(entry));
        }
    }
    return all;
}

/// Holders of this organisation: some of each failure domain, as many as the burst is enough for.
std::vector<vm_id> organisation_limiter::chosen_holders() const {
    if (!row_) {
        return {};
    }
    std::vector<vm_entry> live;
    for (const auto& [vm, entry] : context_.live) {
        live.push_back(entry);
    }
    auto holders = share_holders(organisation_, live, context_.limits.holders_per_domain);
    const auto enough = std::min<double>(
        context_.limits.most_holders, std::max(1.0, std::floor(row_->burst / smallest_burst_part)));
    if (static_cast<double>(holders.size()) <= enough) {
        return holders;
    }
    std::erase_if(live, [&](const vm_entry& vm) {
        return std::find(holders.begin(), holders.end(), vm.vm) == holders.end();
    });
    auto ranked = rank_vms(organisation_.str(), live);
    ranked.resize(static_cast<std::size_t>(enough));
    return ranked;
}

} // namespace jackdawvane
