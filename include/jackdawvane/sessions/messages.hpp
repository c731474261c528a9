#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/backend.hpp"

#include <utility>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Messages between callers, the proxy and backend servers in SQL sessions.

namespace jackdawvane {

/// @brief Number of a caller's connection at this VM.
using session_id = basic_number<struct session_id_tag>;
/// @brief Id that a caller gives to a statement; the proxy's own statements have none.
using statement_id = basic_id<struct statement_id_tag>;
/// @brief Number of one attempt to run a statement on a connection to a backend server.
using attempt_id = basic_number<struct attempt_id_tag>;

/// @brief Priority of statements whose sender states none; 0 is the highest.
inline constexpr std::uint32_t default_priority = 1;

/// @brief Position in the replication log of a group.
struct log_point {
    jackdawvane::term term;
    log_position position;

    static constexpr auto fields() {
        return std::tuple{field("term", &log_point::term), field("position", &log_point::position)};
    }
    friend auto operator<=>(const log_point&, const log_point&) = default;
};

/// @brief Type of a statement.
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

/// @brief Name of @a kind in logs.
[[nodiscard]] const char* to_string(statement_kind kind) noexcept;

/// @brief One statement of a caller.
struct statement {
    statement_id id;
    statement_kind kind{statement_kind::unknown};
    bool read_only{false};                 ///< `begin`: the transaction only reads.
    std::string name;                      ///< `set`: variable; else a prepared statement's name.
    std::string value;                     ///< `set`: value; `execute`: arguments.
    access_mode access{access_mode::read}; ///< `prepare`: whether the statement reads or writes.
    std::string shape;                     ///< `prepare`: the statement to prepare.
    std::string text;                      ///< As the caller wrote it.
};

/// @brief Why a statement did not succeed.
enum class statement_error {
    none,
    busy,                 ///< Not run: no capacity now.
    lagging,              ///< Not run: the log has not reached the required position.
    read_only,            ///< Not run: the backend server is not the primary.
    misrouted,            ///< Not run: this address belongs to another backend server.
    too_many_connections, ///< Not run: the backend server accepts no more connections.
    no_statement,         ///< Not run: the prepared statement does not exist.
    aborted,              ///< The transaction was rolled back.
    failed,               ///< Ran and failed.
    timeout,              ///< May have run.
    unknown_outcome,      ///< May have run.
    unauthorised,
    unknown_database,
    too_large,
    malformed,
};

template <>
struct enum_names<statement_error> {
    static constexpr std::array<std::pair<statement_error, const char*>, 15> table{
        {{statement_error::none, "none"},
         {statement_error::busy, "busy"},
         {statement_error::lagging, "lagging"},
         {statement_error::read_only, "read_only"},
         {statement_error::misrouted, "misrouted"},
         {statement_error::too_many_connections, "too_many_connections"},
         {statement_error::no_statement, "no_statement"},
         {statement_error::aborted, "aborted"},
         {statement_error::failed, "failed"},
         {statement_error::timeout, "timeout"},
         {statement_error::unknown_outcome, "unknown_outcome"},
         {statement_error::unauthorised, "unauthorised"},
         {statement_error::unknown_database, "unknown_database"},
         {statement_error::too_large, "too_large"},
         {statement_error::malformed, "malformed"}}};
};

/// @brief Stable name of @a problem in logs and metrics.
[[nodiscard]] const char* to_string(statement_error problem) noexcept;

/// @brief Whether @a problem guarantees that the statement was not run.
[[nodiscard]] constexpr bool promises_not_run(statement_error problem) noexcept {
    return problem == statement_error::busy || problem == statement_error::lagging ||
           problem == statement_error::read_only || problem == statement_error::misrouted ||
           problem == statement_error::too_many_connections ||
           problem == statement_error::no_statement;
}

/// @brief Transaction state of a session.
enum class transaction_state { idle, open, failed };

template <>
struct enum_names<transaction_state> {
    static constexpr std::array<std::pair<transaction_state, const char*>, 3> table{
        {{transaction_state::idle, "idle"},
         {transaction_state::open, "open"},
         {transaction_state::failed, "failed"}}};
};

/// @brief Reply to one statement.
struct statement_reply {
    std::vector<std::string> rows;
    std::string signature; ///< Of the backend server that ran it; `-` if the proxy replied itself.
    statement_error problem{statement_error::none};
    std::string detail; ///< Error message.
    transaction_state state{transaction_state::idle};
    std::optional<log_point> position; ///< Log position of the backend server at the reply.

    static constexpr auto fields() {
        using self = statement_reply;
        return std::tuple{field("rows", &self::rows),       field("signature", &self::signature),
                          field("problem", &self::problem), field("detail", &self::detail),
                          field("state", &self::state),     field("position", &self::position)};
    }
};

/// @brief State that a backend server reports about itself and its group.
struct server_status {
    backend_role role{backend_role::replica};
    jackdawvane::term term; ///< Highest term that it knows.
    log_point received;     ///< End of the log that it has received.
    /// Replication is suspended until this term has a primary; 0 if it is not suspended.
    jackdawvane::term held_term;
    duration lag{0};       ///< Delay between receiving and applying log entries.
    std::uint32_t busy{0}; ///< Statements in progress.
    std::uint32_t connections{0};

    static constexpr auto fields() {
        using self = server_status;
        return std::tuple{field("role", &self::role),
                          field("term", &self::term),
                          field("received", &self::received),
                          field("held_term", &self::held_term),
                          field("lag_us", &self::lag),
                          field("busy", &self::busy),
                          field("connections", &self::connections)};
    }
    friend bool operator==(const server_status&, const server_status&) = default;
};

/// @brief Type of a command that the proxy sends to a backend server.
enum class command_kind {
    caller_text, ///< A caller's statement, unchanged.
    execute,     ///< A caller's prepared statement under its name on the connection.
    begin,
    begin_read,
    rollback,
    reset,
    set,
    prepare,
    status,
    hold,      ///< Suspends replication until the given term has a primary.
    resume,    ///< Ends `hold`.
    step_down, ///< A primary of a lower term becomes a replica.
};

template <>
struct enum_names<command_kind> {
    static constexpr std::array<std::pair<command_kind, const char*>, 12> table{
        {{command_kind::caller_text, "caller_text"},
         {command_kind::execute, "execute"},
         {command_kind::begin, "begin"},
         {command_kind::begin_read, "begin_read"},
         {command_kind::rollback, "rollback"},
         {command_kind::reset, "reset"},
         {command_kind::set, "set"},
         {command_kind::prepare, "prepare"},
         {command_kind::status, "status"},
         {command_kind::hold, "hold"},
         {command_kind::resume, "resume"},
         {command_kind::step_down, "step_down"}}};
};

/// @brief Name of @a kind in logs.
[[nodiscard]] const char* to_string(command_kind kind) noexcept;

/// @brief One command for a backend server.
struct backend_command {
    command_kind kind{command_kind::caller_text};
    statement_id id;                ///< Empty for the proxy's own commands.
    std::optional<log_point> after; ///< The log must reach this position before the command runs.
    std::string name;               ///< `set`, `prepare`, `execute`.
    std::string value;              ///< `set`: value; `execute`: arguments; `caller_text`: text.
    access_mode access{access_mode::read};
    std::string shape;
    jackdawvane::term term; ///< `hold`, `step_down`.

    static constexpr auto fields() {
        using self = backend_command;
        return std::tuple{field("kind", &self::kind),   field("id", &self::id),
                          field("after", &self::after), field("name", &self::name),
                          field("value", &self::value), field("access", &self::access),
                          field("shape", &self::shape), field("term", &self::term)};
    }
};

/// @brief A prepared statement of a caller's session.
struct prepared_statement {
    access_mode access{access_mode::read};
    std::string shape;

    static constexpr auto fields() {
        return std::tuple{field("access", &prepared_statement::access),
                          field("shape", &prepared_statement::shape)};
    }
    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// @brief A statement that is forwarded to the VM that owns the connections to a backend server.
///
/// The lease is the entry VM's identifier for one connection. The first statement binds it to a
/// connection, which it keeps until the entry VM releases it.
struct forwarded_statement {
    static constexpr const char* method = "statement.forward";
    connection_id lease;
    attempt_id attempt;
    backend_server_id backend;
    organisation_id organisation;
    std::map<std::string, std::string> values;
    std::optional<prepared_statement> prepared; ///< Set if the statement is prepared.
    bool writes{false};
    bool continues_transaction{false};    ///< Belongs to an open transaction of the lease.
    std::optional<backend_command> begin; ///< Opens a transaction before the statement.
    backend_command main;
    duration remaining{0}; ///< Time after arrival within which the statement may start.
    std::uint32_t priority{default_priority}; ///< Of the route; 0 is the highest.
    std::optional<duration> target; ///< Time after arrival until the latency objective, if known.
    bool alternative{false};        ///< The entry VM can send it to another backend server.

    static constexpr auto fields() {
        using self = forwarded_statement;
        return std::tuple{field("lease", &self::lease),
                          field("attempt", &self::attempt),
                          field("backend", &self::backend),
                          field("organisation", &self::organisation),
                          field("values", &self::values),
                          field("prepared", &self::prepared),
                          field("writes", &self::writes),
                          field("continues", &self::continues_transaction),
                          field("begin", &self::begin),
                          field("main", &self::main),
                          field("remaining_us", &self::remaining),
                          field("priority", &self::priority),
                          field("target_us", &self::target),
                          field("alternative", &self::alternative)};
    }
};

/// @brief Load of a backend server as the owner of its connections sees it.
struct server_load {
    std::uint32_t waiting{0}; ///< Statements in the owner's queue for the server.
    std::uint32_t running{0}; ///< Statements in progress at the server, of all VMs.
    std::uint32_t slots{1};   ///< Statements that the server runs at the same time.
    duration service_time{0}; ///< Mean time of a statement at the server; 0 if none was measured.

    static constexpr auto fields() {
        using self = server_load;
        return std::tuple{field("waiting", &self::waiting), field("running", &self::running),
                          field("slots", &self::slots), field("service_us", &self::service_time)};
    }
    friend bool operator==(const server_load&, const server_load&) = default;
};

/// @brief Result of a statement from the VM that owns the connection.
struct attempt_result {
    static constexpr const char* method = "statement.result";
    attempt_id attempt;
    connection_id lease;
    backend_server_id backend;
    statement_reply reply;
    bool answered{false};    ///< Whether the backend server, or the owner for it, replied.
    bool sent{false};        ///< The statement may have reached the backend server.
    bool unreachable{false}; ///< The VM cannot connect to the backend server.
    std::optional<server_load> load{}; ///< Absent if the sender does not measure it.

    static constexpr auto fields() {
        using self = attempt_result;
        return std::tuple{field("attempt", &self::attempt),         field("lease", &self::lease),
                          field("backend", &self::backend),         field("reply", &self::reply),
                          field("answered", &self::answered),       field("sent", &self::sent),
                          field("unreachable", &self::unreachable), field("load", &self::load)};
    }
};

/// @brief Request of the entry VM to release a leased connection.
struct lease_release {
    static constexpr const char* method = "statement.release";
    connection_id lease;
    backend_server_id backend;
    bool in_transaction{false}; ///< Roll back before the connection is reused.
    bool discard{false};        ///< Close the connection, as its session state is unknown.

    static constexpr auto fields() {
        using self = lease_release;
        return std::tuple{field("lease", &self::lease), field("backend", &self::backend),
                          field("in_transaction", &self::in_transaction),
                          field("discard", &self::discard)};
    }
};

} // namespace jackdawvane
