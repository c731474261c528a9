#include "standins/common/http_server.hpp"

#include "jackdawvane/foundation/json_codec.hpp"

#include <sstream>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jackdawvane::standin {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t body_limit = std::uint64_t{16} * 1024 * 1024; // bytes

std::string raw_text(const http::request<http::string_body>& message) {
    std::ostringstream out;
    out << message.base() << message.body();
    return out.str();
}

} // namespace

http_reply json_reply(const Json::Value& json, unsigned status) {
    return {status, write_json(json), false};
}

http_reply error_reply(unsigned status, const std::string& message) {
    Json::Value json;
    json["error"] = message;
    return json_reply(json, status);
}

http_server::http_server(asio::io_context& io, const endpoint& listen, handler handle,
                         close_handler on_close)
    : io_{io}, acceptor_{io}, local_{listen}, handle_{std::move(handle)}, on_close_{
                                                                              std::move(on_close)} {
    start_listening();
}

void http_server::start_listening() {
    const tcp::endpoint address{asio::ip::make_address(local_.address), local_.port};
    acceptor_ = tcp::acceptor{io_, address, true};
    local_.port = acceptor_.local_endpoint().port();
    asio::co_spawn(io_, accept(), asio::detached);
}

void http_server::refuse_for(milliseconds time) {
    acceptor_.close();
    auto timer = std::make_shared<asio::steady_timer>(io_, time);
    timer->async_wait([this, timer](const error_code&) {
        if (!acceptor_.is_open()) {
            start_listening();
        }
    });
}

void http_server::silence(std::uint64_t excluded) {
    for (const auto& [id, connection] : connections_) {
        connection->silent = connection->silent || id != excluded;
    }
}

void http_server::stop() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& [id, connection] : connections_) {
        connection->socket.close(ignored);
    }
}

awaitable<void> http_server::accept() {
    for (;;) {
        error_code failed;
        auto socket = co_await acceptor_.async_accept(returning(failed));
        if (failed == asio::error::operation_aborted || !acceptor_.is_open()) {
            co_return;
        }
        if (failed) {
            continue;
        }
        socket.set_option(tcp::no_delay{true}, failed);
        const auto id = ++last_id_;
        auto connection =
            std::make_shared<http_connection>(http_connection{id, std::move(socket), {}, {}, {}});
        connections_.emplace(id, connection);
        asio::co_spawn(io_, serve(std::move(connection)), asio::detached);
    }
}

void http_server::close(const connection_ptr& connection) {
    if (connections_.erase(connection->id) == 0) {
        return;
    }
    connection->closed = true;
    if (on_close_) {
        on_close_(connection->id);
    }
}

// Detects a close by the peer while a handler is running, so that an open transaction is rolled
// back immediately.
void http_server::watch_for_close(const connection_ptr& connection) {
    if (connection->watching_for_close) {
        return;
    }
    connection->watching_for_close = true;
    connection->socket.async_wait(tcp::socket::wait_read, [this,
                                                           connection](const error_code& failed) {
        connection->watching_for_close = false;
        if (failed) {
            return;
        }
        char byte{0};
        error_code read_failed;
        connection->socket.non_blocking(true, read_failed);
        connection->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, read_failed);
        if (read_failed && read_failed != asio::error::would_block) {
            close(connection);
        }
    });
}

awaitable<void> http_server::discard_input(connection_ptr connection) {
    std::string sink(4096, '\0');
    for (error_code failed; !failed;) {
        co_await connection->socket.async_read_some(asio::buffer(sink), returning(failed));
    }
}

awaitable<bool> http_server::exchange(connection_ptr connection, std::string& pending) {
    error_code failed;
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    auto buffer = asio::dynamic_buffer(pending);
    co_await http::async_read(connection->socket, buffer, parser, returning(failed));
    if (failed) {
        co_return false;
    }
    if (connection->silent) {
        co_await discard_input(connection);
        co_return false;
    }
    auto message = parser.release();
    http_request request{
        std::string{message.method_string()}, std::string{message.target()}, {}, raw_text(message)};
    request.body = std::move(message.body());
    watch_for_close(connection);
    auto reply = co_await handle_(connection, request);
    if (connection->silent || reply.dropped) {
        co_await discard_input(connection);
        co_return false;
    }
    http::response<http::string_body> response{http::int_to_status(reply.status), 11};
    response.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : reply.fields) {
        response.set(name, value);
    }
    response.keep_alive(message.keep_alive());
    response.body() = std::move(reply.body);
    response.prepare_payload();
    co_await http::async_write(connection->socket, response, returning(failed));
    if (!failed && reply.twice) {
        co_await http::async_write(connection->socket, response, returning(failed));
    }
    co_return !failed && response.keep_alive();
}

awaitable<void> http_server::serve(connection_ptr connection) {
    std::string pending;
    while (co_await exchange(connection, pending)) {
    }
    close(connection);
    error_code ignored;
    connection->socket.close(ignored);
}

} // namespace jackdawvane::standin
