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

/// @brief Keep-alive HTTP/1.1 connection that is opened on first use and reopened after a failure.
class http_client {
  public:
    using header_fields = std::map<std::string, std::string>;

    /// @param local local address that the connection is bound to; empty for any
    http_client(asio::io_context& io, endpoint remote, std::string local);

    /// @brief Sends a request and reads the response.
    /// @param timeout bound of the exchange; opening the connection has the same bound of its own
    /// @return the response, or nothing after a connection failure or a timeout
    awaitable<std::optional<http_reply>> request(std::string method, std::string target,
                                                 std::string body, milliseconds timeout,
                                                 header_fields fields = {});
    /// @brief Sends a POST of @a json; returns the response body as JSON, null without a response.
    awaitable<Json::Value> post(std::string target, Json::Value json, milliseconds timeout);
    /// @brief Sends a GET; returns the response body as JSON, null without a response.
    awaitable<Json::Value> get(std::string target, milliseconds timeout);

    [[nodiscard]] bool is_open() const noexcept { return stream_.has_value(); }
    [[nodiscard]] const endpoint& remote() const noexcept { return remote_; }
    /// @brief Closes the connection; the next request opens a new one.
    void close() noexcept { stream_.reset(); }
    /// @brief Cancels the request in flight, if any; it returns nothing.
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
