#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/backend.hpp"

#include <utility>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief What callers, the proxy and backend servers say to each other in SQL sessions.

namespace jackdawvane {

/// @brief Number of a caller's connection at this VM.
using session_id = basic_number<struct session_id_tag>;
/// @brief Id that a caller gives to a statement; the proxy's own statements have none.
using statement_id = basic_id<struct statement_id_tag>;
/// @brief Number of one try of a statement on a connection to a backend server.
using attempt_id = basic_number<struct attempt_id_tag>;

/// @brief Place in the log of a group.
struct log_point {
    jackdawvane::term term;
    log_position position;

    static constexpr auto fields() {
        return std::tuple{field("term", &log_point::term), field("position", &log_point::position)};
    }
    friend auto operator<=>(const log_point&, const log_point&) = default;
};

/// @brief What a statement asks for.
enum class statement_kind {
    begin,
    commit,
    rollback,
    read,
    write,
    set,
    prepare,
    execute,
    deallocate,
    unknown,
};

/// @brief One statement of a caller.
struct statement {
    statement_id id;
    statement_kind kind{statement_kind::unknown};
    bool read_only{false};                 ///< `begin`: the transaction only reads.
    std::string name;                      ///< `set`: variable; else a prepared statement's name.
    std::string value;                     ///< `set`: value; `execute`: arguments.
    access_mode access{access_mode::read}; ///< `prepare`: what it does.
    std::string shape;                     ///< `prepare`: what is prepared.
    std::string text;                      ///< As the caller wrote it.
};

/// @brief Why a statement did not succeed.
enum class statement_error {
    none,
    busy,                 ///< Not run: no capacity now.
    lagging,              ///< Not run: the log lacks the wanted position.
    read_only,            ///< Not run: the backend server is not the primary.
    misrouted,            ///< Not run: another backend server answers at this address.
    too_many_connections, ///< Not run: the backend server takes no more connections.
    no_statement,         ///< Not run: there is no such prepared statement.
    aborted,              ///< Nothing of the transaction is kept.
    failed,               ///< Ran and failed.
    timeout,              ///< May have run.
    unknown_outcome,      ///< May have run.
    unauthorised,
    unknown_database,
    too_large,
    malformed,
};

/// @brief Whether @a problem promises that the statement was not run.
[[nodiscard]] constexpr bool promises_not_run(statement_error problem) noexcept {
    return problem == statement_error::busy || problem == statement_error::lagging ||
           problem == statement_error::read_only || problem == statement_error::misrouted ||
           problem == statement_error::too_many_connections ||
           problem == statement_error::no_statement;
}

/// @brief Transaction state of a session.
enum class transaction_state { idle, open, failed };

/// @brief Answer to one statement.
struct statement_reply {
    std::vector<std::string> rows;
    std::string signature; ///< Of the backend server that ran it; `-` for the proxy's answers.
    statement_error problem{statement_error::none};
    std::string detail; ///< Text of the problem.
    transaction_state state{transaction_state::idle};
    std::optional<log_point> position; ///< Log of the backend server at the answer.
};

/// @brief What a backend server says about itself and its group.
struct member_status {
    backend_role role{backend_role::replica};
    jackdawvane::term term;      ///< Newest term that it knows.
    log_point received;          ///< End of the log that it has received.
    jackdawvane::term held_term; ///< It receives nothing until this term has a primary; 0 if none.
    duration lag{0};             ///< Between receiving and applying.
    std::uint32_t busy{0};       ///< Statements in hand.
    std::uint32_t connections{0};

    static constexpr auto fields() {
        using self = member_status;
        return std::tuple{field("role", &self::role),
                          field("term", &self::term),
                          field("received", &self::received),
                          field("held_term", &self::held_term),
                          field("lag_us", &self::lag),
                          field("busy", &self::busy),
                          field("connections", &self::connections)};
    }
    friend bool operator==(const member_status&, const member_status&) = default;
};

/// @brief Statement that the proxy sends to a backend server.
enum class command_kind {
    caller_text, ///< A caller's statement, unchanged.
    execute,     ///< A caller's statement with the prepared name that the connection knows.
    begin,
    begin_read,
    rollback,
    reset,
    set,
    prepare,
    status,
    hold,      ///< Receive nothing until the given term has a primary.
    resume,    ///< Ends `hold`.
    step_down, ///< A primary of a lower term becomes a replica.
};

/// @brief One statement for a backend server.
struct backend_command {
    command_kind kind{command_kind::caller_text};
    statement_id id;                ///< Empty for the proxy's own statements.
    std::optional<log_point> after; ///< The log has to reach this point first.
    std::string name;               ///< `set`, `prepare`, `execute`.
    std::string value;              ///< `set`: value; `execute`: arguments; `caller_text`: text.
    access_mode access{access_mode::read};
    std::string shape;
    jackdawvane::term term; ///< `hold`, `step_down`.
};

} // namespace jackdawvane
