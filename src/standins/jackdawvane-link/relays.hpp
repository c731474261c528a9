#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-link/network.hpp"
#include <boost/core/noncopyable.hpp>

namespace jackdawvane::standin {

/// @brief What all relays of a process share.
struct link_state {
    link_state(asio::io_context& context, network places)
        : io{context}, net{std::move(places)}, cuts_changed{context} {}

    asio::io_context& io;
    network net;
    notifier cuts_changed; ///< Wakes relays that hold bytes back because of a cut.
};

/// @brief One direction of a relayed connection: bytes with their arrival times, in order.
struct relayed_direction {
    struct chunk {
        steady_clock::time_point due;
        std::string bytes; ///< Empty for the end of the stream.
    };

    relayed_direction(asio::io_context& io, std::string source, std::string target)
        : from{std::move(source)}, to{std::move(target)}, changed{io} {}

    std::string from; ///< Place names.
    std::string to;
    std::deque<chunk> queue;
    std::size_t queued_bytes{0};
    notifier changed;
};

/// @brief Connection that passes through the relay.
struct relayed_connection {
    relayed_connection(asio::io_context& io, tcp::socket accepted, const std::string& from,
                       const std::string& to)
        : client{std::move(accepted)}, server{io}, forth{io, from, to}, back{io, to, from} {}

    tcp::socket client;
    tcp::socket server;
    relayed_direction forth;
    relayed_direction back;
    bool silent{false}; ///< Delivers nothing any more, in both directions.
};

/// @brief Relays TCP connections of one listening endpoint.
///
/// A cut holds bytes and new connections back until it heals, as retransmission would; a
/// silenced connection loses its bytes for good.
class tcp_relay : private boost::noncopyable {
  public:
    /// @throws boost::system::system_error when the address is in use
    tcp_relay(link_state& state, const endpoint& listen, endpoint target);

    [[nodiscard]] endpoint local() const;
    /// @brief Open connections between the places of @a pair go silent.
    void silence(const place_pair& pair);
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

  private:
    using connection_ptr = std::shared_ptr<relayed_connection>;

    awaitable<void> accept();
    awaitable<void> serve(connection_ptr connection);
    awaitable<bool> connect(connection_ptr connection);
    awaitable<void> receive(connection_ptr connection, tcp::socket& socket,
                            relayed_direction& direction);
    awaitable<void> deliver(connection_ptr connection, tcp::socket& socket,
                            relayed_direction& direction);
    awaitable<void> wait_for_way(const relayed_direction& direction);

    link_state& state_;
    tcp::acceptor acceptor_;
    endpoint target_;
    std::string place_;
    std::list<connection_ptr> connections_;
};

/// @brief Relays datagrams of one listening endpoint, one way; a cut loses them.
class udp_relay : private boost::noncopyable {
  public:
    /// @throws boost::system::system_error when the address is in use
    udp_relay(link_state& state, const endpoint& listen, const endpoint& target);

    [[nodiscard]] endpoint local() const;

  private:
    awaitable<void> receive();
    awaitable<void> forward(std::string from, std::string datagram, steady_clock::time_point due);

    link_state& state_;
    udp::socket socket_;
    udp::endpoint target_;
    std::string place_;
};

} // namespace jackdawvane::standin
