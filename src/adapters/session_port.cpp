#include "jackdawvane/adapters/proxy_host.hpp"
#include "jackdawvane/adapters/session_ports.hpp"
#include "jackdawvane/foundation/id_sequence.hpp"

#include <utility>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <vector>

#include "line_stream.hpp"
#include <boost/asio/post.hpp>

namespace jackdawvane {

namespace {

constexpr auto accept_retry_delay = std::chrono::milliseconds{50};
constexpr auto sweep_interval = std::chrono::milliseconds{250};
/// Time for a closed session's last answer to be read.
constexpr duration closing_time = std::chrono::seconds{5};
/// Copies of a statement that exist at most while it is passed on: as received, as decoded (its
/// text and its arguments) and in the message to the owner of the server's connections.
constexpr std::size_t statement_copies = 4;

} // namespace

class session_port::implementation : public std::enable_shared_from_this<implementation> {
  public:
    implementation(boost::asio::io_context& context, const session_port_settings& settings,
                   const session_codec& codec, proxy_event_sink sink)
        : settings_{settings}, codec_{codec}, sink_{std::move(sink)}, budget_{settings.buffers},
          acceptor_{detail::listen_on(context, settings.listen)}, retry_{context.get_executor()},
          sweep_timer_{context.get_executor()} {}

    void accept();
    void sweep_periodically();
    void stop();
    void write(session_id session, const std::string& text);
    void write_answer(session_id session, const std::string& text);
    void assign(session_id session, const organisation_id& organisation);
    void drop(session_id session);
    [[nodiscard]] const session_codec& codec() const noexcept { return codec_; }
    [[nodiscard]] std::size_t connections() const noexcept { return callers_.size(); }
    [[nodiscard]] std::size_t buffered() const noexcept { return budget_.total(); }

  private:
    struct caller {
        std::shared_ptr<detail::line_stream> stream;
        std::deque<std::size_t> unanswered; ///< Bytes of each statement without an answer.
        std::uint64_t sent{0};
        held_buffers held;
    };
    /// Stream whose session has ended, while its last answer is being sent.
    struct closing_stream {
        std::shared_ptr<detail::line_stream> stream;
        time_point since{};
    };

    void admit(detail::tcp_socket socket);
    void add(detail::tcp_socket socket);
    void handle_line(session_id session, std::string_view line);
    void on_stream_end(session_id session, detail::stream_end reason);
    void forget(session_id session);
    [[nodiscard]] detail::read_permission permission(session_id session) const;
    void note_buffers(session_id session);
    void resume(session_id session);
    void sweep();
    void sweep_soon();
    void close_closing_streams(time_point now);
    void close_for_limit(const budget_closing& closing);
    void report(std::string reason, session_id session, std::size_t held) const;

    session_port_settings settings_;
    const session_codec& codec_;
    proxy_event_sink sink_;
    buffer_budget budget_;
    detail::tcp_acceptor acceptor_;
    detail::steady_timer retry_;
    detail::steady_timer sweep_timer_;
    id_sequence<session_id> ids_;
    std::unordered_map<session_id, caller> callers_;
    std::vector<closing_stream> closing_;
    bool sweep_posted_{false};
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
            self->admit(std::move(socket));
            self->accept();
        });
}

/// A connection that has sent no line gives its place to a new one: an ordinary caller sends its
/// first line at once.
void session_port::implementation::admit(detail::tcp_socket socket) {
    if (callers_.size() + closing_.size() >= settings_.session_limit) {
        const auto oldest = budget_.oldest_not_started();
        if (!oldest) {
            report("session_limit", {}, 0);
            return;
        }
        close_for_limit({*oldest, budget_verdict::no_startup, 0});
    }
    add(std::move(socket));
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
    stream->on_permission([weak, id] {
        const auto self = weak.lock();
        return self ? self->permission(id) : detail::read_permission{};
    });
    stream->on_activity([weak, id] {
        if (const auto self = weak.lock()) {
            self->note_buffers(id);
            self->resume(id);
        }
    });
    callers_[id].stream = stream;
    budget_.open(proxy_host::now(), id);
    stream->start();
}

detail::read_permission session_port::implementation::permission(session_id session) const {
    return {budget_.may_handle(session), budget_.read_allowance(session) / statement_copies};
}

void session_port::implementation::note_buffers(session_id session) {
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    auto& each = found->second;
    auto& held = each.held;
    const auto& stream = *each.stream;
    const auto now = proxy_host::now();
    held.input = stream.input_size() * statement_copies;
    held.output = stream.output_size();
    if (!stream.has_partial_line()) {
        held.line_begun = no_deadline;
    } else if (held.line_begun == no_deadline) {
        held.line_begun = now;
    }
    if (held.output == 0) {
        held.output_begun = no_deadline;
    } else if (held.output_begun == no_deadline) {
        held.output_begun = now;
    }
    if (std::exchange(each.sent, stream.sent()) != stream.sent()) {
        held.last_progress = now;
    }
    budget_.update(session, held);
    if (budget_.exceeded(session)) {
        sweep_soon();
    }
}

void session_port::implementation::resume(session_id session) {
    const auto found = callers_.find(session);
    if (found == callers_.end() || !found->second.stream->paused()) {
        return;
    }
    // Lines that were read are handled without room for more: they hold the memory already.
    if (budget_.may_handle(session)) {
        const auto stream = found->second.stream;
        stream->resume();
    }
}

void session_port::implementation::sweep_periodically() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([weak = weak_from_this()](detail::error_code failure) {
        const auto self = weak.lock();
        if (!failure && self && !self->stopped_) {
            self->sweep();
            self->sweep_periodically();
        }
    });
}

void session_port::implementation::sweep_soon() {
    if (std::exchange(sweep_posted_, true)) {
        return;
    }
    boost::asio::post(acceptor_.get_executor(), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->sweep_posted_ = false;
            self->sweep();
        }
    });
}

void session_port::implementation::sweep() {
    const auto now = proxy_host::now();
    close_closing_streams(now);
    for (const auto& closing : budget_.due(now)) {
        close_for_limit(closing);
    }
    std::vector<session_id> paused;
    for (const auto& [id, each] : callers_) {
        if (each.stream->paused()) {
            paused.push_back(id);
        }
    }
    for (const auto id : paused) {
        resume(id);
    }
}

void session_port::implementation::close_closing_streams(time_point now) {
    std::erase_if(closing_, [now](const closing_stream& each) {
        if (now - each.since > closing_time) {
            each.stream->close();
        }
        return each.stream->closed();
    });
}

void session_port::implementation::close_for_limit(const budget_closing& closing) {
    const auto found = callers_.find(closing.session);
    if (found == callers_.end()) {
        return;
    }
    found->second.stream->close();
    forget(closing.session);
    report(to_string(closing.verdict), closing.session, closing.held);
    sink_(session_closed{closing.session});
}

void session_port::implementation::report(std::string reason, session_id session,
                                          std::size_t held) const {
    if (settings_.on_limit) {
        settings_.on_limit({std::move(reason), session, held, budget_.total()});
    }
}

void session_port::implementation::forget(session_id session) {
    callers_.erase(session);
    budget_.close(session);
}

void session_port::implementation::handle_line(session_id session, std::string_view line) {
    auto message = codec_.read_caller(line);
    budget_.start(session);
    if (auto* start = std::get_if<startup_message>(&message)) {
        sink_(session_started{session, std::move(start->database), std::move(start->key)});
    } else if (auto* next = std::get_if<statement>(&message)) {
        const auto found = callers_.find(session);
        if (found != callers_.end()) {
            const auto size = line.size() * statement_copies;
            found->second.unanswered.push_back(size);
            found->second.held.waiting += size;
            note_buffers(session);
        }
        sink_(statement_received{session, std::move(*next)});
    } else if (const auto* problem = std::get_if<malformed_line>(&message)) {
        sink_(session_broken{session, problem->reason});
    } else {
        drop(session);
        sink_(session_closed{session});
    }
}

void session_port::implementation::on_stream_end(session_id session, detail::stream_end reason) {
    const auto found = callers_.find(session);
    const auto held = found == callers_.end() ? 0 : found->second.held.total();
    forget(session);
    if (reason == detail::stream_end::line_too_long) {
        report("line_too_long", session, held);
        sink_(session_broken{session, "line too long"});
    }
    sink_(session_closed{session});
}

void session_port::implementation::assign(session_id session, const organisation_id& organisation) {
    budget_.assign(session, organisation);
}

void session_port::implementation::write(session_id session, const std::string& text) {
    const auto found = callers_.find(session);
    if (found != callers_.end()) {
        found->second.stream->write(text);
        note_buffers(session);
    }
}

void session_port::implementation::write_answer(session_id session, const std::string& text) {
    const auto found = callers_.find(session);
    if (found == callers_.end()) {
        return;
    }
    auto& each = found->second;
    if (!each.unanswered.empty()) {
        each.held.waiting -= each.unanswered.front();
        each.unanswered.pop_front();
    }
    write(session, text);
    resume(session);
}

void session_port::implementation::drop(session_id session) {
    const auto found = callers_.find(session);
    if (found != callers_.end()) {
        const auto stream = found->second.stream;
        stream->close_after_write();
        closing_.push_back({stream, proxy_host::now()});
        forget(session);
    }
}

void session_port::implementation::stop() {
    stopped_ = true;
    detail::error_code ignored;
    acceptor_.close(ignored);
    retry_.cancel();
    sweep_timer_.cancel();
    for (const auto& [id, each] : callers_) {
        each.stream->close();
    }
    callers_.clear();
    closing_.clear();
}

session_port::session_port(boost::asio::io_context& context, const session_port_settings& settings,
                           const session_codec& codec, proxy_event_sink sink)
    : implementation_{std::make_shared<implementation>(context, settings, codec, std::move(sink))} {
    implementation_->accept();
    implementation_->sweep_periodically();
}

session_port::~session_port() {
    implementation_->stop();
}

void session_port::accept(session_id session, const organisation_id& organisation) {
    implementation_->assign(session, organisation);
    std::string text;
    implementation_->codec().write_session_accepted(text);
    implementation_->write(session, text);
}

void session_port::answer(session_id session, const statement_reply& reply) {
    std::string text;
    implementation_->codec().write_reply(reply, text);
    implementation_->write_answer(session, text);
}

void session_port::reject(session_id session, statement_error problem, const std::string& detail) {
    std::string text;
    implementation_->codec().write_error(problem, detail, text);
    implementation_->write(session, text);
    implementation_->drop(session);
}

void session_port::end(session_id session) {
    implementation_->drop(session);
}

std::size_t session_port::connections() const noexcept {
    return implementation_->connections();
}

std::size_t session_port::buffered() const noexcept {
    return implementation_->buffered();
}

} // namespace jackdawvane
