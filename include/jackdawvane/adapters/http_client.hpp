#pragma once

#include "jackdawvane/adapters/http_message.hpp"
#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace jackdawvane {

namespace detail {
class http_client_connection;
} // namespace detail

/// @brief Settings of one client connection.
struct http_client_settings {
    endpoint remote;
    std::string local_address; ///< Source IP address; empty lets the system choose.
    duration connect_timeout{std::chrono::seconds{1}};
    std::size_t body_limit{std::size_t{4} * 1024 *
                           1024}; ///< Bytes; a larger answer closes the connection.
};

/// @brief One persistent HTTP/1.1 connection with one request at a time.
///
/// Any error closes the connection permanently. Callbacks are invoked asynchronously, never from
/// within the functions of this class, and never after `close` or destruction.
class http_client {
  public:
    using connect_callback = std::function<void(result<void>)>;
    using answer_callback = std::function<void(result<http_answer>)>;
    using close_callback = std::function<void(const std::string& reason)>;

    http_client(boost::asio::io_context& context, const http_client_settings& settings);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// @brief Opens the connection; `connection_lost` or `deadline_exceeded` on failure.
    void connect(connect_callback done);

    /// @brief Sends a request and waits for its answer.
    /// @param timeout closes the connection with `deadline_exceeded`; none: no limit
    /// @param done gets `connection_lost` when the connection closes before the whole answer
    /// @pre connected and not `busy()`
    void request(std::string_view method, const std::string& target, std::string body,
                 std::optional<duration> timeout, answer_callback done,
                 const std::vector<http_header>& headers = {});

    /// @brief Sets the callback for a close of the open connection while no request is in flight.
    void on_idle_close(close_callback callback);

    /// @brief Whether a request is in flight.
    [[nodiscard]] bool busy() const noexcept;
    /// @brief Whether the connection is open.
    [[nodiscard]] bool connected() const noexcept;

    /// @brief Closes the connection immediately.
    void close();

  private:
    std::shared_ptr<detail::http_client_connection> connection_;
};

} // namespace jackdawvane
