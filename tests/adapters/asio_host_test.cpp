#include "jackdawvane/adapters/asio_host.hpp"

#include <utility>

#include "loopback.hpp"
#include "support/memory_ports.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Node that counts its ticks and responds to `caller_disconnected` with two actions.
class recording_node final : public node_interface {
  public:
    void handle(time_point now, const event& what, actions& out) override {
        EXPECT_GE(now, last);
        last = now;
        ticks += std::holds_alternative<timer_tick>(what) ? 1 : 0;
        if (std::holds_alternative<caller_disconnected>(what)) {
            out.emplace_back(caller_answer{});
            out.emplace_back(stopped{});
        }
    }
    [[nodiscard]] time_point next_deadline() const override { return deadline; }
    [[nodiscard]] Json::Value describe() const override { return {}; }
    [[nodiscard]] bool ready() const override { return true; }

    time_point last;
    time_point deadline{no_deadline};
    int ticks{0};
};

/// Port that delivers an event from within its call, which ports must not do.
struct nested_port final : caller_port, diagnostics_port {
    void answer(const caller_answer& /*answer*/) override { on_answer(); }
    void log(const log_record& /*line*/) override {}
    void measure(const measurement& /*value*/) override {}
    std::function<void()> on_answer;
};

class AsioHost : public testing::Test {
  protected:
    bool run_until(const std::function<bool()>& condition) {
        return loopback::run_until(context, condition);
    }

    boost::asio::io_context context;
    recording_node node;
    int stops{0};
    asio_host host{context, node, [this] { ++stops; }};
    nested_port nested;
    test_support::memory_peer_port::network network;
    test_support::memory_backend_port backends{host.sink(), test_support::behaviour::answer};
    test_support::memory_store_port store{host.sink(), test_support::behaviour::answer};
    test_support::memory_peer_port peers{network, {"127.0.0.1", 1}, vm_id{"a"}, host.sink()};
};

/// Guards against a node without a deadline that gets no ticks and cannot detect a pause, and
/// against a deadline in the past that starves the sockets.
TEST_F(AsioHost, TicksWithoutAndWithAPastDeadline) {
    host.start({nested, backends, store, peers, nested});
    ASSERT_TRUE(run_until([&] { return node.ticks == 3; }));
    node.deadline = time_point::min();
    bool served = false;
    ASSERT_TRUE(run_until([&] { return node.ticks == 20; }));
    context.post([&] { served = true; });
    ASSERT_TRUE(run_until([&] { return served; }));
}

/// Guards against an event that is handled while the actions of another one are executed.
TEST_F(AsioHost, EventsFromWithinAnActionWait) {
    nested.on_answer = [&] {
        const int before = node.ticks;
        host.deliver(timer_tick{});
        EXPECT_EQ(node.ticks, before);
    };
    host.start({nested, backends, store, peers, nested});
    host.deliver(caller_disconnected{});
    EXPECT_EQ(node.ticks, 2);
    EXPECT_EQ(stops, 1);
}

} // namespace
} // namespace jackdawvane
