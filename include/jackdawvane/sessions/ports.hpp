#pragma once

#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <variant>
#include <vector>

/// @file
/// @brief Events and actions of SQL sessions, in addition to those of `jackdawvane/node/ports.hpp`.

namespace jackdawvane {

/// @brief A caller opened a session.
struct session_started {
    session_id session;
    route_name database;
    std::string key; ///< Authenticates the caller; never stored or passed on.
};

/// @brief A caller sent a statement.
struct statement_received {
    session_id session;
    jackdawvane::statement statement;
};

/// @brief A caller sent a malformed request.
struct session_broken {
    session_id session;
    std::string reason;
};

/// @brief A caller's connection closed.
struct session_closed {
    session_id session;
};

/// @brief A backend server accepted a connection.
struct server_connected {
    connection_id connection;
    std::optional<log_point> position;
};

/// @brief How a connection to a backend server ended.
enum class close_reason {
    refused,  ///< Nothing listens there.
    rejected, ///< The backend server answered the connection start with an error.
    timeout,
    lost,
};

/// @brief Name of @a reason for logs.
[[nodiscard]] const char* to_string(close_reason reason) noexcept;

/// @brief A connection to a backend server ended or could not be opened.
struct server_disconnected {
    connection_id connection;
    close_reason reason{close_reason::lost};
    statement_error problem{statement_error::none}; ///< Set if rejected.
};

/// @brief Reply of a backend server to the oldest unanswered command of a connection.
struct server_replied {
    connection_id connection;
    statement_reply reply;
    std::optional<server_status> status; ///< Set if the reply has a status row.
};

/// @brief The platform answered a promotion request.
struct promotion_answered {
    group_id group;
    backend_server_id backend;
    bool accepted{false};
    bool not_running{false}; ///< The backend server is not running.
};

/// @brief Any event that a host reports to a session proxy.
using proxy_event =
    std::variant<session_started, statement_received, session_broken, session_closed,
                 server_connected, server_disconnected, server_replied, promotion_answered,
                 store_answer, peer_received, peer_disconnected, stop_requested, timer_tick>;

/// @brief Confirm to a caller that its session is open.
struct accept_session {
    session_id session;
    organisation_id organisation;
};

/// @brief Reply to the oldest unanswered statement of a session.
struct answer_statement {
    session_id session;
    statement_reply reply;
};

/// @brief Refuse a session: send an error, then close it.
struct reject_session {
    session_id session;
    statement_error problem{statement_error::none};
    std::string detail;
};

/// @brief Close a session that has no unanswered statement.
struct end_session {
    session_id session;
};

/// @brief Open a connection to a backend server on behalf of an organisation.
struct open_server_connection {
    connection_id connection;
    jackdawvane::endpoint endpoint;
    group_id group;
    organisation_id organisation;
    backend_server_id expected;
};

/// @brief Send commands on a connection in one write, once the connection is open.
struct send_to_server {
    connection_id connection;
    std::vector<backend_command> commands;
};

/// @brief Close a connection at once; no event follows for it.
struct close_server_connection {
    connection_id connection;
};

/// @brief Ask the platform to promote a backend server to primary of its group.
struct promote_server {
    group_id group;
    backend_server_id backend;
    vm_id holder;           ///< VM that is the failover coordinator.
    std::uint64_t fence{0}; ///< Fencing token: increases with each change of the holder.
};

/// @brief Any action that a session proxy requests of its host, except the common actions.
using session_action =
    std::variant<accept_session, answer_statement, reject_session, end_session,
                 open_server_connection, send_to_server, close_server_connection, promote_server>;

/// @brief Actions that result from one event.
struct proxy_output {
    std::vector<session_action> sessions;
    actions common;

    void clear() {
        sessions.clear();
        common.clear();
    }
};

} // namespace jackdawvane
