#include "jackdawvane/adapters/http_client.hpp"

#include "asio_types.hpp"
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace jackdawvane {

namespace detail {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_size = 16384; // bytes

error lost(const std::string& reason) {
    return {error_kind::connection_lost, reason, {}};
}

} // namespace

class http_client_connection : public std::enable_shared_from_this<http_client_connection> {
  public:
    http_client_connection(asio::io_context& context, const http_client_settings& settings)
        : socket_{context.get_executor()}, timer_{context.get_executor()}, settings_{settings},
          host_{settings.remote.address + ":" + std::to_string(settings.remote.port)} {}

    void connect(http_client::connect_callback done);
    void request(std::string_view method, const std::string& target, std::string body,
                 std::optional<duration> timeout, http_client::answer_callback done,
                 const std::vector<http_header>& headers);
    void on_idle_close(http_client::close_callback callback) {
        idle_close_callback_ = std::move(callback);
    }
    [[nodiscard]] bool busy() const noexcept { return answer_callback_ != nullptr; }
    [[nodiscard]] bool connected() const noexcept { return connected_; }
    void close();

  private:
    void open_socket(error_code& failure);
    void on_connect(error_code failure);
    void start_timer(duration timeout, const char* message);
    void read();
    void on_read(error_code failure, std::size_t size);
    void parse(error_code& failure);
    void on_written(error_code failure);
    void complete();
    void fail(const error& problem);
    void reset_parser();

    tcp_socket socket_;
    steady_timer timer_;
    http_client_settings settings_;
    std::string host_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    http_client::connect_callback connect_callback_;
    http_client::answer_callback answer_callback_;
    http_client::close_callback idle_close_callback_;
    bool connected_{false};
    bool writing_{false};
    bool timer_running_{false};
};

void http_client_connection::open_socket(error_code& failure) {
    const auto address = asio::ip::make_address(settings_.remote.address, failure);
    if (failure) {
        return;
    }
    socket_.open(address.is_v6() ? tcp::v6() : tcp::v4(), failure);
    if (failure) {
        return;
    }
    socket_.set_option(tcp::no_delay{true}, failure);
    if (failure || settings_.local_address.empty()) {
        return;
    }
    const auto source = asio::ip::make_address(settings_.local_address, failure);
    if (!failure) {
        socket_.bind({source, 0}, failure);
    }
}

void http_client_connection::connect(http_client::connect_callback done) {
    connect_callback_ = std::move(done);
    error_code failure;
    open_socket(failure);
    if (failure) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this(), failure] { self->on_connect(failure); });
        return;
    }
    start_timer(settings_.connect_timeout, "connect timed out");
    socket_.async_connect(
        to_asio<tcp>(settings_.remote),
        [self = shared_from_this()](error_code result) { self->on_connect(result); });
}

void http_client_connection::on_connect(error_code failure) {
    if (!connect_callback_) {
        return;
    }
    if (failure) {
        fail(lost("connect to " + host_ + ": " + failure.message()));
        return;
    }
    timer_running_ = false;
    timer_.cancel();
    connected_ = true;
    reset_parser();
    read();
    std::exchange(connect_callback_, nullptr)(boost::outcome_v2::success());
}

void http_client_connection::start_timer(duration timeout, const char* message) {
    timer_running_ = true;
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this(), message](error_code failure) {
        const auto self = weak.lock();
        if (failure || !self || !self->timer_running_ ||
            self->timer_.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->fail({error_kind::deadline_exceeded, message + (" to " + self->host_), {}});
    });
}

void http_client_connection::reset_parser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(settings_.body_limit);
}

void http_client_connection::request(std::string_view method, const std::string& target,
                                     std::string body, std::optional<duration> timeout,
                                     http_client::answer_callback done,
                                     const std::vector<http_header>& headers) {
    answer_callback_ = std::move(done);
    if (!connected_) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->fail(lost("connection to " + self->host_ + " is closed"));
        });
        return;
    }
    request_ = {};
    request_.version(11);
    request_.method_string({method.data(), method.size()});
    request_.target(target);
    request_.set(http::field::host, host_);
    for (const auto& header : headers) {
        request_.set(header.name, header.value);
    }
    request_.body() = std::move(body);
    request_.prepare_payload();
    if (timeout) {
        start_timer(*timeout, "request timed out");
    }
    writing_ = true;
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code failure, std::size_t) {
                          self->on_written(failure);
                      });
}

void http_client_connection::on_written(error_code failure) {
    writing_ = false;
    if (failure) {
        fail(lost("write to " + host_ + ": " + failure.message()));
        return;
    }
    if (connected_ && answer_callback_ && parser_->is_done()) {
        complete();
    }
}

// A read is always pending, so that a close is detected on an idle connection too.
void http_client_connection::read() {
    socket_.async_read_some(buffer_.prepare(read_size),
                            [self = shared_from_this()](error_code failure, std::size_t size) {
                                self->on_read(failure, size);
                            });
}

void http_client_connection::on_read(error_code failure, std::size_t size) {
    if (!connected_) {
        return;
    }
    if (failure) {
        fail(lost("connection to " + host_ + " closed: " + failure.message()));
        return;
    }
    if (!answer_callback_) {
        fail(lost("unexpected data from " + host_));
        return;
    }
    buffer_.commit(size);
    parse(failure);
    if (failure) {
        fail(lost("malformed answer from " + host_ + ": " + failure.message()));
        return;
    }
    const bool done = parser_->is_done();
    if (done && buffer_.size() > 0) {
        fail(lost("unexpected data from " + host_));
        return;
    }
    read();
    if (done && !writing_) {
        complete();
    }
}

void http_client_connection::parse(error_code& failure) {
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

void http_client_connection::complete() {
    if (std::exchange(timer_running_, false)) {
        timer_.cancel();
    }
    auto message = parser_->release();
    const bool keep_alive = message.keep_alive();
    reset_parser();
    auto done = std::exchange(answer_callback_, nullptr);
    const auto self = shared_from_this();
    http_answer answer{message.result_int(), std::move(message.body())};
    for (const auto& each : message) {
        answer.headers.push_back({std::string{each.name_string()}, std::string{each.value()}});
    }
    done(std::move(answer));
    if (!keep_alive && connected_ && !answer_callback_) {
        fail(lost(host_ + " closed the connection"));
    }
}

void http_client_connection::fail(const error& problem) {
    auto connect_done = std::exchange(connect_callback_, nullptr);
    auto answer_done = std::exchange(answer_callback_, nullptr);
    auto idle_closed = std::exchange(idle_close_callback_, nullptr);
    const bool was_connected = connected_;
    close();
    if (connect_done) {
        connect_done(problem);
    } else if (answer_done) {
        answer_done(problem);
    } else if (idle_closed && was_connected) {
        idle_closed(problem.detail);
    }
}

void http_client_connection::close() {
    connected_ = false;
    timer_running_ = false;
    connect_callback_ = nullptr;
    answer_callback_ = nullptr;
    idle_close_callback_ = nullptr;
    timer_.cancel();
    reset_connection(socket_);
}

} // namespace detail

http_client::http_client(boost::asio::io_context& context, const http_client_settings& settings)
    : connection_{std::make_shared<detail::http_client_connection>(context, settings)} {}

http_client::~http_client() {
    connection_->close();
}

void http_client::connect(connect_callback done) {
    connection_->connect(std::move(done));
}

void http_client::request(std::string_view method, const std::string& target, std::string body,
                          std::optional<duration> timeout, answer_callback done,
                          const std::vector<http_header>& headers) {
    connection_->request(method, target, std::move(body), timeout, std::move(done), headers);
}

void http_client::on_idle_close(close_callback callback) {
    connection_->on_idle_close(std::move(callback));
}

bool http_client::busy() const noexcept {
    return connection_->busy();
}

bool http_client::connected() const noexcept {
    return connection_->connected();
}

void http_client::close() {
    connection_->close();
}

} // namespace jackdawvane
