#pragma once

#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <variant>
#include <vector>

/// @file
/// @brief Events and actions of SQL sessions, beside those of `jackdawvane/node/ports.hpp`.

namespace jackdawvane {

/// @brief A caller opened a session.
struct session_started {
    session_id session;
    route_name database;
    std::string key; ///< Names the caller; never stored or passed on.
};

/// @brief A caller sent a statement.
struct statement_received {
    session_id session;
    jackdawvane::statement statement;
};

/// @brief A caller sent something that cannot be read.
struct session_broken {
    session_id session;
    std::string reason;
};

/// @brief A caller's connection closed.
struct session_closed {
    session_id session;
};

/// @brief A backend server accepted a connection.
struct member_ready {
    connection_id connection;
    std::optional<log_point> position;
};

/// @brief How a connection to a backend server ended.
enum class close_reason {
    refused,  ///< Nothing listens there.
    rejected, ///< The backend server answered the start with an error.
    timeout,
    lost,
};

/// @brief Name of @a reason for logs.
[[nodiscard]] const char* to_string(close_reason reason) noexcept;

/// @brief A connection to a backend server ended or could not be opened.
struct member_closed {
    connection_id connection;
    close_reason reason{close_reason::lost};
    statement_error problem{statement_error::none}; ///< Set when rejected.
};

/// @brief Answer of a backend server to the oldest open command of a connection.
struct member_replied {
    connection_id connection;
    statement_reply reply;
    std::optional<member_status> status; ///< When the answer has a status row.
};

/// @brief The platform answered a promotion call.
struct promotion_answered {
    group_id group;
    backend_server_id backend;
    bool accepted{false};
    bool not_running{false}; ///< The backend server is not running.
};

/// @brief Everything that a host reports to a session proxy.
using proxy_event =
    std::variant<session_started, statement_received, session_broken, session_closed, member_ready,
                 member_closed, member_replied, promotion_answered, store_answer, peer_received,
                 peer_disconnected, stop_requested, timer_tick>;

/// @brief Tell a caller that its session is open.
struct greet_session {
    session_id session;
};

/// @brief Answer the oldest open statement of a session.
struct answer_statement {
    session_id session;
    statement_reply reply;
};

/// @brief Refuse a session: an error, then a close.
struct reject_session {
    session_id session;
    statement_error problem{statement_error::none};
    std::string detail;
};

/// @brief Close a session that waits for nothing.
struct end_session {
    session_id session;
};

/// @brief Open a connection to a backend server on behalf of an organisation.
struct open_member {
    connection_id connection;
    jackdawvane::endpoint endpoint;
    group_id group;
    organisation_id organisation;
    backend_server_id expected;
};

/// @brief Send statements on a connection, in one piece. They wait for the connection to open.
struct send_to_member {
    connection_id connection;
    std::vector<backend_command> commands;
};

/// @brief Close a connection at once; no event follows for it.
struct close_member {
    connection_id connection;
};

/// @brief Have the platform make a backend server the primary of its group.
struct promote_member {
    group_id group;
    backend_server_id backend;
    vm_id holder;           ///< VM that holds the duty.
    std::uint64_t fence{0}; ///< Rises with each change of the holder.
};

/// @brief Everything that a session proxy asks of its host, besides the common actions.
using session_action = std::variant<greet_session, answer_statement, reject_session, end_session,
                                    open_member, send_to_member, close_member, promote_member>;

/// @brief Actions of one event.
struct proxy_output {
    std::vector<session_action> sessions;
    actions common;

    void clear() {
        sessions.clear();
        common.clear();
    }
};

} // namespace jackdawvane
