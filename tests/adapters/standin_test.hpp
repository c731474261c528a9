#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <optional>
#include <string>

#include "standins/common/http_client.hpp"

namespace jackdawvane::standin {

/// @brief Address that test servers listen on; the port is chosen by the system.
inline endpoint any_port() {
    return {"127.0.0.1", 0};
}

/// @brief Runs @a io until the coroutine @a work ends and returns its value.
template <class Value>
Value run(asio::io_context& io, awaitable<Value> work) {
    std::optional<Value> value;
    std::exception_ptr failure;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr raised, Value result) {
        failure = raised;
        value = std::move(result);
    });
    while (!value && io.run_one() > 0) {
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
    return std::move(*value);
}

/// @brief Timeout of calls that are expected to be answered.
inline constexpr milliseconds answer_timeout{10'000};
/// @brief Time after which a call that must not be answered counts as unanswered.
inline constexpr milliseconds no_answer_timeout{60};

/// @brief Sends a POST of @a body to @a target; returns null when there is no answer.
inline Json::Value post(asio::io_context& io, http_client& client, std::string target,
                        const Json::Value& body, milliseconds timeout = answer_timeout) {
    return run(io, client.post(std::move(target), body, timeout));
}

inline Json::Value json_of(const std::string& text) {
    return parse_json(text).value();
}

} // namespace jackdawvane::standin
