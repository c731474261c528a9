#include <array>

#include "adapters/peer_outgoing.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace jackdawvane::detail {
namespace {

// Guards against messages that arrive after the sender has given them up. In kdrp-vane scale-1
// --seed 979679551564, messages given up during a network partition arrived 11 s later, all at
// once, and the statements among them occupied the slots.
TEST(PeerOutgoing, DiscardedChannelIsReset) {
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto channel =
        std::make_shared<peer_outgoing>(context, from_asio(acceptor.local_endpoint()));
    channel->on_closed([](bool) {});
    channel->open("");
    auto accepted = acceptor.accept();
    context.run_for(std::chrono::milliseconds{50});
    channel->discard();
    std::array<char, 16> buffer{};
    error_code failure;
    accepted.read_some(asio::buffer(buffer), failure);
    EXPECT_EQ(failure, asio::error::connection_reset);
}

} // namespace
} // namespace jackdawvane::detail
