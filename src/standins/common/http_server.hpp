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

/// @brief Request as a stand-in sees it.
struct http_request {
    std::string method;
    std::string target;
    std::string body;
    std::string raw; ///< Request line, header fields and body, for recording.
};

/// @brief Answer of a stand-in.
struct http_reply {
    unsigned status{200};
    std::string body;
    bool dropped{false}; ///< Send nothing; the connection stays open and goes silent.
};

/// @brief One accepted connection.
struct http_connection {
    std::uint64_t id{0};
    tcp::socket socket;
    bool silent{false}; ///< Delivers nothing any more, in both directions.
    bool closed{false}; ///< The other side has closed it.
    bool watched{false};
};

/// @brief HTTP/1.1 server with one coroutine per keep-alive connection.
class http_server : private boost::noncopyable {
  public:
    using connection_ptr = std::shared_ptr<http_connection>;
    using handler = std::function<awaitable<http_reply>(connection_ptr, const http_request&)>;
    using close_handler = std::function<void(std::uint64_t connection)>;

    /// @brief Listens on @a listen; port 0 takes a free one.
    /// @throws boost::system::system_error when the address is in use
    http_server(asio::io_context& io, const endpoint& listen, handler handle,
                close_handler closed = {});

    /// @brief Address that it listens on.
    [[nodiscard]] const endpoint& local() const noexcept { return local_; }
    /// @brief Refuses new connections for @a time.
    void refuse_for(milliseconds time);
    /// @brief All open connections but @a kept deliver nothing from now on.
    void silence(std::uint64_t kept);
    /// @brief Closes all connections and the listening socket.
    void stop();

  private:
    void open();
    void close(const connection_ptr& connection);
    void watch(const connection_ptr& connection);
    awaitable<void> accept();
    awaitable<void> serve(connection_ptr connection);
    awaitable<bool> exchange(connection_ptr connection, std::string& pending);
    static awaitable<void> discard(connection_ptr connection);

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    endpoint local_;
    handler handle_;
    close_handler closed_;
    std::uint64_t last_id_{0};
    std::map<std::uint64_t, connection_ptr> open_;
};

/// @brief Answer with @a json as its body.
[[nodiscard]] http_reply json_reply(const Json::Value& json, unsigned status = 200);

/// @brief Answer that reports the mistake @a message.
[[nodiscard]] http_reply error_reply(unsigned status, const std::string& message);

} // namespace jackdawvane::standin
