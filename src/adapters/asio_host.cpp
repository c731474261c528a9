#include "jackdawvane/adapters/asio_host.hpp"

#include "tick_timer.hpp"

namespace jackdawvane {

namespace {

// The node detects a pause of its VM by the time between two ticks.
constexpr duration max_tick_delay = std::chrono::milliseconds{100};
// Keeps a deadline in the past from starving the socket I/O of the thread.
constexpr duration min_tick_delay = std::chrono::microseconds{100};

} // namespace

asio_host::asio_host(boost::asio::io_context& context, node_interface& node,
                     std::function<void()> on_stopped)
    : node_{node}, on_stopped_{std::move(on_stopped)}, timer_{std::make_unique<detail::tick_timer>(
                                                           context, min_tick_delay, max_tick_delay,
                                                           [this] { deliver(timer_tick{}); })} {}

asio_host::~asio_host() = default;

time_point asio_host::now() {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

void asio_host::start(port_set ports) {
    dispatcher_ = std::make_unique<action_dispatcher>(ports);
    deliver(timer_tick{});
}

event_sink asio_host::sink() {
    return [this](event&& input) { deliver(std::move(input)); };
}

void asio_host::deliver(event&& input) {
    if (handling_) {
        pending_.push_back(std::move(input));
        return;
    }
    handling_ = true;
    handle_one(input);
    handle_pending();
    handling_ = false;
    timer_->schedule(now(), node_.next_deadline());
    if (dispatcher_->stopped() && on_stopped_) {
        std::exchange(on_stopped_, nullptr)();
    }
}

void asio_host::handle_pending() {
    while (!pending_.empty()) {
        const auto input = std::move(pending_.front());
        pending_.pop_front();
        handle_one(input);
    }
}

void asio_host::handle_one(const event& input) {
    batch_.clear();
    node_.handle(now(), input, batch_);
    dispatcher_->dispatch(batch_);
}

} // namespace jackdawvane
