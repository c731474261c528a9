#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"
#include "jackdawvane/node/node_interface.hpp"
#include "jackdawvane/node/ports.hpp"

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

/// @brief Drives a node on an io_context: feeds events and time, carries the actions out.
///
/// Not movable; adapters refer to it through `sink()`.
class asio_host {
  public:
    /// @param on_stopped called once, after the actions that came with `stopped`
    asio_host(boost::asio::io_context& context, node_interface& node,
              std::function<void()> on_stopped);
    asio_host(const asio_host&) = delete;
    asio_host& operator=(const asio_host&) = delete;
    asio_host(asio_host&&) = delete;
    asio_host& operator=(asio_host&&) = delete;
    ~asio_host();

    /// @brief Sets the ports and sends the first `timer_tick`.
    /// @pre called once, before the context runs
    void start(port_set ports);

    /// @brief Feeds @a input to the node and carries out the resulting actions.
    void deliver(event&& input);

    /// @brief Sink for the adapters that delivers to this host.
    [[nodiscard]] event_sink sink();

    /// @brief Present time on the node's time line.
    [[nodiscard]] static time_point now();

  private:
    void handle_pending();
    void handle_one(const event& input);

    node_interface& node_;
    std::function<void()> on_stopped_;
    std::unique_ptr<detail::tick_timer> timer_;
    std::unique_ptr<action_dispatcher> dispatcher_;
    std::deque<event> pending_;
    actions batch_;
    bool handling_{false};
};

} // namespace jackdawvane
