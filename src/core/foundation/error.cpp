#include "jackdawvane/foundation/error.hpp"

#include <algorithm>
#include <array>

namespace jackdawvane {

namespace {

struct error_text {
    error_kind kind;
    std::string_view name;
    std::string_view remedy;
};

constexpr std::array error_texts{
    error_text{error_kind::none, "none", "no action needed"},
    error_text{error_kind::malformed_request, "malformed_request",
               "correct the request as described in the detail"},
    error_text{error_kind::unknown_route, "unknown_route",
               "use a route from the routes table, or add it with jackdawvanectl apply"},
    error_text{error_kind::unknown_transaction, "unknown_transaction",
               "the transaction has ended; if its outcome is unknown, check the data, otherwise "
               "begin a new one"},
    error_text{error_kind::missing_key, "missing_key",
               "send the organisation's key as Authorization: Bearer KEY"},
    error_text{error_kind::unknown_key, "unknown_key",
               "the key was never issued or has been withdrawn; ask the operator for a new one"},
    error_text{error_kind::organisation_not_allowed, "organisation_not_allowed",
               "use a route that allows the organisation, or ask the operator to add it"},
    error_text{error_kind::rate_exceeded, "rate_exceeded",
               "retry once retry_after has elapsed, or ask the operator to raise the rate"},
    error_text{error_kind::queue_full, "queue_full", "retry once retry_after has elapsed"},
    error_text{error_kind::deadline_exceeded, "deadline_exceeded", "retry with a longer deadline"},
    error_text{error_kind::leaving, "leaving",
               "retry immediately; another VM will serve the request"},
    error_text{error_kind::isolated, "isolated",
               "this failure domain is isolated and the route rejects keys until it reconnects; "
               "use another failure domain"},
    error_text{error_kind::no_configuration, "no_configuration",
               "the VM has not received a configuration yet; retry once retry_after has elapsed"},
    error_text{error_kind::malformed_token, "malformed_token",
               "send the session token of the last answer unchanged, or start a new "
               "session"},
    error_text{error_kind::token_ahead, "token_ahead",
               "no backend server has reached the session's position; retry once "
               "retry_after has elapsed"},
    error_text{error_kind::history_lost, "history_lost",
               "a failover discarded unacknowledged entries that this session had seen; check "
               "the data and start a new session"},
    error_text{error_kind::replica_behind, "replica_behind", "retry once retry_after has elapsed"},
    error_text{error_kind::staleness_unproved, "staleness_unproved",
               "retry once retry_after has elapsed, or accept older data"},
    error_text{error_kind::no_backend_server, "no_backend_server",
               "retry once retry_after has elapsed; the operator should check the pool's backend "
               "servers"},
    error_text{error_kind::no_primary, "no_primary",
               "a failover is in progress; retry once retry_after has elapsed"},
    error_text{error_kind::term_unconfirmed, "term_unconfirmed",
               "the primary cannot reach a majority of its group; retry once "
               "retry_after has elapsed"},
    error_text{error_kind::replicas_lagging, "replicas_lagging",
               "retry with a longer deadline, or set the route's fencing to primary_alone"},
    error_text{error_kind::wrong_owner, "wrong_owner", "retry immediately"},
    error_text{error_kind::fenced, "fenced", "retry; the primary has been replaced"},
    error_text{error_kind::name_required, "name_required",
               "send an Idempotency-Key with each write"},
    error_text{error_kind::name_reused, "name_reused",
               "use a new Idempotency-Key for a different request"},
    error_text{error_kind::connection_lost, "connection_lost",
               "retry with the same Idempotency-Key to learn the outcome"},
    error_text{error_kind::commit_unconfirmed, "commit_unconfirmed",
               "retry with the same Idempotency-Key to learn the outcome"},
    error_text{error_kind::statement_failed, "statement_failed",
               "correct the statement; the transaction was rolled back"},
    error_text{error_kind::conflict, "conflict",
               "read the row again and apply the edit to its current value"},
    error_text{error_kind::invalid_configuration, "invalid_configuration",
               "correct the rows listed in the detail and apply the edit again"},
    error_text{
        error_kind::store_unavailable, "store_unavailable",
        "the platform's store does not answer; requests are still served, retry the edit later"},
    error_text{error_kind::internal, "internal", "report the detail to the maintainers"},
};

const error_text& text_of(error_kind kind) noexcept {
    const auto* found = std::find_if(error_texts.begin(), error_texts.end(),
                                     [kind](const auto& text) { return text.kind == kind; });
    return found == error_texts.end() ? error_texts.back() : *found;
}

} // namespace

std::string_view to_string(error_kind kind) noexcept {
    return text_of(kind).name;
}

error_kind error_kind_from(std::string_view text) noexcept {
    const auto* found = std::find_if(error_texts.begin(), error_texts.end(),
                                     [text](const auto& entry) { return entry.name == text; });
    return found == error_texts.end() ? error_kind::internal : found->kind;
}

std::string_view remedy(error_kind kind) noexcept {
    return text_of(kind).remedy;
}

std::string error::message() const {
    std::string text{to_string(kind)};
    if (!detail.empty()) {
        text += ": " + detail;
    }
    text += "; remedy: ";
    text += remedy(kind);
    return text;
}

} // namespace jackdawvane
