#pragma once

#include "jackdawvane/adapters/http_client.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief One HTTP call.
struct http_call {
    std::string method{"GET"};
    std::string target;
    std::string body;
    std::vector<http_header> headers;
    duration timeout{std::chrono::seconds{2}}; ///< From `submit`, queue time included.
};

/// @brief Settings of a call pool.
struct http_call_pool_settings {
    endpoint remote;
    std::string local_address; ///< Source IP address; empty for any.
    std::size_t connection_limit{8};
    std::size_t queue_limit{256}; ///< Calls that wait for a connection.
    /// Whether each call opens a connection, whose handshake proves that the server can be reached.
    /// A call on an open connection may be held up by the network and arrive long after its
    /// timeout.
    bool connection_per_call{false};
};

/// @brief Calls to one server over a bounded pool of connections, persistent unless each call has
/// its own.
///
/// A call is sent at most once, because a write whose answer was lost may have taken effect.
class http_call_pool {
  public:
    using callback = http_client::answer_callback;

    http_call_pool(boost::asio::io_context& context, http_call_pool_settings settings);
    http_call_pool(const http_call_pool&) = delete;
    http_call_pool& operator=(const http_call_pool&) = delete;
    http_call_pool(http_call_pool&&) = delete;
    http_call_pool& operator=(http_call_pool&&) = delete;
    ~http_call_pool();

    /// @brief Submits a call; @a done is called later, not from here, with the answer or an error.
    void submit(http_call call, callback done);
    /// @brief Opens further connections to @a remote and closes idle ones.
    void redirect(const endpoint& remote);

    /// @brief Number of calls sent on a connection so far.
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

  private:
    struct worker;
    struct pending_call;

    void start_next(worker& idle);
    void open(worker& idle);
    void run(worker& busy);
    void finish(worker& busy, const result<http_answer>& answer);

    boost::asio::io_context& context_;
    http_call_pool_settings settings_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::deque<pending_call> waiting_;
    std::uint64_t calls_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace jackdawvane
