#pragma once

#include "jackdawvane/adapters/session_ports.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"
#include "jackdawvane/sessions/session_proxy.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

namespace detail {
class tick_timer;
} // namespace detail

/// @brief Sends the promotion requests of a proxy.
class promotion_port {
  public:
    promotion_port() = default;
    promotion_port(const promotion_port&) = delete;
    promotion_port& operator=(const promotion_port&) = delete;
    promotion_port(promotion_port&&) = delete;
    promotion_port& operator=(promotion_port&&) = delete;
    virtual ~promotion_port() = default;

    /// @brief Sends @a request; the answer is delivered as event `promotion_answered`.
    virtual void promote(const promote_server& request) = 0;
};

/// @brief Ports of a proxy host.
struct proxy_port_set {
    session_port& sessions;
    server_port& servers;
    promotion_port& promotions;
    store_port& store;
    peer_port& peers;
    diagnostics_port& diagnostics;
};

/// @brief Runs a session proxy on an io_context: one thread, one event at a time.
class proxy_host {
  public:
    /// @param proxy outlives this object
    /// @param on_stopped called once after the proxy has stopped
    proxy_host(boost::asio::io_context& context, session_proxy& proxy,
               std::function<void()> on_stopped);
    proxy_host(const proxy_host&) = delete;
    proxy_host& operator=(const proxy_host&) = delete;
    proxy_host(proxy_host&&) = delete;
    proxy_host& operator=(proxy_host&&) = delete;
    ~proxy_host();

    /// @brief Delivers the first tick.
    void start(proxy_port_set ports);
    /// @brief Delivers an event to the proxy, or queues it when called during another event.
    void deliver(proxy_event&& input);
    /// @brief Current time of a clock that also advances while the VM is suspended.
    [[nodiscard]] static time_point now();

  private:
    void handle_one(const proxy_event& input);

    session_proxy& proxy_;
    std::function<void()> on_stopped_;
    std::unique_ptr<detail::tick_timer> timer_;
    std::unique_ptr<proxy_port_set> ports_;
    std::deque<proxy_event> pending_;
    proxy_output batch_;
    bool handling_{false};
    bool stopped_{false};
};

} // namespace jackdawvane
