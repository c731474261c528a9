#pragma once

#include "jackdawvane/adapters/event_sink.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/ports.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

class http_client;

/// @brief Settings of the connections to backend servers.
struct backend_port_settings {
    vm_id self;                ///< Sent in the handshake.
    std::string local_address; ///< Source IP address; empty lets the system choose.
    duration open_timeout{std::chrono::seconds{1}}; ///< For connect and handshake each.
};

/// @brief Connections to backend servers over HTTP.
///
/// Requests have no timeout here: the owner of a request closes the connection when its deadline
/// has passed.
class backend_port_adapter final : public backend_port {
  public:
    backend_port_adapter(boost::asio::io_context& context, backend_port_settings settings,
                         event_sink sink);
    backend_port_adapter(const backend_port_adapter&) = delete;
    backend_port_adapter& operator=(const backend_port_adapter&) = delete;
    backend_port_adapter(backend_port_adapter&&) = delete;
    backend_port_adapter& operator=(backend_port_adapter&&) = delete;
    ~backend_port_adapter() override;

    void open(const open_connection& request) override;
    void send(const send_to_backend& request) override;
    void close(const close_connection& request) override;

    /// @brief Number of connections that are open or being opened.
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

  private:
    void send_handshake(connection_id connection);
    void receive(connection_id connection, const std::string& body);
    void fail(connection_id connection, std::string reason);
    void post_failure(connection_id connection, std::string reason);

    boost::asio::io_context& context_;
    backend_port_settings settings_;
    event_sink sink_;
    std::unordered_map<connection_id, std::unique_ptr<http_client>> connections_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace jackdawvane
