#include "line_stream.hpp"

#include <utility>

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace jackdawvane::detail {

namespace {

/// Bytes read after a full first read, into a buffer that all streams share.
constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr std::string_view line_end = "\r\n";
/// Bytes queued for a peer that does not read; beyond them the connection is closed.
constexpr std::size_t output_limit = std::size_t{8} * 1024 * 1024;
// A peer that lost power or is partitioned sends nothing, not even a reset. These options close
// the connection after about four seconds, by which time the platform's load balancer has removed
// the peer as well.
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
constexpr int unacknowledged_limit_ms = 4000;

using tcp_keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using tcp_keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using tcp_keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using tcp_user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

line_stream::line_stream(tcp_socket socket, std::size_t line_limit)
    : socket_{std::move(socket)}, line_limit_{line_limit} {}

line_stream::line_stream(asio::io_context& context, std::size_t line_limit)
    : socket_{context.get_executor()}, line_limit_{line_limit} {}

/// Errors are ignored: without the options a dead peer is detected later, by a timeout.
void line_stream::prepare_socket() {
    error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    socket_.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket_.set_option(tcp_keep_idle{keep_alive_idle_s}, ignored);
    socket_.set_option(tcp_keep_interval{keep_alive_interval_s}, ignored);
    socket_.set_option(tcp_keep_count{keep_alive_probes}, ignored);
    socket_.set_option(tcp_user_timeout{unacknowledged_limit_ms}, ignored);
}

void line_stream::connect(const endpoint& remote, const std::string& local_address) {
    error_code failure;
    const auto address = asio::ip::make_address(remote.address, failure);
    if (!failure) {
        socket_.open(address.is_v6() ? tcp::v6() : tcp::v4(), failure);
    }
    if (!failure && !local_address.empty()) {
        socket_.bind({asio::ip::make_address(local_address, failure), 0}, failure);
    }
    if (failure) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->end(stream_end::lost); });
        return;
    }
    prepare_socket();
    socket_.async_connect({address, remote.port}, [self = shared_from_this()](error_code result) {
        if (self->closed_) {
            return;
        }
        if (result) {
            self->end(result == asio::error::connection_refused ? stream_end::refused
                                                                : stream_end::lost);
            return;
        }
        self->open_ = true;
        self->read();
        self->flush();
    });
}

void line_stream::start() {
    open_ = true;
    prepare_socket();
    read();
}

read_permission line_stream::permission() const {
    return on_permission_ ? on_permission_() : read_permission{};
}

void line_stream::note_activity() {
    if (on_activity_ && !closed_) {
        on_activity_();
    }
}

void line_stream::read() {
    if (closed_ || read_pending_) {
        return;
    }
    const auto allowed = permission().bytes;
    if (allowed == 0) {
        paused_ = true;
        return;
    }
    read_pending_ = true;
    socket_.async_read_some(asio::buffer(first_read_.data(), std::min(allowed, first_read_.size())),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                self->read_pending_ = false;
                                if (self->closed_) {
                                    return;
                                }
                                if (!failure) {
                                    self->input_.append(self->first_read_.data(), size);
                                    // The permission may be older than this read: other streams may
                                    // have used it up.
                                    const auto now_allowed = self->permission().bytes;
                                    if (size == self->first_read_.size() && now_allowed > size) {
                                        self->read_more(now_allowed - size);
                                    }
                                }
                                self->on_read(failure, size);
                            });
}

/// Reads what has arrived beyond the first read. A failure is reported by the next read.
void line_stream::read_more(std::size_t allowed) {
    static thread_local std::array<char, read_size> buffer;
    error_code ignored;
    const auto arrived = std::min({socket_.available(ignored), allowed, buffer.size()});
    if (ignored || arrived == 0) {
        return;
    }
    const auto size = socket_.read_some(asio::buffer(buffer.data(), arrived), ignored);
    input_.append(buffer.data(), size);
}

void line_stream::on_read(error_code failure, std::size_t /*size*/) {
    if (failure) {
        end(stream_end::lost);
        return;
    }
    continue_reading();
}

void line_stream::resume() {
    if (std::exchange(paused_, false)) {
        continue_reading();
    }
}

void line_stream::continue_reading() {
    // A line's callback may write an answer, after which the port resumes the stream.
    if (closed_ || handling_) {
        return;
    }
    if (close_when_written_) {
        input_ = {};
        read();
        return;
    }
    const auto self = shared_from_this();
    handling_ = true;
    process_lines();
    handling_ = false;
    if (closed_) {
        return;
    }
    if (has_partial_line_ && input_.size() > line_limit_) {
        end(stream_end::line_too_long);
        return;
    }
    note_activity();
    if (!paused_) {
        read();
    }
}

void line_stream::process_lines() {
    std::size_t begin = 0;
    has_partial_line_ = !input_.empty();
    while (!closed_) {
        const auto found = input_.find(line_end, std::max(begin, searched_));
        if (found == std::string::npos) {
            // The last byte may be the first one of a line end.
            searched_ = std::max(begin, input_.empty() ? 0 : input_.size() - 1);
            break;
        }
        if (!permission().handle) {
            paused_ = true;
            searched_ = begin;
            break;
        }
        const std::string line{input_, begin, found - begin};
        begin = found + line_end.size();
        has_partial_line_ =
            begin < input_.size() && input_.find(line_end, begin) == std::string::npos;
        if (on_line_) {
            on_line_(line);
        }
    }
    if (closed_) {
        return;
    }
    searched_ -= std::min(begin, searched_);
    input_.erase(0, begin);
    has_partial_line_ = !input_.empty() && !paused_;
    if (input_.empty()) {
        input_.shrink_to_fit();
    }
}

void line_stream::write(std::string_view text) {
    if (closed_) {
        return;
    }
    output_ += text;
    if (output_.size() > output_limit) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->end(stream_end::lost); });
        return;
    }
    if (open_ && !flush_posted_ && !write_pending_) {
        flush_posted_ = true;
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->flush_posted_ = false;
            self->flush();
        });
    }
}

void line_stream::flush() {
    if (closed_ || write_pending_) {
        return;
    }
    if (output_.empty()) {
        if (close_when_written_) {
            closed_ = true;
            error_code ignored;
            socket_.shutdown(tcp::socket::shutdown_both, ignored);
            socket_.close(ignored);
        }
        return;
    }
    writing_ = std::exchange(output_, {});
    write_pending_ = true;
    // The condition is called after each part that was written.
    const auto note_part = [self = shared_from_this(), before = sent_](error_code failure,
                                                                       std::size_t size) {
        self->sent_ = before + size;
        return failure ? std::size_t{0} : self->writing_.size() - size;
    };
    asio::async_write(socket_, asio::buffer(writing_), note_part,
                      [self = shared_from_this()](error_code failure, std::size_t) {
                          self->on_written(failure);
                      });
}

void line_stream::on_written(error_code failure) {
    write_pending_ = false;
    writing_ = {};
    if (closed_) {
        return;
    }
    if (failure) {
        end(stream_end::lost);
        return;
    }
    flush();
    note_activity();
}

void line_stream::end(stream_end reason) {
    if (closed_) {
        return;
    }
    const auto ended = std::exchange(on_end_, nullptr);
    close();
    if (ended) {
        ended(reason);
    }
}

void line_stream::close() {
    closed_ = true;
    on_line_ = nullptr;
    on_end_ = nullptr;
    on_permission_ = nullptr;
    on_activity_ = nullptr;
    reset_connection(socket_);
}

void line_stream::close_after_write() {
    close_when_written_ = true;
    on_line_ = nullptr;
    on_end_ = nullptr;
    on_permission_ = nullptr;
    on_activity_ = nullptr;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
}

} // namespace jackdawvane::detail
