#include "jackdawvane/adapters/backend_port_adapter.hpp"

#include "jackdawvane/adapters/http_client.hpp"
#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace jackdawvane {

backend_port_adapter::backend_port_adapter(boost::asio::io_context& context,
                                           backend_port_settings settings, event_sink sink)
    : context_{context}, settings_{std::move(settings)}, sink_{std::move(sink)} {}

backend_port_adapter::~backend_port_adapter() = default;

void backend_port_adapter::open(const open_connection& request) {
    const auto id = request.connection;
    http_client_settings client;
    client.remote = request.endpoint;
    client.local_address = settings_.local_address;
    client.connect_timeout = settings_.open_timeout;
    auto& slot = connections_[id];
    slot = std::make_unique<http_client>(context_, client);
    slot->connect([this, id](const result<void>& connected) {
        if (!connected) {
            fail(id, connected.error().detail);
            return;
        }
        send_handshake(id);
    });
}

void backend_port_adapter::send_handshake(connection_id connection) {
    Json::Value body;
    body["vm"] = settings_.self.str();
    connections_.at(connection)
        ->request("POST", "/connect", write_json(body), settings_.open_timeout,
                  [this, connection](const result<http_answer>& answer) {
                      if (!answer) {
                          fail(connection, answer.error().detail);
                          return;
                      }
                      if (answer.value().status != 200) {
                          fail(connection, "handshake refused with status " +
                                               std::to_string(answer.value().status) + ": " +
                                               answer.value().body);
                          return;
                      }
                      connections_.at(connection)
                          ->on_idle_close([this, connection](const std::string& reason) {
                              fail(connection, reason);
                          });
                      sink_(backend_connected{connection});
                  });
}

void backend_port_adapter::send(const send_to_backend& request) {
    const auto id = request.connection;
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return; // The node has not yet handled the event for the closed connection.
    }
    if (found->second->busy()) {
        post_failure(id, "request sent while another one was in flight on the connection");
        return;
    }
    found->second->request("POST", "/backend", write_json(to_json(request.request)), {},
                           [this, id](const result<http_answer>& answer) {
                               if (!answer) {
                                   fail(id, answer.error().detail);
                                   return;
                               }
                               if (answer.value().status != 200) {
                                   fail(id, "status " + std::to_string(answer.value().status));
                                   return;
                               }
                               receive(id, answer.value().body);
                           });
}

void backend_port_adapter::receive(connection_id connection, const std::string& body) {
    const auto json = parse_json(body);
    if (!json) {
        fail(connection, json.error().detail);
        return;
    }
    auto answer = from_json<backend_answer>(json.value());
    if (!answer) {
        fail(connection, answer.error().detail);
        return;
    }
    sink_(backend_answered{connection, std::move(answer).value()});
}

void backend_port_adapter::close(const close_connection& request) {
    connections_.erase(request.connection);
}

void backend_port_adapter::fail(connection_id connection, std::string reason) {
    if (connections_.erase(connection) > 0) {
        sink_(backend_disconnected{connection, std::move(reason)});
    }
}

void backend_port_adapter::post_failure(connection_id connection, std::string reason) {
    boost::asio::post(context_, [this, connection, reason = std::move(reason),
                                 alive = std::weak_ptr<bool>{alive_}]() mutable {
        if (!alive.expired()) {
            fail(connection, std::move(reason));
        }
    });
}

} // namespace jackdawvane
