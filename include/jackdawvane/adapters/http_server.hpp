#pragma once

#include "jackdawvane/adapters/http_message.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

namespace detail {
class http_session;
struct http_server_state;
} // namespace detail

/// @brief Responds to one request, immediately or later; copies refer to the same request.
class http_responder {
  public:
    http_responder() = default;
    http_responder(std::weak_ptr<detail::http_session> session, std::uint64_t serial) noexcept
        : session_{std::move(session)}, serial_{serial} {}

    /// @brief Sends @a response; ignored after the first response or when the connection closed.
    void respond(http_response response) const;

    /// @brief Sets the callback for a connection that closes before the response.
    void on_closed(std::function<void()> callback) const;

  private:
    std::weak_ptr<detail::http_session> session_;
    std::uint64_t serial_{0};
};

/// @brief Limits of an HTTP server.
struct http_server_settings {
    endpoint listen;                                  ///< Port 0 picks a free port.
    std::size_t body_limit{std::size_t{1024} * 1024}; ///< Bytes; larger requests get status 413.
    std::uint32_t header_limit{16 * 1024};            ///< Bytes; larger headers get status 431.
    std::size_t connection_limit{20000};              ///< Further connections are closed at once.
    /// At the connection limit, close the connection that has waited longest for a request or a
    /// reader instead of the new one.
    bool close_oldest_when_full{false};
    duration request_timeout{std::chrono::seconds{10}}; ///< First to last byte of a request.
    duration idle_timeout{std::chrono::seconds{300}};   ///< Between requests.
};

/// @brief HTTP/1.1 server with persistent connections.
///
/// A connection handles one request at a time; until its response has been sent, at most one read
/// buffer of pipelined input is read ahead. All calls and callbacks happen on the context's thread.
class http_server {
  public:
    using handler = std::function<void(const http_request_view&, http_responder)>;

    /// @throws std::runtime_error when listening on the address fails
    http_server(boost::asio::io_context& context, const http_server_settings& settings,
                handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    /// @brief Closes all connections at once, without callbacks.
    ~http_server();

    /// @brief Address and port that the server listens on.
    [[nodiscard]] endpoint local_endpoint() const;

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

    /// @brief Stops listening, closes idle connections and lets requests in flight finish.
    /// @param stopped called once when the last connection has closed
    void stop(std::function<void()> stopped);

  private:
    std::shared_ptr<detail::http_server_state> state_;
};

} // namespace jackdawvane
