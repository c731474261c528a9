#pragma once

#include "jackdawvane/node/ports.hpp"

#include <utility>

#include <deque>
#include <functional>
#include <map>
#include <set>

/// @file
/// @brief In-memory ports for tests of the core. Events are queued until `deliver` is called,
/// because a port must not report events from within its calls.

namespace jackdawvane::test_support {

/// @brief Behaviour of the remote side of a port.
enum class behaviour {
    answer,            ///< Answers each request.
    refuse_connection, ///< Refuses the connection.
    refuse_handshake,  ///< Answers the handshake with an error.
    ignore_handshake,  ///< Never answers the handshake.
    close_before_answer,
    malformed_answer,
    oversized_answer,
    wrong_id, ///< Answers with the id of another request.
    never_answer,
};

/// @brief Queue of events that an in-memory port reports later.
class event_queue {
  public:
    explicit event_queue(std::function<void(event&&)> sink) : sink_{std::move(sink)} {}

    void post(event what) { waiting_.push_back(std::move(what)); }
    void deliver() {
        while (!waiting_.empty()) {
            auto next = std::move(waiting_.front());
            waiting_.pop_front();
            sink_(std::move(next));
        }
    }

  private:
    std::function<void(event&&)> sink_;
    std::deque<event> waiting_;
};

/// @brief In-memory connections to backend servers.
class memory_backend_port final : public backend_port {
  public:
    memory_backend_port(std::function<void(event&&)> sink, behaviour server)
        : queue_{std::move(sink)}, server_{server} {}

    void open(const open_connection& request) override {
        const bool refused = server_ == behaviour::refuse_connection ||
                             server_ == behaviour::refuse_handshake ||
                             server_ == behaviour::ignore_handshake;
        if (refused) {
            queue_.post(backend_disconnected{request.connection, "refused"});
            return;
        }
        open_[request.connection] = false;
        queue_.post(backend_connected{request.connection});
    }
    void send(const send_to_backend& request) override {
        const auto found = open_.find(request.connection);
        if (found == open_.end()) {
            return;
        }
        if (found->second || breaks_connection()) {
            drop(request.connection);
        } else if (server_ == behaviour::answer) {
            backend_answer answer;
            answer.id = request.request.id;
            queue_.post(backend_answered{request.connection, answer});
        } else {
            found->second = true;
        }
    }
    void close(const close_connection& request) override { open_.erase(request.connection); }

    /// @brief Closes all connections from the server's side.
    void close_from_server() {
        while (!open_.empty()) {
            drop(open_.begin()->first);
        }
    }
    void deliver() { queue_.deliver(); }

  private:
    [[nodiscard]] bool breaks_connection() const {
        return server_ == behaviour::close_before_answer ||
               server_ == behaviour::malformed_answer || server_ == behaviour::oversized_answer;
    }
    void drop(connection_id connection) {
        open_.erase(connection);
        queue_.post(backend_disconnected{connection, "closed"});
    }

    event_queue queue_;
    behaviour server_;
    std::map<connection_id, bool> open_; ///< Whether a request is in flight.
};

/// @brief In-memory store that answers or fails every call.
class memory_store_port final : public store_port {
  public:
    memory_store_port(std::function<void(event&&)> sink, behaviour server)
        : queue_{std::move(sink)}, server_{server} {}

    void call(const store_request& request) override {
        store_answer answer;
        answer.id = request.id;
        if (server_ == behaviour::answer) {
            answer.status = store_status::ok;
            answer.value = request.key;
        }
        queue_.post(answer);
    }
    void deliver() { queue_.deliver(); }

  private:
    event_queue queue_;
    behaviour server_;
};

/// @brief In-memory transport of messages between VMs.
class memory_peer_port final : public peer_port {
  public:
    /// @brief Ports by the endpoint that they listen on.
    using network = std::map<endpoint, memory_peer_port*>;

    memory_peer_port(network& net, endpoint self, vm_id vm, std::function<void(event&&)> sink)
        : network_{net}, self_{std::move(self)}, vm_{std::move(vm)}, queue_{std::move(sink)} {
        network_[self_] = this;
    }
    memory_peer_port(const memory_peer_port&) = delete;
    memory_peer_port& operator=(const memory_peer_port&) = delete;
    memory_peer_port(memory_peer_port&&) = delete;
    memory_peer_port& operator=(memory_peer_port&&) = delete;
    ~memory_peer_port() override { network_.erase(self_); }

    void send(const send_to_peer& request) override {
        const auto found = network_.find(request.endpoint);
        if (found != network_.end()) {
            found->second->queue_.post(peer_received{vm_, vm_incarnation{7}, request.message});
        } else if (request.channel == peer_channel::stream) {
            queue_.post(peer_disconnected{request.vm});
        }
    }
    void deliver() { queue_.deliver(); }

  private:
    network& network_;
    endpoint self_;
    vm_id vm_;
    event_queue queue_;
};

} // namespace jackdawvane::test_support
