#include "jackdawvane/adapters/peer_port_adapter.hpp"

#include <utility>

#include <algorithm>
#include <memory>

#include "loopback.hpp"
#include "support/memory_ports.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Two VMs whose ports are connected; the tests run against each implementation.
class peer_pair {
  public:
    peer_pair() = default;
    peer_pair(const peer_pair&) = delete;
    peer_pair& operator=(const peer_pair&) = delete;
    virtual ~peer_pair() = default;

    virtual peer_port& sender() = 0;
    virtual endpoint receiver_endpoint() = 0;
    virtual void stop_receiver() = 0;
    virtual bool run_until(const std::function<bool()>& condition) = 0;

    loopback::event_log sender_log;
    loopback::event_log receiver_log;
};

class memory_pair final : public peer_pair {
  public:
    peer_port& sender() override { return sender_; }
    endpoint receiver_endpoint() override { return {"127.0.0.4", 1}; }
    void stop_receiver() override { receiver_.reset(); }
    bool run_until(const std::function<bool()>& condition) override {
        sender_.deliver();
        if (receiver_) {
            receiver_->deliver();
        }
        return condition();
    }

  private:
    test_support::memory_peer_port::network network_;
    test_support::memory_peer_port sender_{
        network_, {"127.0.0.3", 1}, vm_id{"vm-a"}, sender_log.sink()};
    std::unique_ptr<test_support::memory_peer_port> receiver_{
        std::make_unique<test_support::memory_peer_port>(network_, receiver_endpoint(),
                                                         vm_id{"vm-b"}, receiver_log.sink())};
};

class loopback_pair final : public peer_pair {
  public:
    peer_port& sender() override { return sender_; }
    endpoint receiver_endpoint() override { return endpoint_; }
    void stop_receiver() override { receiver_.reset(); }
    bool run_until(const std::function<bool()>& condition) override {
        return loopback::run_until(context_, condition);
    }

  private:
    static peer_port_settings settings_of(const char* vm, const char* address) {
        return {vm_id{vm}, vm_incarnation{7}, region_id{"north"}, {address, 0}, address, "secret"};
    }

    boost::asio::io_context context_;
    peer_port_adapter sender_{context_, settings_of("vm-a", "127.0.0.3"), sender_log.sink()};
    std::unique_ptr<peer_port_adapter> receiver_{std::make_unique<peer_port_adapter>(
        context_, settings_of("vm-b", "127.0.0.4"), receiver_log.sink())};
    endpoint endpoint_{receiver_->local_endpoint()};
};

struct implementation {
    const char* name;
    std::unique_ptr<peer_pair> (*make)();
};

class PeerContract : public testing::TestWithParam<implementation> {
  protected:
    void send(peer_message message, peer_channel channel = peer_channel::stream) {
        pair_->sender().send(
            {vm_id{"vm-b"}, pair_->receiver_endpoint(), channel, std::move(message)});
    }

    static configuration_announce announcement(std::uint64_t number) {
        configuration_announce message;
        message.revision = revision{number};
        return message;
    }

    std::unique_ptr<peer_pair> pair_{GetParam().make()};
};

/// Guards against an implementation whose stream reorders messages or loses the sender.
TEST_P(PeerContract, StreamKeepsOrderAndSender) {
    for (std::uint64_t i = 1; i <= 50; ++i) {
        send(announcement(i));
    }
    EXPECT_TRUE(pair_->receiver_log.events.empty()) << "delivered from within the call";
    ASSERT_TRUE(pair_->run_until([&] { return pair_->receiver_log.events.size() == 50; }));
    std::vector<std::uint64_t> numbers;
    for (const auto& each : pair_->receiver_log.all<peer_received>()) {
        numbers.push_back(std::get<configuration_announce>(each.message).revision.value());
        EXPECT_EQ(each.from, vm_id{"vm-a"});
        EXPECT_EQ(each.from_incarnation, vm_incarnation{7});
    }
    EXPECT_TRUE(std::is_sorted(numbers.begin(), numbers.end()));
}

/// Guards against an implementation that delivers only one kind of channel.
TEST_P(PeerContract, DatagramArrives) {
    send(announcement(3), peer_channel::datagram);
    EXPECT_TRUE(pair_->run_until([&] { return pair_->receiver_log.events.size() == 1; }));
}

/// Guards against a sender that waits for an answer of a VM that has stopped.
TEST_P(PeerContract, LostStreamIsReportedOnceAndNotFromWithinTheCall) {
    pair_->stop_receiver();
    send(announcement(1));
    EXPECT_TRUE(pair_->sender_log.events.empty());
    ASSERT_TRUE(
        pair_->run_until([&] { return pair_->sender_log.count<peer_disconnected>() == 1; }));
    EXPECT_EQ(pair_->sender_log.all<peer_disconnected>().front().vm, vm_id{"vm-b"});
}

INSTANTIATE_TEST_SUITE_P(Ports, PeerContract,
                         testing::Values(implementation{"memory",
                                                        []() -> std::unique_ptr<peer_pair> {
                                                            return std::make_unique<memory_pair>();
                                                        }},
                                         implementation{
                                             "loopback",
                                             []() -> std::unique_ptr<peer_pair> {
                                                 return std::make_unique<loopback_pair>();
                                             }}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
