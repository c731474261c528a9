#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jackdawvane {

/// @brief Log point that a session must see, and the term of the primary when it was set.
struct session_floor {
    log_point point;
    term leader;
};

/// @brief Where the statement in hand of a session stands.
enum class work_step {
    admission,    ///< Waits for the organisation's rate.
    placement,    ///< Waits for a backend server.
    running,      ///< Sent to at least one backend server.
    confirmation, ///< Answered; waits for proof that the primary was not replaced before.
};

/// @brief The statement in hand of a session.
struct statement_work {
    jackdawvane::statement statement;
    work_step step{work_step::admission};
    time_point received{};
    time_point deadline{};
    bool first_of_operation{false}; ///< A single statement, or the first of a transaction.
    bool needs_primary{false};
    bool writes{false};
    bool retryable{false}; ///< Nothing is kept when a try is lost.
    std::set<backend_server_id> tried;
    std::map<attempt_id, connection_id> attempts;
    time_point retry_at{};
    time_point hedge_at{no_deadline};
    std::uint32_t tries{0};
    term leader; ///< Term of the primary that the statement was sent to.
    time_point answered{};
    std::optional<attempt_result> held; ///< Answer that waits for confirmation.
};

/// @brief Transaction of a caller's session.
struct caller_transaction {
    transaction_state state{transaction_state::idle};
    bool read_only{false};
    bool opened{false}; ///< A backend server has the transaction.
    bool wrote{false};
    connection_id lease;
    backend_server_id backend;
    term leader; ///< Term of the primary that it runs on; 0 on a replica.
    time_point started{};
};

/// @brief A caller's connection.
struct caller_session {
    session_id id;
    route_name database;
    key_digest key;
    organisation_id organisation;
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_statement> prepared;
    std::deque<statement> input; ///< Not yet started.
    std::optional<statement_work> work;
    caller_transaction transaction;
    std::map<group_id, session_floor> floors;
    backend_server_id last_backend; ///< Ran the last read.
    time_point last_activity{};
};

} // namespace jackdawvane
