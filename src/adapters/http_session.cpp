#include "http_session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/write.hpp>

namespace jackdawvane::detail {

namespace {

// Small buffers keep thousands of idle connections within memory; a large one reads a body in
// few calls.
constexpr std::size_t idle_read_size = 2048;  // bytes
constexpr std::size_t body_read_size = 32768; // bytes
constexpr std::uint32_t write_timeout_s = 10;

std::string_view find_header(const void* message, std::string_view name) {
    const auto& request = *static_cast<const http::request<http::string_body>*>(message);
    const auto found = request.find(boost::beast::string_view{name.data(), name.size()});
    return found == request.end() ? std::string_view{}
                                  : std::string_view{found->value().data(), found->value().size()};
}

std::string_view to_std(boost::beast::string_view text) noexcept {
    return {text.data(), text.size()};
}

std::uint32_t to_seconds(duration value) noexcept {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(value).count());
}

unsigned rejection_status(error_code failure) {
    if (failure == http::error::body_limit) {
        return 413;
    }
    return failure == http::error::header_limit ? 431 : 400;
}

} // namespace

http_session::http_session(tcp_socket socket, std::shared_ptr<http_server_state> server,
                           std::uint64_t number)
    : socket_{std::move(socket)}, server_{std::move(server)}, number_{number} {}

std::optional<std::pair<std::uint32_t, std::uint64_t>>
http_session::waiting_since() const noexcept {
    if (phase_ == phase::handling || phase_ == phase::closed) {
        return {};
    }
    return std::pair{phase_since_s_, number_};
}

void http_session::start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    reset_parser();
    enter(phase::idle);
    read();
}

void http_session::enter(phase next) {
    phase_ = next;
    phase_since_s_ = server_->now_s;
}

void http_session::reset_parser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(server_->settings.body_limit);
    parser_->header_limit(server_->settings.header_limit);
}

// A read is pending even while a request is handled, so that a close is detected.
void http_session::read() {
    if (reading_ || phase_ == phase::closed) {
        return;
    }
    reading_ = true;
    const auto size = phase_ == phase::receiving ? body_read_size : idle_read_size;
    socket_.async_read_some(buffer_.prepare(size),
                            [self = shared_from_this()](error_code failure, std::size_t received) {
                                self->reading_ = false;
                                self->on_read(failure, received);
                            });
}

void http_session::on_read(error_code failure, std::size_t size) {
    if (phase_ == phase::closed) {
        return;
    }
    if (failure) {
        close();
        return;
    }
    buffer_.commit(size);
    if (phase_ == phase::idle || phase_ == phase::receiving) {
        advance();
    }
}

void http_session::advance() {
    error_code failure;
    parse(failure);
    if (failure) {
        reject(failure);
        return;
    }
    if (parser_->is_done()) {
        dispatch();
        return;
    }
    if (phase_ == phase::idle && parser_->got_some()) {
        enter(phase::receiving);
    }
    read();
}

void http_session::parse(error_code& failure) {
    while (buffer_.size() > 0 && !parser_->is_done()) {
        const auto used = parser_->put(buffer_.data(), failure);
        buffer_.consume(used);
        if (failure == http::error::need_more) {
            failure = {};
            return;
        }
        if (failure) {
            return;
        }
    }
}

void http_session::dispatch() {
    enter(phase::handling);
    ++serial_;
    if (buffer_.size() == 0) {
        read();
    }
    const auto& request = parser_->get();
    const http_request_view view{to_std(request.method_string()), to_std(request.target()),
                                 request.body(), &request, find_header};
    server_->on_request(view, http_responder{weak_from_this(), serial_});
}

void http_session::reject(error_code failure) {
    ++serial_;
    http_response response;
    response.status = rejection_status(failure);
    response.body =
        R"({"error":{"kind":"malformed_request","message":")" + failure.message() + "\"}}";
    write(std::move(response), false);
}

void http_session::respond(std::uint64_t serial, http_response response) {
    if (phase_ != phase::handling || serial != serial_) {
        return;
    }
    closed_callback_ = nullptr;
    write(std::move(response), parser_->get().keep_alive() && !finishing_);
}

void http_session::write(http_response response, bool keep_alive) {
    enter(phase::writing);
    response_ = {};
    response_.version(11);
    response_.result(response.status);
    response_.set(http::field::content_type, response.content_type);
    for (const auto& header : response.headers) {
        response_.set(header.name, header.value);
    }
    response_.body() = std::move(response.body);
    response_.keep_alive(keep_alive);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this(), keep_alive](error_code failure, std::size_t) {
                          self->on_written(failure, keep_alive);
                      });
}

void http_session::on_written(error_code failure, bool keep_alive) {
    if (phase_ == phase::closed) {
        return;
    }
    if (failure || !keep_alive || finishing_) {
        close();
        return;
    }
    reset_parser();
    enter(phase::idle);
    if (buffer_.size() == 0 && !reading_ && buffer_.capacity() > idle_read_size) {
        buffer_.shrink_to_fit();
    }
    advance();
}

void http_session::on_closed(std::uint64_t serial, std::function<void()> callback) {
    if (phase_ == phase::handling && serial == serial_) {
        closed_callback_ = std::move(callback);
    }
}

void http_session::close() {
    if (phase_ == phase::closed) {
        return;
    }
    enter(phase::closed);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    server_->remove(shared_from_this());
    if (const auto callback = std::exchange(closed_callback_, nullptr)) {
        callback();
    }
}

void http_session::discard() {
    closed_callback_ = nullptr;
    close();
}

void http_session::finish() {
    finishing_ = true;
    if (phase_ == phase::idle) {
        close();
    }
}

void http_session::sweep(std::uint32_t now_s) {
    const auto lasted_s = now_s - phase_since_s_;
    const bool expired =
        (phase_ == phase::idle && lasted_s > to_seconds(server_->settings.idle_timeout)) ||
        (phase_ == phase::receiving && lasted_s > to_seconds(server_->settings.request_timeout)) ||
        (phase_ == phase::writing && lasted_s > write_timeout_s);
    if (expired) {
        close();
    }
}

} // namespace jackdawvane::detail
