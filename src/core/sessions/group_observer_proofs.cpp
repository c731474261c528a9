#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

#include <tuple>

/// @file
/// @brief Log lines and metrics about what confirms a primary.

namespace jackdawvane {

namespace {

constexpr const char* log_component = "observer";

/// The status that proves a primary, or else the confirmation without a replica's status.
primary_proof proof_of(const group_leadership& leadership) {
    const auto kind = leadership.confirmed_by();
    if (kind != proof_kind::no_other_registered && leadership.proof()) {
        return *leadership.proof();
    }
    return {leadership.primary().value_or(backend_server_id{}),
            leadership.term(),
            {},
            {},
            {},
            leadership.confirmed_at()};
}

bool same_terms(const primary_proof& left, const primary_proof& right) {
    return std::tie(left.primary, left.term, left.replica_term, left.replica_held_term) ==
           std::tie(right.primary, right.term, right.replica_term, right.replica_held_term);
}

/// Whether the status of a replica is part of the evidence.
bool by_replica(proof_kind kind) {
    return kind == proof_kind::one_replica || kind == proof_kind::all_asked;
}

} // namespace

void group_observer::report_refusal(time_point now, const backend_server_id& backend,
                                    const control_connection& own, proxy_output& out) {
    log(out.common, log_component, log_level::warning,
        "refused backend=" + backend.str() + " attempt_age_ms=" + age_text(now, own.opened_at) +
            " ended_age_ms=" + age_text(now, own.ended_at));
    count(out.common, "server_refusals_total", "backend", backend.str());
}

void group_observer::report_proofs(time_point now, proxy_output& out) {
    for (const auto& [group, leadership] : state_.leaderships) {
        const auto kind = leadership.confirmed_by();
        if (!leadership.proof() && kind == proof_kind::none) {
            continue;
        }
        const auto proof = proof_of(leadership);
        auto [found, first] = reported_proofs_.try_emplace(group);
        auto& last = found->second;
        if (kind != proof_kind::none && leadership.confirmed_at() != last.confirmed_at) {
            last.confirmed_at = leadership.confirmed_at();
            count(out.common, "primary_confirmations_total", "kind", to_string(kind));
        }
        const auto gap = proof.requested_at - last.proof.requested_at;
        last.proof.requested_at = proof.requested_at;
        const bool recent = now - last.at < settings_.proof_report_interval;
        // Replicas take turns; evidence of another kind is logged at once.
        const bool same_evidence = (kind == last.kind && proof.replica == last.proof.replica) ||
                                   (recent && by_replica(kind) && by_replica(last.kind));
        if (!first && same_terms(proof, last.proof) && same_evidence &&
            gap < settings_.proof_report_interval) {
            continue;
        }
        last.proof = proof;
        last.at = now;
        last.kind = kind;
        log(out.common, log_component, log_level::info,
            "proof group=" + group.str() +
                " kind=" + (leadership.confirmed(now) ? to_string(kind) : "insufficient") +
                " primary=" + proof.primary.str() + " term=" + std::to_string(proof.term.value()) +
                " replica=" + (proof.replica.empty() ? "-" : proof.replica.str()) +
                " replica_term=" + std::to_string(proof.replica_term.value()) +
                " held_term=" + std::to_string(proof.replica_held_term.value()) +
                " age_ms=" + age_text(now, proof.requested_at));
    }
}

} // namespace jackdawvane
