#include "jackdawvane/sessions/group_leadership.hpp"

#include <utility>

#include <algorithm>
#include <array>

namespace jackdawvane {

namespace {

/// A promotion takes longer than this from the hold of a replica until it takes effect, unless the
/// old primary has stepped down. Whoever hears nothing of a replica for longer may have missed
/// the hold, which the promotion ends.
constexpr duration shortest_promotion = std::chrono::milliseconds{1100};

} // namespace

const char* to_string(proof_kind kind) noexcept {
    constexpr std::array<const char*, 4> names{"none", "one_replica", "all_asked",
                                               "no_other_registered"};
    return names.at(static_cast<std::size_t>(kind));
}

void group_leadership::set_members(std::set<backend_server_id> members) {
    for (const auto& server : members) {
        if (!members_.empty() && !members_.contains(server)) {
            joining_[server] = time_point::max();
        }
    }
    members_ = std::move(members);
    const auto removed = [&](const auto& entry) { return !members_.contains(entry.first); };
    std::erase_if(joining_, removed);
    std::erase_if(evidence_, removed);
    std::erase_if(received_, removed);
    update_proof();
}

void group_leadership::on_status(time_point now, time_point requested_at,
                                 const backend_server_id& server, const server_status& status,
                                 listing listed) {
    auto& own = evidence_[server];
    if (requested_at < own.requested_at) {
        return;
    }
    highest_ = std::max({highest_, status.term, status.held_term});
    received_[server] = status.received;
    if (status.role == backend_role::primary && status.term > term_) {
        start_term(now, status.term, server);
    }
    if (primary_ == server && status.term == term_) {
        stepped_down_ = status.role != backend_role::primary;
        primary_answered_at_ = std::max(primary_answered_at_, requested_at);
        // VMs commit in a term only after all proofs of earlier terms have expired.
        if (status.received.term == term_) {
            usable_from_ = std::min(usable_from_, now);
        }
    }
    const bool supports =
        status.role == backend_role::replica && status.term <= term_ && status.held_term <= term_;
    own = {requested_at, supports, status.held_term > term_, listed};
    const auto joined = joining_.find(server);
    if (joined != joining_.end() && supports) {
        joined->second = std::min(joined->second, requested_at);
    }
    update_proof();
    if (own.supports_primary && primary_ && primary_ != server) {
        proof_ = {*primary_, term_, server, status.term, status.held_term, requested_at};
    }
    if (primary_ == server && status.role == backend_role::primary) {
        add_sample(requested_at, status.received);
    }
}

void group_leadership::start_term(time_point now, jackdawvane::term newer,
                                  const backend_server_id& primary) {
    const auto closed_at = closed() ? std::min(closed_since_, now) : now;
    // Another VM may have a proof of the previous term that is valid for that long.
    usable_from_ = closed_at + settings_.proof_validity;
    term_ = newer;
    primary_ = primary;
    stepped_down_ = false;
    confirmed_at_ = time_point::min();
    confirmed_by_ = proof_kind::none;
    all_needed_ = false;
    primary_answered_at_ = time_point::min();
    samples_.clear();
    for (auto& [server, own] : evidence_) {
        own.supports_primary = false;
    }
}

void group_leadership::on_refused(time_point requested_at, const backend_server_id& server) {
    auto& own = evidence_[server];
    if (requested_at >= own.requested_at) {
        own = {requested_at, false, false, listing::current};
        joining_[server] = time_point::max();
        update_proof();
    }
}

void group_leadership::withdraw(const backend_server_id& server, time_point since) {
    const auto found = evidence_.find(server);
    if (found == evidence_.end() || found->second.requested_at <= since) {
        return;
    }
    evidence_.erase(found);
    if (primary_ == server) {
        primary_answered_at_ = std::min(primary_answered_at_, since);
    }
    std::erase_if(samples_, [&](const sample& each) { return each.requested_at > since; });
    if (confirmed_at_ > since) {
        confirmed_at_ = time_point::min();
        all_needed_ = true;
    }
    update_proof();
}

void group_leadership::on_hold(time_point since, jackdawvane::term closed) {
    if (closed > closed_term_ || closed_since_ == time_point::max()) {
        closed_term_ = closed;
        closed_since_ = since;
    }
}

/// One listed replica that is not held is sufficient proof while the previous proof is so recent
/// that no promotion can have been missed. After a longer gap, every other server must have been
/// asked: the replica may not have heard of a promotion, and another server may lead by now. The
/// same holds for a replica that a hold may have left out (see `joining_` and `listing`); the proof
/// is then as old as the oldest evidence, because a promotion may have held the others since. A
/// server that refuses connections may lead all the same: a cut may refuse them. Without another
/// server in the list the primary's own answers are proof.
void group_leadership::update_proof() {
    auto all_free = time_point::max();
    auto newest_support = time_point::min();
    auto newest_sufficient = time_point::min();
    bool others = false;
    for (const auto& server : members_) {
        if (primary_ == server) {
            continue;
        }
        others = true;
        const auto found = evidence_.find(server);
        if (found == evidence_.end()) {
            all_free = time_point::min();
            continue;
        }
        const auto& own = found->second;
        if (own.supports_primary) {
            newest_support = std::max(newest_support, own.requested_at);
            if (own.listed == listing::current && !joining_.contains(server)) {
                newest_sufficient = std::max(newest_sufficient, own.requested_at);
            }
        }
        all_free = own.supports_primary ? std::min(all_free, own.requested_at) : time_point::min();
    }
    const bool sufficient = !all_needed_ && newest_sufficient != time_point::min() &&
                            (confirmed_at_ == time_point::min() ||
                             newest_sufficient - confirmed_at_ <= shortest_promotion);
    if (sufficient) {
        confirm(proof_kind::one_replica, newest_sufficient);
    }
    const bool all_asked =
        others && all_free != time_point::min() && newest_support - all_free <= shortest_promotion;
    if (all_asked) {
        confirm(proof_kind::all_asked,
                all_needed_ ? all_free : std::max(newest_sufficient, all_free));
        all_needed_ = false;
        std::erase_if(joining_, [&](const auto& each) {
            return each.second < all_free && all_free - each.second >= joining_time;
        });
    }
    one_suffices_ = newest_sufficient != time_point::min() &&
                    newest_support - newest_sufficient < settings_.proof_validity;
    if (others && closed() && all_free > closed_since_ + settings_.promotion_abandoned_after) {
        closed_since_ = time_point::max(); // The promotion was abandoned and the hold ended.
    }
    if (!others) {
        confirm(proof_kind::no_other_registered, primary_answered_at_);
    }
}

void group_leadership::confirm(proof_kind kind, time_point requested_at) {
    if (requested_at > confirmed_at_) {
        confirmed_at_ = requested_at;
        confirmed_by_ = kind;
    }
}

bool group_leadership::closed() const noexcept {
    return closed_since_ != time_point::max() && closed_term_ >= term_;
}

bool group_leadership::confirmed(time_point now) const noexcept {
    if (!primary_ || stepped_down_ || now < usable_from_ || closed() ||
        confirmed_at_ == time_point::min() || now - confirmed_at_ >= settings_.proof_validity) {
        return false;
    }
    // A hold in progress ends the term soon; statements sent now would have an unknown outcome.
    return std::none_of(evidence_.begin(), evidence_.end(),
                        [](const auto& entry) { return entry.second.held; });
}

void group_leadership::on_position(time_point requested_at, const backend_server_id& server,
                                   const log_point& position) {
    received_[server] = position;
    if (primary_ == server && !stepped_down_) {
        primary_answered_at_ = std::max(primary_answered_at_, requested_at);
        add_sample(requested_at, position);
    }
}

void group_leadership::add_sample(time_point requested_at, const log_point& position) {
    if (confirmed_at_ == time_point::min() ||
        requested_at - confirmed_at_ >= settings_.proof_validity) {
        return;
    }
    if (!samples_.empty() &&
        requested_at - samples_.back().requested_at < settings_.min_sample_interval) {
        return;
    }
    samples_.push_back({requested_at, position});
    while (samples_.size() > 1 &&
           requested_at - samples_[1].requested_at > settings_.sample_retention) {
        samples_.pop_front();
    }
}

std::optional<log_point> group_leadership::point_covering(time_point when) const noexcept {
    const auto found = std::lower_bound(
        samples_.begin(), samples_.end(), when,
        [](const sample& each, time_point limit) { return each.requested_at < limit; });
    return found == samples_.end() ? std::nullopt : std::optional{found->point};
}

std::optional<log_point> group_leadership::newest_point() const noexcept {
    return samples_.empty() ? std::nullopt : std::optional{samples_.back().point};
}

std::optional<log_point> group_leadership::received(const backend_server_id& server) const {
    const auto found = received_.find(server);
    return found == received_.end() ? std::nullopt : std::optional{found->second};
}

} // namespace jackdawvane
