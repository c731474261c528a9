#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/caller.hpp"

#include <utility>

#include <array>
#include <string>
#include <vector>

/// @file
/// @brief Messages between an owner VM and a backend server.
///
/// A connection has at most one request in flight. Every answer repeats the request's id.

namespace jackdawvane {

/// @brief First log position that was written in a term.
struct term_start {
    jackdawvane::term term;
    log_position first;

    static constexpr auto fields() {
        return std::tuple{field("term", &term_start::term), field("first", &term_start::first)};
    }
    friend bool operator==(const term_start&, const term_start&) = default;
};

/// @brief Role of a backend server in its database group.
enum class backend_role { replica, primary };

template <>
struct enum_names<backend_role> {
    static constexpr std::array<std::pair<backend_role, const char*>, 2> table{
        {{backend_role::replica, "replica"}, {backend_role::primary, "primary"}}};
};

/// @brief State of a backend server, which it reports with every answer.
struct backend_status {
    backend_role role{backend_role::replica};
    term accepted_term;              ///< Highest term that it accepted.
    term last_entry_term;            ///< Term of its last log entry.
    log_position position;           ///< Position of its last log entry.
    std::vector<term_start> history; ///< Most recent terms, oldest first.
    std::uint32_t connections{0};    ///< Number of open connections from all VMs.

    static constexpr auto fields() {
        return std::tuple{field("role", &backend_status::role),
                          field("accepted_term", &backend_status::accepted_term),
                          field("last_entry_term", &backend_status::last_entry_term),
                          field("position", &backend_status::position),
                          field("history", &backend_status::history),
                          field("connections", &backend_status::connections)};
    }
};

/// @brief Operations that a backend server offers.
enum class backend_operation {
    status,      ///< Report the status, immediately or when the position passes `after`.
    execute,     ///< Run all statements in one transaction.
    begin,       ///< Open a transaction on this connection.
    statements,  ///< Run statements in the open transaction of this connection.
    commit,      ///< Commit the open transaction of this connection.
    rollback,    ///< Roll the open transaction of this connection back.
    accept_term, ///< Accept a higher term for a candidate, once per term.
    promote,     ///< Become the primary of an accepted term.
    follow,      ///< Replicate from the primary of a term.
};

template <>
struct enum_names<backend_operation> {
    static constexpr std::array<std::pair<backend_operation, const char*>, 9> table{
        {{backend_operation::status, "status"},
         {backend_operation::execute, "execute"},
         {backend_operation::begin, "begin"},
         {backend_operation::statements, "statements"},
         {backend_operation::commit, "commit"},
         {backend_operation::rollback, "rollback"},
         {backend_operation::accept_term, "accept_term"},
         {backend_operation::promote, "promote"},
         {backend_operation::follow, "follow"}}};
};

/// @brief Request to a backend server.
struct backend_request {
    request_id id;
    backend_operation operation{backend_operation::status};
    term expected_term; ///< Writes run only if this is the primary's term; 0 disables the check.
    access_mode mode{access_mode::read};
    request_name name;       ///< Key of the request table, unique within the organisation.
    std::string fingerprint; ///< Digest of the request's body; detects a reused name.
    Json::Value statements;  ///< Array of statements.
    log_position after;      ///< `status`: answer once the position is past this one.
    duration wait{0};        ///< `status`: maximum time to hold the answer.
    vm_id candidate;         ///< `accept_term`, `promote`: VM that requests the promotion.
    endpoint primary;        ///< `follow`: primary to replicate from.

    static constexpr auto fields() {
        return std::tuple{field("id", &backend_request::id),
                          field("operation", &backend_request::operation),
                          field("expected_term", &backend_request::expected_term),
                          field("mode", &backend_request::mode),
                          field("name", &backend_request::name),
                          field("fingerprint", &backend_request::fingerprint),
                          field("statements", &backend_request::statements),
                          field("after", &backend_request::after),
                          field("wait_us", &backend_request::wait),
                          field("candidate", &backend_request::candidate),
                          field("primary", &backend_request::primary)};
    }
};

/// @brief Answer of a backend server.
///
/// `problem.kind` is `none` for success, `fenced` when the term does not match (nothing ran),
/// `name_reused` when the name belongs to another request (nothing ran) and `statement_failed`
/// when the transaction was rolled back.
struct backend_answer {
    request_id id;
    error problem{error_kind::none, {}, {}};
    backend_status status;
    log_position written; ///< Position of the request's log entry; 0 if it wrote nothing.
    term written_term;    ///< Term of that entry.
    bool repeated{false}; ///< Taken from the request table; the request ran earlier.
    Json::Value results;  ///< One entry per statement.

    static constexpr auto fields() {
        return std::tuple{field("id", &backend_answer::id),
                          field("problem", &backend_answer::problem),
                          field("status", &backend_answer::status),
                          field("written", &backend_answer::written),
                          field("written_term", &backend_answer::written_term),
                          field("repeated", &backend_answer::repeated),
                          field("results", &backend_answer::results)};
    }
};

} // namespace jackdawvane
