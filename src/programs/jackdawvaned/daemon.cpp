#include "daemon.hpp"

#include "jackdawvane/adapters/asio_host.hpp"
#include "jackdawvane/adapters/backend_port_adapter.hpp"
#include "jackdawvane/adapters/caller_api.hpp"
#include "jackdawvane/adapters/diagnostics.hpp"
#include "jackdawvane/adapters/http_server.hpp"
#include "jackdawvane/adapters/peer_port_adapter.hpp"
#include "jackdawvane/adapters/process_identity.hpp"
#include "jackdawvane/adapters/store_port_adapter.hpp"
#include "jackdawvane/foundation/code_version.hpp"

#include <utility>

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jackdawvane {

namespace {

// Gives the last messages to other VMs time to be sent.
constexpr auto exit_delay = std::chrono::milliseconds{100};

http_server_settings caller_server_settings(const daemon_settings& settings) {
    http_server_settings server;
    server.listen = {settings.address, settings.caller_port};
    return server;
}

peer_port_settings peer_settings(const daemon_settings& settings, vm_incarnation incarnation) {
    return {settings.vm,      incarnation,
            settings.region,  {settings.address, settings.peer_port},
            settings.address, settings.peer_secret};
}

store_port_settings store_settings(const daemon_settings& settings) {
    store_port_settings store;
    store.store = settings.store;
    store.local_address = settings.address;
    return store;
}

} // namespace

struct entry_daemon::components {
    components(boost::asio::io_context& io, const daemon_settings& settings,
               const node_factory& make)
        : context{io}, telemetry{settings.log}, server{io, caller_server_settings(settings),
                                                       [this](const http_request_view& request,
                                                              const http_responder& responder) {
                                                           api.handle(request, responder);
                                                       }},
          peers{io, peer_settings(settings, incarnation), sink()},
          node{make(make_node_settings(settings, server.local_endpoint(), peers.local_endpoint(),
                                       incarnation, random_seed()))},
          host{io, *node, [this] { finish(); }},
          backends{io, {settings.vm, settings.address}, sink()}, store{io, store_settings(settings),
                                                                       sink()},
          api{sink(), *node, [this] { return metrics_text(); }}, exit_timer{io} {
        telemetry.log({"daemon", log_level::info,
                       "start vm=" + settings.vm.str() + " version=" + code_version()});
        host.start({api, backends, store, peers, telemetry});
    }

    event_sink sink() {
        return [this](event&& input) { host.deliver(std::move(input)); };
    }

    std::string metrics_text() {
        peers.traffic().report(telemetry);
        telemetry.report({store.calls(), server.connections(), backends.connections()});
        return telemetry.metrics().text();
    }

    void finish() {
        server.stop([this] {
            exit_timer.expires_after(exit_delay);
            exit_timer.async_wait([this](boost::system::error_code failure) {
                if (!failure) {
                    context.stop();
                }
            });
        });
    }

    boost::asio::io_context& context;
    vm_incarnation incarnation{current_incarnation()};
    diagnostics telemetry;
    http_server server;
    peer_port_adapter peers;
    std::unique_ptr<node_interface> node;
    asio_host host;
    backend_port_adapter backends;
    store_port_adapter store;
    caller_api api;
    boost::asio::steady_timer exit_timer;
};

entry_daemon::entry_daemon(boost::asio::io_context& context, const daemon_settings& settings,
                           const node_factory& make)
    : components_{std::make_unique<components>(context, settings, make)} {}

entry_daemon::~entry_daemon() = default;

void entry_daemon::stop() {
    components_->host.deliver(stop_requested{});
}

endpoint entry_daemon::caller_endpoint() const {
    return components_->server.local_endpoint();
}

endpoint entry_daemon::peer_endpoint() const {
    return components_->peers.local_endpoint();
}

} // namespace jackdawvane
