#pragma once

#include "jackdawvane/adapters/session_codec.hpp"
#include "jackdawvane/limits/buffer_budget.hpp"
#include "jackdawvane/sessions/ports.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

/// @brief Receives the events of SQL sessions.
using proxy_event_sink = std::function<void(proxy_event&&)>;

/// @brief A connection that a limit has closed or refused.
struct session_limit_event {
    std::string reason;
    session_id session;   ///< 0 for a connection that was refused.
    std::size_t held{0};  ///< Bytes.
    std::size_t total{0}; ///< Bytes that all connections held.
};

/// @brief Settings of the connections from callers.
struct session_port_settings {
    endpoint listen;
    std::size_t line_limit{std::size_t{1024} * 1024}; ///< Bytes.
    std::size_t session_limit{3900};                  ///< Further connections are refused.
    buffer_limits buffers;
    std::function<void(const session_limit_event&)> on_limit; ///< May be empty.
};

/// @brief Connections from callers, for SQL sessions.
class session_port {
  public:
    /// @param codec outlives this object
    session_port(boost::asio::io_context& context, const session_port_settings& settings,
                 const session_codec& codec, proxy_event_sink sink);
    session_port(const session_port&) = delete;
    session_port& operator=(const session_port&) = delete;
    session_port(session_port&&) = delete;
    session_port& operator=(session_port&&) = delete;
    ~session_port();

    void accept(session_id session, const organisation_id& organisation);
    void answer(session_id session, const statement_reply& reply);
    void reject(session_id session, statement_error problem, const std::string& detail);
    void end(session_id session);
    [[nodiscard]] std::size_t connections() const noexcept;
    /// @brief Bytes buffered for all connections, as counted by the budget.
    [[nodiscard]] std::size_t buffered() const noexcept;

  private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// @brief Settings of the connections to backend servers.
struct server_port_settings {
    std::string local_address;                        ///< Source IP address; empty for any.
    std::size_t line_limit{std::size_t{1024} * 1024}; ///< Bytes.
};

/// @brief Connections to backend servers, for SQL sessions.
class server_port {
  public:
    /// @param codec outlives this object
    server_port(boost::asio::io_context& context, server_port_settings settings,
                const session_codec& codec, proxy_event_sink sink);
    server_port(const server_port&) = delete;
    server_port& operator=(const server_port&) = delete;
    server_port(server_port&&) = delete;
    server_port& operator=(server_port&&) = delete;
    ~server_port();

    void open(const open_server_connection& start);
    void send(const send_to_server& commands);
    void close(connection_id connection);
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace jackdawvane
