#include "jackdawvane/adapters/proxy_host.hpp"

#include <utility>

#include <ctime>

#include "tick_timer.hpp"

namespace jackdawvane {

namespace {

// The proxy detects a pause of its VM by the time between two ticks.
constexpr duration max_tick_delay = std::chrono::milliseconds{100};
// Limits the CPU time spent on wake-ups; the timers of the proxy tolerate this delay.
constexpr duration min_tick_delay = std::chrono::milliseconds{4};

struct session_visitor {
    proxy_port_set& ports;

    void operator()(const accept_session& value) const {
        ports.sessions.accept(value.session, value.organisation);
    }
    void operator()(const answer_statement& value) const {
        ports.sessions.answer(value.session, value.reply);
    }
    void operator()(const reject_session& value) const {
        ports.sessions.reject(value.session, value.problem, value.detail);
    }
    void operator()(const end_session& value) const { ports.sessions.end(value.session); }
    void operator()(const open_server_connection& value) const { ports.servers.open(value); }
    void operator()(const send_to_server& value) const { ports.servers.send(value); }
    void operator()(const close_server_connection& value) const {
        ports.servers.close(value.connection);
    }
    void operator()(const promote_server& value) const { ports.promotions.promote(value); }
};

/// Ignores the actions that only the HTTP node emits, never a session proxy.
struct common_visitor {
    proxy_port_set& ports;
    bool& stopped_flag;

    void operator()(const store_request& value) const { ports.store.call(value); }
    void operator()(const send_to_peer& value) const { ports.peers.send(value); }
    void operator()(const log_record& value) const { ports.diagnostics.log(value); }
    void operator()(const measurement& value) const { ports.diagnostics.measure(value); }
    void operator()(const stopped& /*value*/) const { stopped_flag = true; }
    template <class Other>
    void operator()(const Other& /*value*/) const {}
};

} // namespace

proxy_host::proxy_host(boost::asio::io_context& context, session_proxy& proxy,
                       std::function<void()> on_stopped)
    : proxy_{proxy}, on_stopped_{std::move(on_stopped)},
      timer_{std::make_unique<detail::tick_timer>(context, min_tick_delay, max_tick_delay,
                                                  [this] { deliver(timer_tick{}); })} {}

proxy_host::~proxy_host() = default;

time_point proxy_host::now() {
    std::timespec timestamp{};
    clock_gettime(CLOCK_BOOTTIME, &timestamp);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{timestamp.tv_sec} + std::chrono::nanoseconds{timestamp.tv_nsec})};
}

void proxy_host::start(proxy_port_set ports) {
    ports_ = std::make_unique<proxy_port_set>(ports);
    deliver(timer_tick{});
}

void proxy_host::deliver(proxy_event&& input) {
    if (!ports_) {
        return;
    }
    pending_.push_back(std::move(input));
    if (std::exchange(handling_, true)) {
        return;
    }
    while (!pending_.empty()) {
        const auto next = std::move(pending_.front());
        pending_.pop_front();
        handle_one(next);
    }
    handling_ = false;
    timer_->schedule(now(), proxy_.next_deadline());
    if (stopped_ && on_stopped_) {
        std::exchange(on_stopped_, nullptr)();
    }
}

void proxy_host::handle_one(const proxy_event& input) {
    batch_.clear();
    proxy_.handle(now(), input, batch_);
    for (const auto& each : batch_.sessions) {
        std::visit(session_visitor{*ports_}, each);
    }
    for (const auto& each : batch_.common) {
        std::visit(common_visitor{*ports_, stopped_}, each);
    }
}

} // namespace jackdawvane
