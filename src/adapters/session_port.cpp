#include "jackdawvane/adapters/session_ports.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"

#include <utility>

#include <unordered_map>

#include "line_stream.hpp"

namespace jackdawvane {

namespace {

constexpr auto accept_retry_delay = std::chrono::milliseconds{50};

} // namespace

class session_port::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, const session_port_settings& settings,
                   const session_codec& codec, proxy_event_sink sink)
        : settings_{settings}, codec_{codec}, sink_{std::move(sink)},
          acceptor_{detail::listen_on(context, settings.listen)}, retry_{context.get_executor()} {}

    void accept();
    void stop();
    void write(session_id session, const std::string& text, bool close);
    [[nodiscard]] const session_codec& codec() const noexcept { return codec_; }
    [[nodiscard]] std::size_t connections() const noexcept { return streams_.size(); }
    void drop(session_id session);

  private:
    void add(detail::tcp_socket socket);
    void handle_line(session_id session, std::string_view line);
    void on_stream_end(session_id session, detail::stream_end reason);

    session_port_settings settings_;
    const session_codec& codec_;
    proxy_event_sink sink_;
    detail::tcp_acceptor acceptor_;
    detail::steady_timer retry_;
    id_sequence<session_id> ids_;
    std::unordered_map<session_id, std::shared_ptr<detail::line_stream>> streams_;
    bool stopped_{false};
};

void session_port::implementation::accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](detail::error_code failure, detail::tcp_socket socket) {
            if (self->stopped_) {
                return;
            }
            if (failure) {
                // Without free file descriptors an immediate retry would fail again.
                self->retry_.expires_after(accept_retry_delay);
                self->retry_.async_wait([self](detail::error_code cancelled) {
                    if (!cancelled && !self->stopped_) {
                        self->accept();
                    }
                });
                return;
            }
            if (self->streams_.size() < self->settings_.session_limit) {
                self->add(std::move(socket));
            }
            self->accept();
        });
}

void session_port::implementation::add(detail::tcp_socket socket) {
    const auto id = ids_.next();
    auto stream = std::make_shared<detail::line_stream>(std::move(socket), settings_.line_limit);
    const std::weak_ptr<implementation> weak = weak_from_this();
    stream->on_line([weak, id](std::string_view line) {
        if (const auto self = weak.lock()) {
            self->handle_line(id, line);
        }
    });
    stream->on_end([weak, id](detail::stream_end reason) {
        if (const auto self = weak.lock()) {
            self->on_stream_end(id, reason);
        }
    });
    streams_[id] = stream;
    stream->start();
}

void session_port::implementation::handle_line(session_id session, std::string_view line) {
    auto message = codec_.read_caller(line);
    if (auto* start = std::get_if<startup_message>(&message)) {
        sink_(session_started{session, std::move(start->database), std::move(start->key)});
    } else if (auto* next = std::get_if<statement>(&message)) {
        sink_(statement_received{session, std::move(*next)});
    } else if (const auto* problem = std::get_if<malformed_line>(&message)) {
        sink_(session_broken{session, problem->reason});
    } else {
        drop(session);
        sink_(session_closed{session});
    }
}

void session_port::implementation::on_stream_end(session_id session, detail::stream_end reason) {
    streams_.erase(session);
    if (reason == detail::stream_end::line_too_long) {
        sink_(session_broken{session, "line too long"});
    }
    sink_(session_closed{session});
}

void session_port::implementation::write(session_id session, const std::string& text, bool close) {
    const auto found = streams_.find(session);
    if (found == streams_.end()) {
        return;
    }
    const auto stream = found->second;
    stream->write(text);
    if (close) {
        stream->close_after_write();
        streams_.erase(found);
    }
}

void session_port::implementation::drop(session_id session) {
    const auto found = streams_.find(session);
    if (found != streams_.end()) {
        const auto stream = found->second;
        stream->close_after_write();
        streams_.erase(found);
    }
}

void session_port::implementation::stop() {
    stopped_ = true;
    detail::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    for (const auto& [id, stream] : streams_) {
        stream->close();
    }
    streams_.clear();
}

session_port::session_port(boost::asio::io_context& context, const session_port_settings& settings,
                           const session_codec& codec, proxy_event_sink sink)
    : implementation_{std::make_shared<implementation>(context, settings, codec, std::move(sink))} {
    implementation_->accept();
}

session_port::~session_port() {
    implementation_->stop();
}

void session_port::accept(session_id session) {
    std::string text;
    implementation_->codec().write_session_accepted(text);
    implementation_->write(session, text, false);
}

void session_port::answer(session_id session, const statement_reply& reply) {
    std::string text;
    implementation_->codec().write_reply(reply, text);
    implementation_->write(session, text, false);
}

void session_port::reject(session_id session, statement_error problem, const std::string& detail) {
    std::string text;
    implementation_->codec().write_error(problem, detail, text);
    implementation_->write(session, text, true);
}

void session_port::end(session_id session) {
    implementation_->drop(session);
}

std::size_t session_port::connections() const noexcept {
    return implementation_->connections();
}

} // namespace jackdawvane
