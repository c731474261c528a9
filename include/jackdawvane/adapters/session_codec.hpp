#pragma once

#include "jackdawvane/sessions/ports.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jackdawvane {

/// @brief First line of a caller's session.
struct startup_message {
    route_name database;
    std::string key;
};

/// @brief A caller ends its session.
struct terminate_message {};

/// @brief A line that cannot be parsed.
struct malformed_line {
    std::string reason;
};

/// @brief Parsed line of a caller.
using caller_line = std::variant<startup_message, statement, terminate_message, malformed_line>;

/// @brief One row of an answer.
struct answer_row {
    std::string text;
};

/// @brief A statement succeeded.
struct answer_completed {
    std::string signature;
};

/// @brief A statement or the start of a session failed.
struct answer_error {
    statement_error problem{statement_error::none};
    std::string detail;
};

/// @brief End of an answer, or of the start of a session.
struct answer_ready {
    transaction_state state{transaction_state::idle};
    std::optional<log_point> position;
};

/// @brief Parsed line of a backend server.
using backend_line =
    std::variant<answer_row, answer_completed, answer_error, answer_ready, malformed_line>;

/// @brief Encodes and decodes the messages of SQL sessions as text, one line per message.
class session_codec {
  public:
    session_codec() = default;
    session_codec(const session_codec&) = delete;
    session_codec& operator=(const session_codec&) = delete;
    session_codec(session_codec&&) = delete;
    session_codec& operator=(session_codec&&) = delete;
    virtual ~session_codec() = default;

    [[nodiscard]] virtual caller_line read_caller(std::string_view line) const = 0;
    [[nodiscard]] virtual backend_line read_backend(std::string_view line) const = 0;
    /// @brief Status of a backend server in @a row; nothing when the row contains none.
    [[nodiscard]] virtual std::optional<server_status> read_status(std::string_view row) const = 0;

    virtual void write_session_accepted(std::string& out) const = 0;
    virtual void write_reply(const statement_reply& reply, std::string& out) const = 0;
    virtual void write_error(statement_error problem, std::string_view detail,
                             std::string& out) const = 0;
    virtual void write_start(const open_server_connection& start, std::string& out) const = 0;
    virtual void write_command(const backend_command& command, std::string& out) const = 0;
};

} // namespace jackdawvane
