#pragma once

#include "jackdawvane/adapters/session_codec.hpp"
#include "jackdawvane/sessions/ports.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

/// @brief Takes events of SQL sessions.
using proxy_event_sink = std::function<void(proxy_event&&)>;

/// @brief Settings of the callers' side.
struct session_port_settings {
    endpoint listen;
    std::size_t line_limit{std::size_t{1024} * 1024}; ///< Bytes.
    std::size_t session_limit{3900};                  ///< Further connections are closed.
};

/// @brief Callers' connections.
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

    void greet(session_id session);
    void answer(session_id session, const statement_reply& reply);
    void reject(session_id session, statement_error problem, const std::string& detail);
    void end(session_id session);
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// @brief Settings of the backend servers' side.
struct member_port_settings {
    std::string local_address;                        ///< Source IP number; empty for any.
    std::size_t line_limit{std::size_t{1024} * 1024}; ///< Bytes.
};

/// @brief Connections to backend servers.
class member_port {
  public:
    /// @param codec outlives this object
    member_port(boost::asio::io_context& context, member_port_settings settings,
                const session_codec& codec, proxy_event_sink sink);
    member_port(const member_port&) = delete;
    member_port& operator=(const member_port&) = delete;
    member_port(member_port&&) = delete;
    member_port& operator=(member_port&&) = delete;
    ~member_port();

    void open(const open_member& start);
    void send(const send_to_member& commands);
    void close(connection_id connection);
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace jackdawvane
