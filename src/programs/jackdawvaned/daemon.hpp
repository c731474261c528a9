#pragma once

#include "jackdawvane/node/node.hpp"

#include <functional>
#include <memory>

#include "daemon_settings.hpp"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

/// @brief The entry daemon: a node with all its adapters on one io_context.
class entry_daemon {
  public:
    using node_factory = std::function<std::unique_ptr<node_interface>(const node_settings&)>;

    /// @throws std::runtime_error when listening on a port fails
    entry_daemon(boost::asio::io_context& context, const daemon_settings& settings,
                 const node_factory& make);
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    entry_daemon(entry_daemon&&) = delete;
    entry_daemon& operator=(entry_daemon&&) = delete;
    ~entry_daemon();

    /// @brief Starts the graceful shutdown, after which the io_context is stopped.
    void stop();

    /// @brief Endpoint that callers and operators connect to.
    [[nodiscard]] endpoint caller_endpoint() const;
    /// @brief Endpoint that other VMs connect to.
    [[nodiscard]] endpoint peer_endpoint() const;

  private:
    struct components;
    std::unique_ptr<components> components_;
};

} // namespace jackdawvane
