#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Channel that another VM has opened to this one.
class peer_incoming : public std::enable_shared_from_this<peer_incoming> {
  public:
    using clock = std::chrono::steady_clock;
    /// @brief Handles one line without its newline; returning false closes the channel.
    using line_handler = std::function<bool(std::string_view line)>;
    using close_callback = std::function<void(const std::shared_ptr<peer_incoming>&)>;

    peer_incoming(tcp_socket socket, line_handler on_line, close_callback on_closed);

    void start();
    /// @brief Acknowledges the lines received since the last sweep; closes an idle channel.
    void sweep(clock::time_point now);
    void discard();

  private:
    void read();
    bool process_lines();
    void acknowledge();
    void fail();

    tcp_socket socket_;
    line_handler on_line_;
    close_callback on_closed_;
    std::array<char, 8192> chunk_{}; ///< Small, because each other VM opens a channel to this one.
    std::string buffer_;
    std::string acknowledgement_;
    std::uint64_t received_lines_{0};
    std::uint64_t acknowledged_lines_{0};
    clock::time_point last_line_;
    bool writing_{false};
    bool closed_{false};
};

} // namespace jackdawvane::detail
