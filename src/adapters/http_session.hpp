#pragma once

#include "jackdawvane/adapters/http_server.hpp"

#include <utility>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

#include "asio_types.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jackdawvane::detail {

namespace http = boost::beast::http;

struct http_server_state;

/// @brief One connection of an HTTP server.
class http_session : public std::enable_shared_from_this<http_session> {
  public:
    http_session(tcp_socket socket, std::shared_ptr<http_server_state> server,
                 std::uint64_t number);

    void start();
    void respond(std::uint64_t serial, http_response response);
    void on_closed(std::uint64_t serial, std::function<void()> callback);

    /// @brief Closes the connection; invokes the `on_closed` callback of a request in flight.
    void close();
    /// @brief Closes the connection without invoking the `on_closed` callback.
    void discard();
    /// @brief Closes the connection as soon as no request is in flight.
    void finish();
    /// @brief Closes the connection when the timeout of its phase has expired.
    void sweep(std::uint32_t now_s);

    /// @brief Second and number that order the connections by how long they have waited for the
    /// client; empty while a request is handled.
    [[nodiscard]] std::optional<std::pair<std::uint32_t, std::uint64_t>>
    waiting_since() const noexcept;

  private:
    enum class phase { idle, receiving, handling, writing, closed };

    void enter(phase next);
    void read();
    void on_read(error_code failure, std::size_t size);
    void advance();
    void parse(error_code& failure);
    void reset_parser();
    void dispatch();
    void reject(error_code failure);
    void write(http_response response, bool keep_alive);
    void on_written(error_code failure, bool keep_alive);

    tcp_socket socket_;
    std::shared_ptr<http_server_state> server_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::function<void()> closed_callback_;
    std::uint64_t number_;
    std::uint64_t serial_{0};
    std::uint32_t phase_since_s_{0};
    phase phase_{phase::idle};
    bool reading_{false};
    bool finishing_{false};
};

/// @brief State that the sessions of a server share.
struct http_server_state : std::enable_shared_from_this<http_server_state> {
    http_server_state(asio::io_context& context, const http_server_settings& limits,
                      http_server::handler handler);

    void accept();
    void admit(tcp_socket socket);
    void close_oldest();
    void sweep();
    void remove(const std::shared_ptr<http_session>& session);
    void report_stopped();

    http_server_settings settings;
    http_server::handler on_request;
    tcp_acceptor acceptor;
    steady_timer sweep_timer;
    std::uint64_t last_number{0};
    std::unordered_set<std::shared_ptr<http_session>> sessions;
    std::function<void()> stopped;
    std::uint32_t now_s{0};
    bool stopping{false};
};

} // namespace jackdawvane::detail
