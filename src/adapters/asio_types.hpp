#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <utility>

#include <stdexcept>
#include <string>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

/// @file
/// @brief Asio types bound to the io_context's executor, which avoids a type-erased executor on
/// each operation.

namespace jackdawvane::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

using context_executor = asio::io_context::executor_type;
using tcp_socket = asio::basic_stream_socket<tcp, context_executor>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, context_executor>;
using udp_socket = asio::basic_datagram_socket<udp, context_executor>;
using steady_timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>, context_executor>;

/// @brief Asio endpoint of @a value.
/// @throws boost::system::system_error when the address is not an IP address
template <class Protocol>
typename Protocol::endpoint to_asio(const endpoint& value) {
    return {asio::ip::make_address(value.address), value.port};
}

/// @brief Endpoint of the Asio endpoint @a value.
template <class AsioEndpoint>
endpoint from_asio(const AsioEndpoint& value) {
    return {value.address().to_string(), value.port()};
}

/// @brief Closes @a socket with a TCP reset, which discards data that is not yet delivered.
///
/// After an ordinary close the kernel keeps retransmitting: once a network partition heals,
/// messages that the sender had given up would arrive many seconds late.
inline void reset_connection(tcp_socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

/// @brief Acceptor that listens on @a where.
/// @throws std::runtime_error with advice in the message when listening fails
inline tcp_acceptor listen_on(asio::io_context& context, const endpoint& where) {
    try {
        return tcp_acceptor{context.get_executor(), to_asio<tcp>(where)};
    } catch (const boost::system::system_error& problem) {
        throw std::runtime_error{"cannot listen on " + where.address + ":" +
                                 std::to_string(where.port) + ": " + problem.code().message() +
                                 "; set an address of this machine and a free port"};
    }
}

} // namespace jackdawvane::detail
