#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/adapters/peer_traffic.hpp"
#include "jackdawvane/node/ports.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

/// @brief Settings of the messaging between VMs.
struct peer_port_settings {
    vm_id self;
    vm_incarnation incarnation;
    region_id region;
    endpoint listen;           ///< TCP and UDP; port 0 picks a free port.
    std::string local_address; ///< Source IP address of connections; empty for any.
    std::string secret;        ///< Key of the MAC of each message, shared by the fleet.
    std::function<void(std::string)> log{}; ///< Receives a summary after each configuration.
};

/// @brief Exchanges messages with other VMs as JSON-RPC notifications over TCP and UDP.
///
/// Each message is one line or datagram: the MAC of the text, a space and the text. The
/// parameters are `{"from": vm, "incarnation": number, "body": {...}}`.
class peer_port_adapter final : public peer_port {
  public:
    /// @throws std::runtime_error when listening on the address fails
    peer_port_adapter(boost::asio::io_context& context, const peer_port_settings& settings,
                      event_sink sink);
    peer_port_adapter(const peer_port_adapter&) = delete;
    peer_port_adapter& operator=(const peer_port_adapter&) = delete;
    peer_port_adapter(peer_port_adapter&&) = delete;
    peer_port_adapter& operator=(peer_port_adapter&&) = delete;
    ~peer_port_adapter() override;

    void send(const send_to_peer& request) override;

    /// @brief Address and port on which this VM receives messages.
    [[nodiscard]] endpoint local_endpoint() const;

    /// @brief Counters of bytes and dropped messages.
    [[nodiscard]] peer_traffic& traffic() noexcept;

  private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace jackdawvane
