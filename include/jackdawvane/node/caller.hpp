#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <utility>

#include <array>
#include <optional>
#include <string>

namespace jackdawvane {

/// @brief Whether a request may change data.
enum class access_mode { read, write };

template <>
struct enum_names<access_mode> {
    static constexpr std::array<std::pair<access_mode, const char*>, 2> table{
        {{access_mode::read, "read"}, {access_mode::write, "write"}}};
};

/// @brief Operation of a request in its transaction.
enum class request_kind {
    single,     ///< Runs all statements in one transaction with one request.
    begin,      ///< Opens an interactive transaction.
    statements, ///< Runs statements in an open interactive transaction.
    commit,     ///< Commits an interactive transaction.
    rollback,   ///< Rolls an interactive transaction back.
};

template <>
struct enum_names<request_kind> {
    static constexpr std::array<std::pair<request_kind, const char*>, 5> table{
        {{request_kind::single, "single"},
         {request_kind::begin, "begin"},
         {request_kind::statements, "statements"},
         {request_kind::commit, "commit"},
         {request_kind::rollback, "rollback"}}};
};

/// @brief Request received from a caller.
struct caller_request {
    caller_id caller; ///< Chosen by the host; the answer carries it.
    request_kind kind{request_kind::single};
    route_name route;           ///< Empty for the follow-up requests of a transaction.
    transaction_id transaction; ///< Set for the follow-up requests of a transaction.
    std::string key;            ///< The caller's API key in plain text; never leaves the entry VM.
    std::string session;        ///< Session token, empty for a new session.
    request_name name;          ///< Idempotency key; required for writes.
    std::string partition;      ///< Selects the database group within the pool.
    access_mode mode{access_mode::read};
    Json::Value statements{Json::arrayValue};
    std::optional<duration> timeout;       ///< Time until the caller stops waiting.
    std::optional<duration> max_staleness; ///< Maximum age of the data that a read accepts.
};

/// @brief Outcome of a request.
enum class outcome {
    done,    ///< Ran exactly once; the answer is complete.
    not_run, ///< Did not run and will not run.
    unknown, ///< May have run; a retry with the same name returns the outcome.
};

template <>
struct enum_names<outcome> {
    static constexpr std::array<std::pair<outcome, const char*>, 3> table{
        {{outcome::done, "done"}, {outcome::not_run, "not_run"}, {outcome::unknown, "unknown"}}};
};

/// @brief Answer to one caller request.
struct caller_answer {
    caller_id caller;
    outcome result{outcome::not_run};
    error problem{error_kind::none, {}, {}}; ///< Kind `none` on success.
    Json::Value results{Json::arrayValue};   ///< One entry per statement.
    std::string session;                     ///< Session token for the next request.
    transaction_id transaction;              ///< Set after `begin`.
    backend_server_id served_by;             ///< Backend server that ran the request.
    bool from_replica{false};
    bool repeated{false}; ///< The answer is that of an earlier run.
};

} // namespace jackdawvane
