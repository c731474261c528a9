#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/node/caller.hpp"

#include <optional>
#include <string>

#include "standins/common/http_client.hpp"

namespace jackdawvane::standin {

/// @brief One request of the caller API.
struct caller_call {
    std::string target;
    std::string api_key;
    std::string session;
    std::string idempotency_key;
    std::uint32_t deadline_ms{2000};
    std::optional<std::uint32_t> max_staleness_ms;
    Json::Value body{Json::objectValue};
};

/// @brief Answer of the caller API.
struct caller_reply {
    bool answered{false}; ///< False after a connection failure, a timeout or an unreadable answer.
    outcome result{outcome::unknown};
    error_kind kind{error_kind::connection_lost}; ///< `none` for success.
    std::string message;
    std::optional<milliseconds> retry_after;
    Json::Value results;
    std::string session;
    std::string transaction;
    std::string served_by;
    bool from_replica{false};
    bool repeated{false};

    /// @brief Whether the request ran without an error.
    [[nodiscard]] bool succeeded() const {
        return result == outcome::done && kind == error_kind::none;
    }
};

/// @brief Sends @a call on @a client and reads the answer.
awaitable<caller_reply> send_call(http_client& client, caller_call call);

/// @brief Body of a request to a route.
[[nodiscard]] Json::Value route_body(const std::string& partition, access_mode mode,
                                     const Json::Value& statements);

} // namespace jackdawvane::standin
