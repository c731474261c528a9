#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/ports.hpp"

#include <json/json.h>

namespace jackdawvane {

/// @brief State machine driven by a host: it takes events and returns actions.
///
/// A node does no I/O and reads no clock. It is not thread-safe: only one thread may call it.
class node_interface {
  public:
    node_interface() = default;
    node_interface(const node_interface&) = delete;
    node_interface& operator=(const node_interface&) = delete;
    node_interface(node_interface&&) = delete;
    node_interface& operator=(node_interface&&) = delete;
    virtual ~node_interface() = default;

    /// @brief Processes one event.
    /// @param now time of the event; never earlier than that of the previous event
    /// @param what the event
    /// @param out receives the actions, which the host executes in order
    virtual void handle(time_point now, const event& what, actions& out) = 0;

    /// @brief Latest time at which the host has to deliver a `timer_tick`.
    [[nodiscard]] virtual time_point next_deadline() const = 0;

    /// @brief State for operators: configuration revision, VMs, groups, shares and queues.
    [[nodiscard]] virtual Json::Value describe() const = 0;

    /// @brief Whether the node has a configuration and accepts requests.
    [[nodiscard]] virtual bool ready() const = 0;
};

} // namespace jackdawvane
