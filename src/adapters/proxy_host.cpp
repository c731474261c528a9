#include "jackdawvane/adapters/proxy_host.hpp"

#include <utility>

#include <ctime>

#include "tick_timer.hpp"

namespace jackdawvane {

namespace {

// The proxy detects a pause of its VM from the distance of two ticks.
constexpr duration longest_tick_distance = std::chrono::milliseconds{100};
// Each wake-up costs processor time; timers of the proxy bear this much delay.
constexpr duration shortest_tick_distance = std::chrono::milliseconds{4};

struct session_visitor {
    proxy_port_set& ports;

    void operator()(const greet_session& value) const { ports.sessions.greet(value.session); }
    void operator()(const answer_statement& value) const {
        ports.sessions.answer(value.session, value.reply);
    }
    void operator()(const reject_session& value) const {
        ports.sessions.reject(value.session, value.problem, value.detail);
    }
    void operator()(const end_session& value) const { ports.sessions.end(value.session); }
    void operator()(const open_member& value) const { ports.members.open(value); }
    void operator()(const send_to_member& value) const { ports.members.send(value); }
    void operator()(const close_member& value) const { ports.members.close(value.connection); }
    void operator()(const promote_member& value) const { ports.promotions.promote(value); }
};

/// The HTTP node's actions that a session proxy never asks for are ignored.
struct common_visitor {
    proxy_port_set& ports;
    bool& stopped_flag;

    void operator()(const store_request& value) const { ports.store.call(value); }
    void operator()(const send_to_peer& value) const { ports.peers.send(value); }
    void operator()(const log_decision& value) const { ports.diagnostics.log(value); }
    void operator()(const measurement& value) const { ports.diagnostics.measure(value); }
    void operator()(const stopped& /*value*/) const { stopped_flag = true; }
    template <class Other>
    void operator()(const Other& /*value*/) const {}
};

} // namespace

proxy_host::proxy_host(boost::asio::io_context& context, session_proxy& proxy,
                       std::function<void()> on_stopped)
    : proxy_{proxy}, on_stopped_{std::move(on_stopped)},
      timer_{std::make_unique<detail::tick_timer>(context, shortest_tick_distance,
                                                  longest_tick_distance,
                                                  [this] { deliver(timer_tick{}); })} {}

proxy_host::~proxy_host() = default;

time_point proxy_host::now() {
    std::timespec present{};
    clock_gettime(CLOCK_BOOTTIME, &present);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{present.tv_sec} + std::chrono::nanoseconds{present.tv_nsec})};
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
