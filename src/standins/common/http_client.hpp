#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <map>
#include <optional>
#include <string>

#include "standins/common/asio.hpp"
#include "standins/common/http_server.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief One keep-alive HTTP/1.1 connection, opened when first used and after a failure.
class http_client {
  public:
    using header_fields = std::map<std::string, std::string>;

    /// @param local address that outgoing connections are bound to; empty for any
    http_client(asio::io_context& io, endpoint remote, std::string local);

    /// @brief Sends a request and reads the answer.
    /// @return the answer, or nothing when the connection failed or @a timeout passed
    awaitable<std::optional<http_reply>> request(std::string method, std::string target,
                                                 std::string body, milliseconds timeout,
                                                 header_fields fields = {});
    /// @brief POST of @a json; the answer's body as JSON, null when there is none.
    awaitable<Json::Value> post(std::string target, Json::Value json, milliseconds timeout);
    /// @brief GET of @a target; the answer's body as JSON, null when there is none.
    awaitable<Json::Value> get(std::string target, milliseconds timeout);

    /// @brief Whether the connection is open.
    [[nodiscard]] bool is_open() const noexcept { return stream_.has_value(); }
    [[nodiscard]] const endpoint& remote() const noexcept { return remote_; }
    /// @brief Closes the connection; the next request opens a new one.
    void close() noexcept { stream_.reset(); }
    /// @brief Fails the request under way, if there is one.
    void cancel() {
        if (stream_) {
            stream_->cancel();
        }
    }

  private:
    awaitable<bool> connect(milliseconds timeout);

    asio::io_context& io_;
    endpoint remote_;
    std::string local_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace jackdawvane::standin
