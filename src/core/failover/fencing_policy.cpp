#include "jackdawvane/failover/fencing_policy.hpp"

#include <string>

namespace jackdawvane {

namespace {

/// A failover takes about 500 ms, so a retry arrives during it or shortly after its end.
constexpr duration failover_retry_delay = std::chrono::milliseconds{250};

std::optional<error> refuse_without_primary(const group_view& view) {
    if (!view.primary().empty()) {
        return std::nullopt;
    }
    return error{error_kind::no_primary, "group " + view.group().str() + " has no known primary",
                 failover_retry_delay};
}

std::optional<error> refuse_unconfirmed(const group_view& view, time_point now) {
    if (auto problem = refuse_without_primary(view)) {
        return problem;
    }
    if (view.confirmed(now)) {
        return std::nullopt;
    }
    return error{error_kind::term_unconfirmed,
                 "no majority of group " + view.group().str() + " confirmed term " +
                     std::to_string(view.known_term().value()) + " within 1 s",
                 failover_retry_delay};
}

} // namespace

std::optional<error> majority_fencing::refuse_write(const group_view& view, time_point now,
                                                    duration remaining) const {
    if (auto problem = refuse_unconfirmed(view, now)) {
        return problem;
    }
    const auto lag = view.replication_lag(now);
    if (lag <= remaining) {
        return std::nullopt;
    }
    return error{error_kind::replicas_lagging,
                 "a majority of group " + view.group().str() + " is " +
                     std::to_string(to_milliseconds(lag)) + " ms behind, " +
                     std::to_string(to_milliseconds(remaining)) + " ms remain",
                 lag - remaining};
}

bool majority_fencing::acknowledged(const group_view& view, term written_term,
                                    log_position position) const {
    return view.committed(written_term, position);
}

std::optional<error> primary_alone_fencing::refuse_write(const group_view& view, time_point now,
                                                         duration /*remaining*/) const {
    return refuse_unconfirmed(view, now);
}

bool primary_alone_fencing::acknowledged(const group_view& view, term written_term,
                                         log_position /*position*/) const {
    return written_term != term{} && written_term >= view.highest_term();
}

std::optional<error> store_lease_fencing::refuse_write(const group_view& view, time_point /*now*/,
                                                       duration /*remaining*/) const {
    if (!held_) {
        return error{error_kind::store_unavailable,
                     "the lease of group " + view.group().str() + " has expired",
                     failover_retry_delay};
    }
    return refuse_without_primary(view);
}

bool store_lease_fencing::acknowledged(const group_view& view, term written_term,
                                       log_position /*position*/) const {
    return held_ && written_term != term{} && written_term >= view.highest_term();
}

const fencing_policy& fencing_policy_for(fencing_mode mode) {
    static const majority_fencing majority;
    static const primary_alone_fencing primary_alone;
    if (mode == fencing_mode::primary_alone) {
        return primary_alone;
    }
    return majority;
}

} // namespace jackdawvane
