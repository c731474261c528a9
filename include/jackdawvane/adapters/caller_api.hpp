#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/adapters/http_server.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/node/node_interface.hpp"
#include "jackdawvane/node/ports.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace jackdawvane {

/// @brief HTTP status of @a answer.
[[nodiscard]] unsigned http_status_of(const caller_answer& answer) noexcept;

/// @brief Body of the HTTP response for @a answer.
[[nodiscard]] Json::Value caller_answer_json(const caller_answer& answer);

/// @brief Reads a caller's HTTP request.
/// @return the request with `caller` unset, or an error that says what is malformed
[[nodiscard]] result<caller_request> read_caller_request(const http_request_view& request);

/// @brief HTTP API for callers and operators: turns requests into events, answers into responses.
class caller_api final : public caller_port {
  public:
    /// @param sink receives `caller_request` and `caller_disconnected`
    /// @param node asked for readiness and status; has to outlive this object
    /// @param metrics returns the text served at `/metrics`
    caller_api(event_sink sink, const node_interface& node, std::function<std::string()> metrics);

    /// @brief Handles one request of the HTTP server.
    void handle(const http_request_view& request, const http_responder& responder);

    void answer(const caller_answer& answer) override;

    /// @brief Number of requests that have not been answered yet.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

  private:
    void handle_caller(const http_request_view& request, const http_responder& responder);
    [[nodiscard]] http_response operator_response(const http_request_view& request) const;

    event_sink sink_;
    const node_interface& node_;
    std::function<std::string()> metrics_;
    id_sequence<caller_id> ids_;
    std::unordered_map<caller_id, http_responder> waiting_;
};

} // namespace jackdawvane
