#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Channel to one other VM, opened by this one.
///
/// The receiver acknowledges the number of lines that it has received, so that a connection which
/// accepts data without delivering it is detected too.
class peer_outgoing : public std::enable_shared_from_this<peer_outgoing> {
  public:
    using clock = std::chrono::steady_clock;
    /// @brief Called once when the channel closes; @a lost is true when lines may be lost.
    using close_callback = std::function<void(bool lost)>;

    peer_outgoing(asio::io_context& context, endpoint remote);

    void on_closed(close_callback callback) { on_closed_ = std::move(callback); }

    /// @brief Starts to connect from @a local_address, which may be empty.
    void open(const std::string& local_address);
    /// @brief Queues one line with its newline; closes the channel when the queue is full.
    void send(const std::string& line);
    /// @brief Closes the channel when the connect, acknowledgement or idle timeout has expired.
    void sweep(clock::time_point now);
    /// @brief Closes the channel without invoking the callback.
    void discard();

    /// @brief Bytes that the connection has not accepted yet.
    [[nodiscard]] std::size_t queued_bytes() const noexcept {
        return queued_.size() + (writing_ ? in_flight_.size() : 0);
    }

    [[nodiscard]] const endpoint& remote() const noexcept { return remote_; }

  private:
    void open_socket(const std::string& local_address, error_code& failure);
    void write();
    void read();
    void process_acknowledgements(std::size_t size);
    void fail();

    tcp_socket socket_;
    endpoint remote_;
    close_callback on_closed_;
    std::string queued_;
    std::string in_flight_;
    std::array<char, 512> received_{};
    std::uint64_t sent_lines_{0};
    std::uint64_t acknowledged_lines_{0};
    std::uint64_t acknowledgement_{0}; ///< Value of the digits read so far.
    clock::time_point last_progress_;
    bool connected_{false};
    bool writing_{false};
    bool closed_{false};
};

} // namespace jackdawvane::detail
