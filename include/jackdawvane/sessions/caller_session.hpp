#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jackdawvane {

/// @brief Log point that a server must have reached for a session's reads, and the term of the
/// primary when it was set.
struct session_floor {
    log_point point;
    term primary_term;
};

/// @brief Processing stage of a session's current statement.
enum class work_step {
    admission,    ///< Waits for the rate limiter of the organisation.
    placement,    ///< Waits for an available backend server.
    running,      ///< Sent to at least one backend server.
    confirmation, ///< Answered; waits for evidence that the primary had not been replaced by then.
};

/// @brief A session's current statement and its progress.
struct statement_work {
    jackdawvane::statement statement;
    work_step step{work_step::admission};
    time_point received{};
    time_point deadline{};
    bool first_of_operation{false}; ///< A single statement, or the first of a transaction.
    bool needs_primary{false};
    bool writes{false};
    bool retryable{false}; ///< A lost attempt commits nothing, so another one is safe.
    std::set<backend_server_id> tried;
    std::map<attempt_id, connection_id> attempts;
    time_point retry_at{};
    time_point hedge_at{no_deadline};
    std::uint32_t tries{0};
    term primary_term; ///< Term of the primary that the statement was sent to.
    time_point answered{};
    std::optional<attempt_result> unconfirmed_result; ///< Set in `work_step::confirmation`.
};

/// @brief State of a session's transaction.
struct caller_transaction {
    transaction_state state{transaction_state::idle};
    bool read_only{false};
    bool opened{false}; ///< The transaction was begun on a backend server.
    bool wrote{false};
    connection_id lease;
    backend_server_id backend;
    term primary_term; ///< Term of the primary that it runs on; 0 on a replica.
    time_point started{};
};

/// @brief Session of a caller, one for each of its connections.
struct caller_session {
    session_id id;
    route_name database;
    key_digest key;
    organisation_id organisation;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    std::deque<statement> input; ///< Received statements that were not started yet.
    std::size_t input_bytes{0};  ///< Size of `input`.
    std::size_t state_bytes{0};  ///< Size of `values` and `prepared`.
    std::optional<statement_work> work;
    caller_transaction transaction;
    std::map<group_id, session_floor> floors;
    backend_server_id last_backend; ///< Server that the last read was sent to.
    time_point last_activity{};
};

} // namespace jackdawvane
