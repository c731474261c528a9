#pragma once

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "asio_types.hpp"

namespace jackdawvane::detail {

/// @brief Why a stream ended.
enum class stream_end { refused, timeout, lost, line_too_long };

/// @brief What a stream may do now; it pauses where it may not go on, until `resume`.
struct read_permission {
    bool handle{true}; ///< Whether the next complete line may be passed on.
    std::size_t bytes{std::numeric_limits<std::size_t>::max()}; ///< That may be read.
};

/// @brief TCP stream of text lines that end with CR LF.
///
/// Text written during one event is sent in one write. No callback is invoked after `close`.
class line_stream : public std::enable_shared_from_this<line_stream> {
  public:
    using line_callback = std::function<void(std::string_view line)>;
    using end_callback = std::function<void(stream_end)>;
    using permission_callback = std::function<read_permission()>;
    using activity_callback = std::function<void()>;

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
    /// @brief Sets what decides before each line and each read; without it nothing is limited.
    void on_permission(permission_callback callback) { on_permission_ = std::move(callback); }
    /// @brief Sets the callback for changes of the buffered bytes that no other callback reports.
    void on_activity(activity_callback callback) { on_activity_ = std::move(callback); }
    /// @brief Continues a paused stream as far as its permission allows.
    void resume();
    [[nodiscard]] bool closed() const noexcept { return closed_; }
    /// @brief Whether the stream waits for `resume`.
    [[nodiscard]] bool paused() const noexcept { return paused_; }
    /// @brief Bytes received that have not been passed on.
    [[nodiscard]] std::size_t input_size() const noexcept { return input_.size(); }
    /// @brief Bytes written that the peer has not acknowledged as far as the system's send buffer.
    [[nodiscard]] std::size_t output_size() const noexcept {
        return output_.size() + writing_.size();
    }
    /// @brief Bytes that the system has taken over since the stream was opened.
    [[nodiscard]] std::uint64_t sent() const noexcept { return sent_; }
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
    void read_more(std::size_t allowed);
    void continue_reading();
    [[nodiscard]] read_permission permission() const;
    void note_activity();
    void on_written(error_code failure);
    void process_lines();
    void flush();
    void end(stream_end reason);

    tcp_socket socket_;
    std::size_t line_limit_;
    line_callback on_line_;
    end_callback on_end_;
    permission_callback on_permission_;
    activity_callback on_activity_;
    /// Buffer of a pending read. Small, because every idle connection has one.
    std::array<char, 512> first_read_{};
    std::string input_;
    std::size_t searched_{0}; ///< Bytes of `input_` that contain no line end.
    std::string output_;
    std::string writing_;
    std::uint64_t sent_{0};
    bool has_partial_line_{false};
    bool read_pending_{false};
    bool handling_{false};
    bool paused_{false};
    bool open_{false};
    bool flush_posted_{false};
    bool write_pending_{false};
    bool close_when_written_{false};
    bool closed_{false};
};

} // namespace jackdawvane::detail
