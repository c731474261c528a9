#pragma once

// <utility> has to precede the headers of Boost.Asio coroutines with g++ 12.
#include <utility>

#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace jackdawvane::standin {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using steady_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// @brief Completion token that stores the error in @a error instead of throwing.
inline auto returning(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

/// @brief Suspends the calling coroutine for @a delay.
inline awaitable<void> sleep_for(steady_clock::duration delay) {
    asio::steady_timer timer{co_await asio::this_coro::executor, delay};
    error_code ignored;
    co_await timer.async_wait(returning(ignored));
}

} // namespace jackdawvane::standin
