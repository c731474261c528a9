#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Why a stream ended.
enum class stream_end { refused, timeout, lost, line_too_long };

/// @brief TCP stream of text lines that end with CR LF.
///
/// Text written during one event is sent in one write. No callback is invoked after `close`.
class line_stream : public std::enable_shared_from_this<line_stream> {
  public:
    using line_callback = std::function<void(std::string_view line)>;
    using end_callback = std::function<void(stream_end)>;

    /// @brief Wraps an accepted connection.
    line_stream(tcp_socket socket, std::size_t line_limit);
    /// @brief Prepares a connection that `connect` opens.
    line_stream(asio::io_context& context, std::size_t line_limit);

    /// @brief Opens the connection; text written earlier is sent once it is open.
    void connect(const endpoint& remote, const std::string& local_address);
    /// @brief Starts reading from an accepted connection.
    void start();
    void on_line(line_callback callback) { on_line_ = std::move(callback); }
    void on_end(end_callback callback) { on_end_ = std::move(callback); }
    /// @brief Whether the beginning of a line has been received, but not its end.
    [[nodiscard]] bool has_partial_line() const noexcept { return has_partial_line_; }
    void write(std::string_view text);
    /// @brief Closes immediately with a TCP reset, which discards undelivered data.
    void close();
    /// @brief Closes once all written text has been sent.
    void close_after_write();

  private:
    void prepare_socket();
    void read();
    void on_read(error_code failure, std::size_t size);
    void process_lines();
    void flush();
    void end(stream_end reason);

    tcp_socket socket_;
    std::size_t line_limit_;
    line_callback on_line_;
    end_callback on_end_;
    std::string input_;
    std::string output_;
    std::string writing_;
    bool has_partial_line_{false};
    bool open_{false};
    bool flush_posted_{false};
    bool write_pending_{false};
    bool close_when_written_{false};
    bool closed_{false};
};

} // namespace jackdawvane::detail
