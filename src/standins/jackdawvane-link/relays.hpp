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

/// @brief State that is shared by all relays of a process.
struct link_state {
    link_state(asio::io_context& context, network places)
        : io{context}, net{std::move(places)}, cuts_changed{context} {}

    asio::io_context& io;
    network net;
    notifier cuts_changed; ///< Wakes relays that buffer bytes during a cut.
};

/// @brief One direction of a relayed connection: queue of chunks with their delivery times.
struct relayed_direction {
    struct chunk {
        steady_clock::time_point due;
        std::string bytes; ///< Empty at the end of the stream.
    };

    relayed_direction(asio::io_context& io, std::string source, std::string target)
        : from{std::move(source)}, to{std::move(target)}, changed{io} {}

    std::string from; ///< Place of the sender.
    std::string to;   ///< Place of the receiver.
    std::deque<chunk> queue;
    std::size_t queued_bytes{0};
    notifier changed;
};

/// @brief Relayed TCP connection: the accepted socket and the one to the target.
struct relayed_connection {
    relayed_connection(asio::io_context& io, tcp::socket accepted, const std::string& from,
                       const std::string& to)
        : client{std::move(accepted)}, server{io}, to_server{io, from, to}, to_client{io, to,
                                                                                      from} {}

    tcp::socket client;
    tcp::socket server;
    relayed_direction to_server;
    relayed_direction to_client;
    bool silent{false}; ///< Bytes of both directions are dropped.
};

/// @brief Relays TCP connections of one listening endpoint.
///
/// A cut delays bytes and new connections until it is healed, as TCP retransmission would. A
/// silenced connection drops all further bytes and never recovers. A relay that refuses has no
/// listening socket, so the kernel refuses new connections of every place; open ones go on.
class tcp_relay : private boost::noncopyable {
  public:
    /// @throws boost::system::system_error when the address is in use
    tcp_relay(link_state& state, const endpoint& listen, endpoint target);

    [[nodiscard]] const endpoint& local() const noexcept { return listen_; }
    [[nodiscard]] const std::string& place() const noexcept { return place_; }
    /// @brief Makes the open connections between the places of @a pair drop all further bytes.
    void silence(const place_pair& pair);
    /// @brief Resets the open connections between the places of @a pair at both ends.
    void reset(const place_pair& pair);
    /// @brief Refuses new connections until `listen`.
    void refuse();
    /// @brief Accepts connections again.
    /// @throws boost::system::system_error when the address is in use
    void listen();
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

  private:
    using connection_ptr = std::shared_ptr<relayed_connection>;

    awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor);
    awaitable<void> serve(connection_ptr connection);
    awaitable<bool> connect(connection_ptr connection);
    awaitable<void> receive(connection_ptr connection, tcp::socket& socket,
                            relayed_direction& direction);
    awaitable<void> deliver(connection_ptr connection, tcp::socket& socket,
                            relayed_direction& direction);
    /// Returns at once when the connection has been reset.
    awaitable<void> wait_until_healed(const relayed_connection& connection);

    link_state& state_;
    std::shared_ptr<tcp::acceptor> acceptor_; ///< Null while new connections are refused.
    endpoint listen_;
    endpoint target_;
    std::string place_;
    std::list<connection_ptr> connections_;
};

/// @brief Relays datagrams of one listening endpoint in one direction; drops them during a cut.
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
