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

/// @brief Runs a node on an io_context: delivers events and timer ticks, executes the actions.
///
/// Not movable, because the sinks that adapters hold refer to it.
class asio_host {
  public:
    /// @param on_stopped called once, after the batch of actions with `stopped` was executed
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

    /// @brief Delivers @a input to the node and executes the resulting actions.
    void deliver(event&& input);

    /// @brief Sink through which adapters deliver events to this host.
    [[nodiscard]] event_sink sink();

    /// @brief Current time of the clock that the node uses.
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
