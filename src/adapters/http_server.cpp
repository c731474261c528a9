#include "jackdawvane/adapters/http_server.hpp"

#include <vector>

#include "http_session.hpp"
#include <boost/asio/post.hpp>

namespace jackdawvane {

namespace {

constexpr auto sweep_interval = std::chrono::seconds{1};
// A process without free file descriptors would otherwise retry accept in a busy loop.
constexpr auto accept_retry_delay = std::chrono::milliseconds{50};

} // namespace

namespace detail {

http_server_state::http_server_state(asio::io_context& context, const http_server_settings& limits,
                                     http_server::handler handler)
    : settings{limits}, on_request{std::move(handler)}, acceptor{listen_on(context, limits.listen)},
      sweep_timer{context.get_executor()} {}

void http_server_state::accept() {
    acceptor.async_accept([self = shared_from_this()](error_code failure, tcp_socket socket) {
        if (self->stopping) {
            return;
        }
        if (failure) {
            auto timer = std::make_shared<steady_timer>(self->acceptor.get_executor());
            timer->expires_after(accept_retry_delay);
            timer->async_wait([self, timer](error_code) {
                if (!self->stopping) {
                    self->accept();
                }
            });
            return;
        }
        self->admit(std::move(socket));
        self->accept();
    });
}

void http_server_state::admit(tcp_socket socket) {
    if (settings.close_oldest_when_full && sessions.size() >= settings.connection_limit) {
        close_oldest();
    }
    if (sessions.size() >= settings.connection_limit) {
        return;
    }
    const auto session =
        std::make_shared<http_session>(std::move(socket), shared_from_this(), ++last_number);
    sessions.insert(session);
    session->start();
}

void http_server_state::close_oldest() {
    std::shared_ptr<http_session> oldest;
    for (const auto& each : sessions) {
        const auto since = each->waiting_since();
        if (since && (!oldest || *since < *oldest->waiting_since())) {
            oldest = each;
        }
    }
    if (oldest) {
        oldest->close();
    }
}

void http_server_state::sweep() {
    sweep_timer.expires_after(sweep_interval);
    sweep_timer.async_wait([weak = weak_from_this()](error_code failure) {
        const auto self = weak.lock();
        if (failure || !self) {
            return;
        }
        ++self->now_s;
        const std::vector<std::shared_ptr<http_session>> open{self->sessions.begin(),
                                                              self->sessions.end()};
        for (const auto& session : open) {
            session->sweep(self->now_s);
        }
        self->sweep();
    });
}

void http_server_state::remove(const std::shared_ptr<http_session>& session) {
    sessions.erase(session);
    report_stopped();
}

void http_server_state::report_stopped() {
    if (stopping && sessions.empty() && stopped) {
        sweep_timer.cancel();
        asio::post(acceptor.get_executor(), std::exchange(stopped, nullptr));
    }
}

} // namespace detail

void http_responder::respond(http_response response) const {
    if (const auto session = session_.lock()) {
        session->respond(serial_, std::move(response));
    }
}

void http_responder::on_closed(std::function<void()> callback) const {
    if (const auto session = session_.lock()) {
        session->on_closed(serial_, std::move(callback));
    }
}

http_server::http_server(boost::asio::io_context& context, const http_server_settings& settings,
                         handler on_request)
    : state_{
          std::make_shared<detail::http_server_state>(context, settings, std::move(on_request))} {
    state_->accept();
    state_->sweep();
}

http_server::~http_server() {
    state_->stopping = true;
    state_->stopped = nullptr;
    state_->on_request = [](const http_request_view&, const http_responder&) {};
    detail::error_code ignored;
    state_->acceptor.close(ignored);
    state_->sweep_timer.cancel();
    const auto open = std::exchange(state_->sessions, {});
    for (const auto& session : open) {
        session->discard();
    }
}

endpoint http_server::local_endpoint() const {
    return detail::from_asio(state_->acceptor.local_endpoint());
}

std::size_t http_server::connections() const noexcept {
    return state_->sessions.size();
}

void http_server::stop(std::function<void()> stopped) {
    state_->stopping = true;
    state_->stopped = std::move(stopped);
    detail::error_code ignored;
    state_->acceptor.close(ignored);
    const std::vector<std::shared_ptr<detail::http_session>> open{state_->sessions.begin(),
                                                                  state_->sessions.end()};
    for (const auto& session : open) {
        session->finish();
    }
    state_->report_stopped();
}

} // namespace jackdawvane
