#include "standins/jackdawvane-link/relays.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t chunk_size = std::size_t{64} * 1024;        // bytes
constexpr std::size_t queue_limit = std::size_t{4} * 1024 * 1024; // bytes per direction
// Delay after which a close of a silent connection is reported to the other end, like a TCP
// keep-alive timeout.
constexpr std::chrono::seconds silent_close_delay{5};

template <class Endpoint>
Endpoint asio_endpoint(const endpoint& address) {
    return {asio::ip::make_address(address.address), address.port};
}

template <class Socket>
endpoint local_of(const Socket& socket) {
    const auto local = socket.local_endpoint();
    return {local.address().to_string(), local.port()};
}

/// Closes @a socket so that its peer receives a reset.
void abort(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(tcp::socket::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

tcp_relay::tcp_relay(link_state& state, const endpoint& where, endpoint target)
    : state_{state}, listen_{where}, target_{std::move(target)}, place_{state.net.place_of(
                                                                     where.address)} {
    listen();
}

void tcp_relay::listen() {
    if (acceptor_) {
        return;
    }
    acceptor_ =
        std::make_shared<tcp::acceptor>(state_.io, asio_endpoint<tcp::endpoint>(listen_), true);
    listen_ = local_of(*acceptor_);
    asio::co_spawn(state_.io, accept(acceptor_), asio::detached);
}

void tcp_relay::refuse() {
    if (acceptor_) {
        error_code ignored;
        acceptor_->close(ignored);
        acceptor_.reset();
    }
}

void tcp_relay::reset(const place_pair& pair) {
    for (const auto& connection : connections_) {
        const auto& direction = connection->to_server;
        if (state_.net.matches(pair, direction.from, direction.to)) {
            abort(connection->client);
            abort(connection->server);
            connection->to_server.changed.notify();
            connection->to_client.changed.notify();
        }
    }
}

void tcp_relay::silence(const place_pair& pair) {
    for (const auto& connection : connections_) {
        const auto& direction = connection->to_server;
        if (state_.net.matches(pair, direction.from, direction.to)) {
            connection->silent = true;
        }
    }
}

awaitable<void> tcp_relay::accept(std::shared_ptr<tcp::acceptor> acceptor) {
    while (acceptor->is_open()) {
        error_code failed;
        auto socket = co_await acceptor->async_accept(returning(failed));
        if (failed) {
            co_await sleep_for(milliseconds{10});
            continue;
        }
        socket.set_option(tcp::no_delay{true}, failed);
        const auto remote = socket.remote_endpoint(failed);
        const auto from = state_.net.place_of(remote.address().to_string());
        auto connection =
            std::make_shared<relayed_connection>(state_.io, std::move(socket), from, place_);
        asio::co_spawn(state_.io, serve(std::move(connection)), asio::detached);
    }
}

awaitable<void> tcp_relay::wait_until_healed(const relayed_connection& connection) {
    const auto& route = connection.to_server;
    while (connection.client.is_open() && state_.net.is_cut(route.from, route.to)) {
        co_await state_.cuts_changed.wait_until(steady_clock::time_point::max());
    }
}

// Binds to the client's address, so that the target sees the original source address.
awaitable<bool> tcp_relay::connect(connection_ptr connection) {
    auto& direction = connection->to_server;
    co_await wait_until_healed(*connection);
    // A TCP handshake takes one round trip before the first byte can be sent.
    co_await sleep_for(2 * state_.net.delay(direction.from, direction.to));
    error_code failed;
    const auto source = connection->client.remote_endpoint(failed).address();
    if (!failed) {
        connection->server.open(tcp::v4(), failed);
    }
    if (!failed) {
        connection->server.bind({source, 0}, failed);
    }
    if (!failed) {
        co_await connection->server.async_connect(asio_endpoint<tcp::endpoint>(target_),
                                                  returning(failed));
    }
    if (failed) {
        co_return false;
    }
    connection->server.set_option(tcp::no_delay{true}, failed);
    co_return true;
}

awaitable<void> tcp_relay::serve(connection_ptr connection) {
    connections_.push_back(connection);
    const auto self = std::prev(connections_.end());
    if (co_await connect(connection)) {
        auto& io = state_.io;
        auto& [client, server, to_server, to_client, silent] = *connection;
        asio::co_spawn(io, receive(connection, client, to_server), asio::detached);
        asio::co_spawn(io, receive(connection, server, to_client), asio::detached);
        asio::co_spawn(io, deliver(connection, client, to_client), asio::detached);
        co_await deliver(connection, server, to_server);
        // The response to the last bytes may still be in flight.
        while (client.is_open() && server.is_open()) {
            co_await to_client.changed.wait_until(steady_clock::now() + silent_close_delay);
        }
    }
    error_code ignored;
    connection->client.close(ignored);
    connection->server.close(ignored);
    connections_.erase(self);
}

awaitable<void> tcp_relay::receive(connection_ptr connection, tcp::socket& socket,
                                   relayed_direction& direction) {
    std::string buffer(chunk_size, '\0');
    error_code failed;
    while (!failed) {
        const auto size = co_await socket.async_read_some(asio::buffer(buffer), returning(failed));
        if (connection->silent && !failed) {
            continue;
        }
        const auto now = steady_clock::now();
        auto due = state_.net.send(direction.from, direction.to, size, now);
        if (connection->silent) {
            due = now + silent_close_delay;
        }
        direction.queue.push_back({due, buffer.substr(0, failed ? 0 : size)});
        direction.queued_bytes += size;
        direction.changed.notify();
        while (direction.queued_bytes > queue_limit && connection->client.is_open()) {
            co_await direction.changed.wait_until(steady_clock::time_point::max());
        }
    }
}

awaitable<void> tcp_relay::deliver(connection_ptr connection, tcp::socket& socket,
                                   relayed_direction& direction) {
    error_code failed;
    while (!failed) {
        while (direction.queue.empty()) {
            co_await direction.changed.wait_until(steady_clock::time_point::max());
        }
        auto chunk = std::move(direction.queue.front());
        direction.queue.pop_front();
        if (chunk.due > steady_clock::now()) {
            co_await sleep_for(chunk.due - steady_clock::now());
        }
        co_await wait_until_healed(*connection);
        direction.queued_bytes -= chunk.bytes.size();
        direction.changed.notify();
        if (chunk.bytes.empty()) {
            break;
        }
        if (!connection->silent) {
            co_await asio::async_write(socket, asio::buffer(chunk.bytes), returning(failed));
        }
    }
    if (failed || &direction == &connection->to_client) {
        // The target has closed or the write failed: close both sockets.
        connection->client.close(failed);
        connection->server.close(failed);
    } else {
        socket.shutdown(tcp::socket::shutdown_send, failed);
    }
    connection->to_server.changed.notify();
    connection->to_client.changed.notify();
}

udp_relay::udp_relay(link_state& state, const endpoint& listen, const endpoint& target)
    : state_{state}, socket_{state.io, asio_endpoint<udp::endpoint>(listen)},
      target_{asio_endpoint<udp::endpoint>(target)}, place_{state.net.place_of(listen.address)} {
    asio::co_spawn(state_.io, receive(), asio::detached);
}

endpoint udp_relay::local() const {
    return local_of(socket_);
}

awaitable<void> udp_relay::receive() {
    std::string buffer(chunk_size, '\0');
    for (;;) {
        error_code failed;
        udp::endpoint source;
        const auto size =
            co_await socket_.async_receive_from(asio::buffer(buffer), source, returning(failed));
        if (failed) {
            continue; // ICMP errors of an unreachable target are reported here.
        }
        auto from = state_.net.place_of(source.address().to_string());
        const auto due = state_.net.send(from, place_, size, steady_clock::now());
        asio::co_spawn(state_.io, forward(std::move(from), buffer.substr(0, size), due),
                       asio::detached);
    }
}

awaitable<void> udp_relay::forward(std::string from, std::string datagram,
                                   steady_clock::time_point due) {
    if (due > steady_clock::now()) {
        co_await sleep_for(due - steady_clock::now());
    }
    if (!state_.net.is_cut(from, place_)) {
        error_code ignored;
        co_await socket_.async_send_to(asio::buffer(datagram), target_, returning(ignored));
    }
}

} // namespace jackdawvane::standin
