#include "jackdawvane/limits/token_donors.hpp"

#include <utility>

#include <algorithm>
#include <chrono>

namespace jackdawvane {

namespace {

/// First backoff after an empty grant: about the time in which a busy share gains a token.
constexpr duration empty_backoff = std::chrono::milliseconds{20};
/// First backoff after a request without an answer: the donor is probably unreachable.
constexpr duration timeout_backoff = std::chrono::milliseconds{250};
/// A donor with less than one token, or less than this fraction of a smaller burst, is not asked.
constexpr double smallest_burst_fraction = 0.5;
constexpr double microseconds_per_second = 1e6;

} // namespace

const token_donors::candidate* token_donors::choose(time_point now,
                                                    std::span<const candidate> candidates) const {
    const candidate* best = nullptr;
    double best_score{0};
    for (const auto& option : candidates) {
        const double score = estimate(now, option) * option.preference;
        if (available_at(now, option) <= now && score > best_score) {
            best = &option;
            best_score = score;
        }
    }
    return best;
}

const token_donors::candidate*
token_donors::choose_for_rate(time_point now, std::span<const candidate> candidates) const {
    const candidate* best = nullptr;
    double best_score{0};
    for (const auto& option : candidates) {
        const auto known = donors_.find(option.vm);
        const bool waiting = known != donors_.end() && known->second.next_rate_request_at > now;
        const bool unreachable = known != donors_.end() && known->second.backoff >= longest_backoff;
        const double score = option.fraction * (estimate(now, option) + 1) /
                             (option.fraction * fleet_limits_.burst + 1);
        if (!waiting && !unreachable && score > best_score) {
            best = &option;
            best_score = score;
        }
    }
    return best;
}

time_point token_donors::next_request_time(time_point now,
                                           std::span<const candidate> candidates) const {
    auto earliest = no_deadline;
    for (const auto& option : candidates) {
        earliest = std::min(earliest, available_at(now, option));
    }
    return earliest;
}

double token_donors::estimate(time_point now, const candidate& option) const {
    const auto known = donors_.find(option.vm);
    if (known == donors_.end() || !known->second.left) {
        return option.fraction * fleet_limits_.burst;
    }
    const auto age = static_cast<double>((now - known->second.updated_at).count());
    const double refilled = option.fraction * fleet_limits_.rate * age / microseconds_per_second;
    return std::min(option.fraction * fleet_limits_.burst, *known->second.left + refilled);
}

void token_donors::request_sent(request_id id, const vm_id& vm, double amount, time_point expiry) {
    open_.insert_or_assign(id, open_request{vm, amount, expiry});
    donors_[vm].request_open = true;
}

void token_donors::rate_request_sent(time_point now, const vm_id& vm, duration pause) {
    donors_[vm].next_rate_request_at = now + pause;
}

bool token_donors::accept_grant(time_point now, request_id id, const vm_id& vm, double amount,
                                double left) {
    const auto found = open_.find(id);
    if (found == open_.end() || found->second.donor != vm || now > found->second.expiry) {
        return false;
    }
    open_.erase(found);
    auto& known = donors_[vm];
    known.request_open = false;
    known.left = std::max(0.0, left);
    known.updated_at = now;
    if (amount > 0) {
        known.backoff = duration{0};
    } else {
        back_off(now, known, empty_backoff);
    }
    return true;
}

time_point token_donors::expiry_of(request_id id) const {
    const auto found = open_.find(id);
    return found == open_.end() ? time_point::min() : found->second.expiry;
}

void token_donors::expire(time_point now) {
    for (auto it = open_.begin(); it != open_.end();) {
        if (it->second.expiry >= now) {
            ++it;
            continue;
        }
        auto& donor = donors_[it->second.donor];
        donor.request_open = false;
        back_off(now, donor, timeout_backoff);
        it = open_.erase(it);
    }
}

double token_donors::outstanding() const noexcept {
    double sum{0};
    for (const auto& [id, each] : open_) {
        sum += each.amount;
    }
    return sum;
}

time_point token_donors::next_deadline() const noexcept {
    auto earliest = no_deadline;
    for (const auto& [id, each] : open_) {
        earliest = std::min(earliest, each.expiry + duration{1});
    }
    return earliest;
}

void token_donors::back_off(time_point now, donor_state& donor, duration shortest) {
    donor.backoff = std::clamp(donor.backoff * 2, shortest, longest_backoff);
    donor.next_request_at = now + donor.backoff;
}

double token_donors::smallest_useful_estimate(const candidate& option) const noexcept {
    return std::min(1.0, option.fraction * fleet_limits_.burst * smallest_burst_fraction);
}

time_point token_donors::available_at(time_point now, const candidate& option) const {
    const auto known = donors_.find(option.vm);
    if (known != donors_.end() && known->second.request_open) {
        return no_deadline;
    }
    const auto earliest = known == donors_.end() ? now : known->second.next_request_at;
    const double rate = option.fraction * fleet_limits_.rate;
    const double missing = smallest_useful_estimate(option) - estimate(now, option);
    if (missing <= 0) {
        return earliest;
    }
    if (rate <= 0) {
        return no_deadline;
    }
    const double wait = missing / rate * microseconds_per_second;
    constexpr double longest_wait = 1e12;
    return std::max(earliest,
                    now + duration{static_cast<duration::rep>(std::min(wait, longest_wait)) + 1});
}

} // namespace jackdawvane
