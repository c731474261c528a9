#include "jackdawvane/adapters/peer_port_adapter.hpp"

#include <utility>

#include <memory>

#include "loopback.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using boost::asio::ip::tcp;

peer_port_settings settings_of(const char* vm, const char* address, std::string secret) {
    return {vm_id{vm},    vm_incarnation{7}, region_id{"north"},
            {address, 0}, address,           std::move(secret)};
}

configuration_announce announcement(std::uint64_t number) {
    configuration_announce message;
    message.revision = revision{number};
    return message;
}

class PeerPort : public testing::Test {
  protected:
    PeerPort() {
        sender = std::make_unique<peer_port_adapter>(
            context, settings_of("vm-a", "127.0.0.3", "secret"), sender_log.sink());
        receiver = std::make_unique<peer_port_adapter>(
            context, settings_of("vm-b", "127.0.0.4", "secret"), receiver_log.sink());
    }

    void send(peer_port_adapter& from, peer_message message,
              peer_channel channel = peer_channel::stream) {
        from.send({vm_id{"vm-b"}, receiver->local_endpoint(), channel, std::move(message)});
    }

    std::vector<std::uint64_t> received_revisions() {
        std::vector<std::uint64_t> numbers;
        for (const auto& each : receiver_log.all<peer_received>()) {
            numbers.push_back(std::get<configuration_announce>(each.message).revision.value());
        }
        return numbers;
    }

    bool run_until(const std::function<bool()>& condition) {
        return loopback::run_until(context, condition);
    }

    boost::asio::io_context context;
    loopback::event_log sender_log;
    loopback::event_log receiver_log;
    std::unique_ptr<peer_port_adapter> sender;
    std::unique_ptr<peer_port_adapter> receiver;
};

/// Guards against messages of a channel that are altered, reordered or lose their sender.
TEST_F(PeerPort, StreamKeepsOrderAndSender) {
    for (std::uint64_t i = 1; i <= 100; ++i) {
        send(*sender, announcement(i));
    }
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 100; }));
    const auto numbers = received_revisions();
    EXPECT_TRUE(std::is_sorted(numbers.begin(), numbers.end()));
    const auto first = receiver_log.all<peer_received>().front();
    EXPECT_EQ(first.from, vm_id{"vm-a"});
    EXPECT_EQ(first.from_incarnation, vm_incarnation{7});
}

/// Guards against a message that is larger than one read and against a lost datagram path.
TEST_F(PeerPort, CarriesLargeMessagesAndDatagrams) {
    forward_request large;
    large.statements.append(std::string(1000000, 'x'));
    send(*sender, large);
    send(*sender, announcement(1), peer_channel::datagram);
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 2; }));
    for (const auto& each : receiver_log.all<peer_received>()) {
        if (const auto* forwarded = std::get_if<forward_request>(&each.message)) {
            EXPECT_EQ(forwarded->statements, large.statements);
        }
    }
}

class UnauthenticatedMessage : public PeerPort, public testing::WithParamInterface<peer_channel> {};

/// Guards against a peer port that accepts messages from senders without the secret.
TEST_P(UnauthenticatedMessage, WithAnotherSecretIsDroppedAndCounted) {
    loopback::event_log unauthenticated_log;
    peer_port_adapter unauthenticated{context, settings_of("vm-a", "127.0.0.5", "guess"),
                                      unauthenticated_log.sink()};
    send(unauthenticated, announcement(1), GetParam());
    ASSERT_TRUE(
        run_until([&] { return receiver->traffic().drops(peer_drop_reason::wrong_mac) == 1; }));
    EXPECT_TRUE(receiver_log.events.empty());
}

INSTANTIATE_TEST_SUITE_P(PeerPort, UnauthenticatedMessage,
                         testing::Values(peer_channel::stream, peer_channel::datagram));

struct invalid_input_case {
    const char* name;
    std::string input;
};

class UnauthenticatedConnection : public PeerPort,
                                  public testing::WithParamInterface<invalid_input_case> {};

/// Guards against unauthenticated input that crashes the process or exhausts its memory.
TEST_P(UnauthenticatedConnection, IsClosedAndTheChannelOfOthersGoesOn) {
    tcp::socket socket{context};
    const auto where = receiver->local_endpoint();
    socket.connect({boost::asio::ip::make_address(where.address), where.port});
    boost::asio::async_write(socket, boost::asio::buffer(GetParam().input),
                             [](boost::system::error_code, std::size_t) {});
    bool closed = false;
    char byte = 0;
    socket.async_read_some(
        boost::asio::buffer(&byte, 1),
        [&](boost::system::error_code failure, std::size_t) { closed = bool{failure}; });
    ASSERT_TRUE(run_until([&] { return closed; }));
    send(*sender, announcement(1));
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 1; }));
}

INSTANTIATE_TEST_SUITE_P(
    PeerPort, UnauthenticatedConnection,
    testing::Values(invalid_input_case{"no_mac", "{}\n"}, invalid_input_case{"empty_line", "\n"},
                    invalid_input_case{"endless_line", std::string(3000000, 'x')}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a sender that is never notified that its messages were not delivered.
TEST_F(PeerPort, ReportsARefusedConnection) {
    const auto nowhere = receiver->local_endpoint();
    receiver.reset();
    sender->send({vm_id{"vm-b"}, nowhere, peer_channel::stream, announcement(1)});
    EXPECT_TRUE(sender_log.events.empty()) << "reported from within the call";
    ASSERT_TRUE(run_until([&] { return sender_log.count<peer_disconnected>() == 1; }));
}

/// Guards against a connection that accepts data without delivering it: only the receiver's
/// acknowledgement shows that a message arrived.
TEST_F(PeerPort, ReportsAChannelThatSwallowsMessages) {
    tcp::acceptor silent{context, {boost::asio::ip::make_address("127.0.0.6"), 0}};
    tcp::socket accepted{context};
    silent.async_accept(accepted, [](boost::system::error_code) {});
    const endpoint where{"127.0.0.6", silent.local_endpoint().port()};
    sender->send({vm_id{"vm-c"}, where, peer_channel::stream, announcement(1)});
    ASSERT_TRUE(run_until([&] { return sender_log.count<peer_disconnected>() == 1; }));
    EXPECT_EQ(sender_log.all<peer_disconnected>().front().vm, vm_id{"vm-c"});
}

/// Guards against a false report when a channel closes after everything was acknowledged, and
/// against a sender that does not reconnect.
TEST_F(PeerPort, AcknowledgedMessagesAreNotReportedAsLost) {
    send(*sender, announcement(1));
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 1; }));
    const auto acknowledged = std::chrono::steady_clock::now() + std::chrono::seconds{1};
    run_until([&] { return std::chrono::steady_clock::now() > acknowledged; });
    receiver = std::make_unique<peer_port_adapter>(
        context, settings_of("vm-b", "127.0.0.4", "secret"), receiver_log.sink());
    loopback::run_briefly(context);
    send(*sender, announcement(2));
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 2; }));
    EXPECT_TRUE(sender_log.events.empty());
}

/// Guards against traffic between regions, which is billed, that is not counted.
TEST_F(PeerPort, CountsBytesByRegion) {
    membership_probe probe;
    member_update update;
    update.entry.vm = vm_id{"vm-b"};
    update.entry.peer = update.entry.caller = receiver->local_endpoint();
    update.entry.place = {region_id{"south"}, failure_domain_id{"s1"}};
    probe.updates = {update};
    send(*sender, probe, peer_channel::datagram);
    ASSERT_TRUE(run_until([&] { return receiver_log.events.size() == 1; }));
    using way = peer_traffic::direction;
    EXPECT_GT(sender->traffic().bytes(way::sent, peer_channel::datagram, region_id{"south"}), 0U);
    EXPECT_EQ(
        receiver->traffic().bytes(way::received, peer_channel::datagram, region_id{"unknown"}),
        sender->traffic().bytes(way::sent, peer_channel::datagram, region_id{"south"}));
}

} // namespace
} // namespace jackdawvane
