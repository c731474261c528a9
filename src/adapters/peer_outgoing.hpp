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
/// The receiver sends back how many lines it has received, so that a connection which accepts
/// data without delivering it is noticed too.
class peer_outgoing : public std::enable_shared_from_this<peer_outgoing> {
  public:
    using clock = std::chrono::steady_clock;
    /// @brief Called once when the channel closes; @a lost tells that lines may be lost.
    using close_callback = std::function<void(bool lost)>;

    peer_outgoing(asio::io_context& context, endpoint remote);

    void on_closed(close_callback callback) { on_closed_ = std::move(callback); }

    /// @brief Starts to connect from @a local_address, which may be empty.
    void open(const std::string& local_address);
    /// @brief Queues one line, which includes its line end; too many bytes close the channel.
    void send(const std::string& line);
    /// @brief Closes the channel when it was silent or unused for too long.
    void sweep(clock::time_point now);
    /// @brief Closes the channel without a report.
    void discard();

    [[nodiscard]] const endpoint& remote() const noexcept { return remote_; }

  private:
    void open_socket(const std::string& local_address, error_code& failure);
    void write();
    void read();
    void take_acknowledgements(std::size_t size);
    void fail();

    tcp_socket socket_;
    endpoint remote_;
    close_callback on_closed_;
    std::string queued_;
    std::string in_flight_;
    std::array<char, 512> received_{};
    std::uint64_t sent_lines_{0};
    std::uint64_t acknowledged_lines_{0};
    std::uint64_t number_{0}; ///< Digits of the acknowledgement that is being read.
    clock::time_point last_progress_;
    bool connected_{false};
    bool writing_{false};
    bool closed_{false};
};

} // namespace jackdawvane::detail
