#pragma once

#include "jackdawvane/foundation/time.hpp"

#include <optional>
#include <string>
#include <string_view>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace jackdawvane {

/// @brief Kinds of error reported to a caller, operator or peer.
enum class error_kind {
    none,
    malformed_request,
    unknown_route,
    unknown_transaction,
    missing_key,
    unknown_key,
    organisation_not_allowed,
    rate_exceeded,
    queue_full,
    deadline_exceeded,
    leaving,
    isolated,
    no_configuration,
    malformed_token,
    token_ahead,
    history_lost,
    replica_behind,
    staleness_unproved,
    no_backend_server,
    no_primary,
    term_unconfirmed,
    replicas_lagging,
    wrong_owner,
    fenced,
    name_required,
    name_reused,
    connection_lost,
    commit_unconfirmed,
    statement_failed,
    conflict,
    invalid_configuration,
    store_unavailable,
    internal,
};

/// @brief Stable text of @a kind, as used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;

/// @brief Error kind with the text @a text; `internal` when there is none.
[[nodiscard]] error_kind error_kind_from(std::string_view text) noexcept;

/// @brief Recommended action for whoever receives an error of @a kind.
[[nodiscard]] std::string_view remedy(error_kind kind) noexcept;

/// @brief Typed error whose message includes the remedy.
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;                  ///< What happened, one short sentence.
    std::optional<duration> retry_after; ///< Delay before a retry, if one can help.

    /// @brief Kind, detail and remedy in one line of text.
    [[nodiscard]] std::string message() const;
};

/// @brief Value of type @a Value or an @ref error.
template <class Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

} // namespace jackdawvane
