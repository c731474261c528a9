#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "standins/common/asio.hpp"
#include <boost/core/noncopyable.hpp>
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief HTTP request received by a stand-in.
struct http_request {
    std::string method;
    std::string target;
    std::string body;
    std::string raw; ///< Request line, header fields and body, for recording.
};

/// @brief HTTP response of a stand-in.
struct http_reply {
    unsigned status{200};
    std::string body;
    bool dropped{false}; ///< Sends no response; the connection stays open but unresponsive.
    std::map<std::string, std::string> fields{}; ///< Further header fields.
    bool twice{false};                           ///< The response is sent a second time.
};

/// @brief One accepted connection.
struct http_connection {
    std::uint64_t id{0};
    tcp::socket socket;
    bool silent{false};             ///< Input is discarded and nothing more is sent.
    bool closed{false};             ///< The peer has closed it.
    bool watching_for_close{false}; ///< A wait for a close by the peer is pending.
};

/// @brief HTTP/1.1 server with one coroutine per keep-alive connection.
class http_server : private boost::noncopyable {
  public:
    using connection_ptr = std::shared_ptr<http_connection>;
    using handler = std::function<awaitable<http_reply>(connection_ptr, const http_request&)>;
    using close_handler = std::function<void(std::uint64_t connection)>;

    /// @brief Listens on @a listen; port 0 selects a free port.
    /// @param on_close called with the connection's id when a connection is closed
    /// @throws boost::system::system_error when the address is in use
    http_server(asio::io_context& io, const endpoint& listen, handler handle,
                close_handler on_close = {});

    /// @brief Listening address with the actual port.
    [[nodiscard]] const endpoint& local() const noexcept { return local_; }
    /// @brief Refuses new connections for @a time.
    void refuse_for(milliseconds time);
    /// @brief Makes all open connections but @a excluded unresponsive without closing them.
    void silence(std::uint64_t excluded);
    /// @brief Closes all connections and the listening socket.
    void stop();

  private:
    void start_listening();
    void close(const connection_ptr& connection);
    void watch_for_close(const connection_ptr& connection);
    awaitable<void> accept();
    awaitable<void> serve(connection_ptr connection);
    awaitable<bool> exchange(connection_ptr connection, std::string& pending);
    static awaitable<void> discard_input(connection_ptr connection);

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    endpoint local_;
    handler handle_;
    close_handler on_close_;
    std::uint64_t last_id_{0};
    std::map<std::uint64_t, connection_ptr> connections_;
};

/// @brief Response with @a json as its body.
[[nodiscard]] http_reply json_reply(const Json::Value& json, unsigned status = 200);

/// @brief Response with the error @a message as its body.
[[nodiscard]] http_reply error_reply(unsigned status, const std::string& message);

} // namespace jackdawvane::standin
