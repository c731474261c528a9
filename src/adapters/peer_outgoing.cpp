#include "peer_outgoing.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace jackdawvane::detail {

namespace {

constexpr std::size_t queue_limit = 8388608; // bytes
constexpr auto connect_timeout = std::chrono::seconds{1};
constexpr auto acknowledgement_timeout = std::chrono::seconds{2};
constexpr auto idle_timeout = std::chrono::seconds{60};

} // namespace

peer_outgoing::peer_outgoing(asio::io_context& context, endpoint remote)
    : socket_{context.get_executor()}, remote_{std::move(remote)}, last_progress_{clock::now()} {}

void peer_outgoing::open(const std::string& local_address) {
    error_code failure;
    open_socket(local_address, failure);
    if (failure) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    socket_.async_connect(to_asio<tcp>(remote_),
                          [self = shared_from_this()](error_code connect_failure) {
                              if (self->closed_) {
                                  return;
                              }
                              if (connect_failure) {
                                  self->fail();
                                  return;
                              }
                              self->connected_ = true;
                              self->last_progress_ = clock::now();
                              self->read();
                              self->write();
                          });
}

void peer_outgoing::open_socket(const std::string& local_address, error_code& failure) {
    const auto address = asio::ip::make_address(remote_.address, failure);
    if (failure) {
        return;
    }
    socket_.open(address.is_v6() ? tcp::v6() : tcp::v4(), failure);
    if (failure) {
        return;
    }
    socket_.set_option(tcp::no_delay{true}, failure);
    if (failure || local_address.empty()) {
        return;
    }
    const auto source = asio::ip::make_address(local_address, failure);
    if (!failure) {
        socket_.bind({source, 0}, failure);
    }
}

void peer_outgoing::send(const std::string& line) {
    if (closed_) {
        return;
    }
    if (sent_lines_ == acknowledged_lines_) {
        last_progress_ = clock::now();
    }
    ++sent_lines_;
    if (queued_.size() + line.size() > queue_limit) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->fail(); });
        return;
    }
    queued_ += line;
    write();
}

void peer_outgoing::write() {
    if (!connected_ || writing_ || queued_.empty()) {
        return;
    }
    writing_ = true;
    in_flight_.clear();
    std::swap(in_flight_, queued_);
    asio::async_write(socket_, asio::buffer(in_flight_),
                      [self = shared_from_this()](error_code failure, std::size_t) {
                          self->writing_ = false;
                          if (failure) {
                              self->fail();
                              return;
                          }
                          self->write();
                      });
}

void peer_outgoing::read() {
    socket_.async_read_some(asio::buffer(received_),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                if (failure) {
                                    self->fail();
                                    return;
                                }
                                self->process_acknowledgements(size);
                                self->read();
                            });
}

// An acknowledgement is the number of lines received so far, in decimal, and a newline.
void peer_outgoing::process_acknowledgements(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
        const char each = received_.at(i);
        if (each >= '0' && each <= '9') {
            acknowledgement_ = acknowledgement_ * 10 + static_cast<std::uint64_t>(each - '0');
            continue;
        }
        if (acknowledgement_ > acknowledged_lines_ && acknowledgement_ <= sent_lines_) {
            acknowledged_lines_ = acknowledgement_;
            last_progress_ = clock::now();
        }
        acknowledgement_ = 0;
    }
}

void peer_outgoing::sweep(clock::time_point now) {
    const auto quiet = now - last_progress_;
    const bool waits = acknowledged_lines_ < sent_lines_;
    const bool expired = (!connected_ && quiet > connect_timeout) ||
                         (waits && quiet > acknowledgement_timeout) || quiet > idle_timeout;
    if (expired) {
        fail();
    }
}

void peer_outgoing::discard() {
    closed_ = true;
    on_closed_ = nullptr;
    reset_connection(socket_);
}

void peer_outgoing::fail() {
    if (closed_) {
        return;
    }
    const auto callback = std::move(on_closed_);
    const auto self = shared_from_this();
    discard();
    callback(acknowledged_lines_ < sent_lines_);
}

} // namespace jackdawvane::detail
