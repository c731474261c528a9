#include "peer_incoming.hpp"

#include <boost/asio/write.hpp>

namespace jackdawvane::detail {

namespace {

constexpr std::size_t line_limit = 2097152; // bytes
// Longer than the sender's idle timeout, so that the sender closes first.
constexpr auto idle_timeout = std::chrono::seconds{75};
// Closes a connection that has not sent one authenticated line.
constexpr auto first_line_timeout = std::chrono::seconds{5};

} // namespace

peer_incoming::peer_incoming(tcp_socket socket, line_handler on_line, close_callback on_closed)
    : socket_{std::move(socket)}, on_line_{std::move(on_line)}, on_closed_{std::move(on_closed)},
      last_line_{clock::now()} {}

void peer_incoming::start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    read();
}

void peer_incoming::read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                if (self->closed_) {
                                    return;
                                }
                                if (failure) {
                                    self->fail();
                                    return;
                                }
                                self->buffer_.append(self->chunk_.data(), size);
                                if (!self->process_lines()) {
                                    self->fail();
                                    return;
                                }
                                self->read();
                            });
}

bool peer_incoming::process_lines() {
    const std::string_view text{buffer_};
    std::size_t start = 0;
    for (auto end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', start)) {
        if (!on_line_(text.substr(start, end - start)) || closed_) {
            return false;
        }
        ++received_lines_;
        start = end + 1;
    }
    buffer_.erase(0, start);
    return buffer_.size() <= line_limit;
}

void peer_incoming::sweep(clock::time_point now) {
    if (received_lines_ > acknowledged_lines_) {
        last_line_ = now;
        acknowledge();
    }
    const auto timeout = received_lines_ == 0 ? clock::duration{first_line_timeout} : idle_timeout;
    if (now - last_line_ > timeout) {
        fail();
    }
}

void peer_incoming::acknowledge() {
    if (writing_) {
        return;
    }
    writing_ = true;
    acknowledged_lines_ = received_lines_;
    acknowledgement_ = std::to_string(received_lines_) + "\n";
    asio::async_write(socket_, asio::buffer(acknowledgement_),
                      [self = shared_from_this()](error_code failure, std::size_t) {
                          self->writing_ = false;
                          if (failure) {
                              self->fail();
                          }
                      });
}

void peer_incoming::discard() {
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
}

void peer_incoming::fail() {
    if (closed_) {
        return;
    }
    discard();
    on_closed_(shared_from_this());
}

} // namespace jackdawvane::detail
