#include "standin_test.hpp"
#include "standins/jackdawvane-link/link_server.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

/// @brief Echo server behind a relay; echoed bodies show whether bytes are complete and in order.
class EchoBehindLink : public testing::Test {
  protected:
    EchoBehindLink() {
        link_settings settings;
        settings.control = any_port();
        settings.places = {{"near", {"127.3.1.", "r", false}}, {"far", {"127.3.2.", "r", false}}};
        settings.delays.domains = duration{1000};
        settings.relays = {{{"127.3.2.9", 0}, echo_.local(), true, false},
                           {{"127.3.2.9", 0}, datagrams_endpoint(), false, true}};
        link_.emplace(io_, settings);
        datagrams_.non_blocking(true);
    }

    endpoint datagrams_endpoint() { return {"127.0.0.1", datagrams_.local_endpoint().port()}; }
    http_client client(const char* from = "127.3.1.1") {
        return {io_, link_->tcp_endpoints().front(), from};
    }
    /// @brief Result of a connection attempt to the relay.
    error_code connect() {
        const auto relay = link_->tcp_endpoints().front();
        tcp::socket socket{io_, {asio::ip::make_address("127.3.1.1"), 0}};
        error_code failed;
        socket.connect({asio::ip::make_address(relay.address), relay.port}, failed);
        return failed;
    }
    /// @brief Number of relayed connections.
    std::uint64_t connections() {
        http_client control{io_, link_->control(), {}};
        return post(io_, control, "/inspect", Json::nullValue)["connections"].asUInt64();
    }
    void fault(const char* text) {
        http_client control{io_, link_->control(), {}};
        post(io_, control, "/fault", json_of(text));
    }
    Json::Value echo(http_client& client, int value, milliseconds timeout = answer_timeout) {
        return post(io_, client, "/echo", Json::Value{value}, timeout);
    }
    /// @brief Sends a datagram through the relay; returns what arrives within `no_answer_timeout`.
    std::string send_datagram(const std::string& text) {
        udp::socket sender{io_, {asio::ip::make_address("127.3.1.1"), 0}};
        const auto relay = link_->udp_endpoints().front();
        sender.send_to(asio::buffer(text), {asio::ip::make_address(relay.address), relay.port});
        std::string received(100, '\0');
        error_code failed;
        for (auto left = no_answer_timeout; left.count() > 0; left -= milliseconds{5}) {
            io_.run_for(milliseconds{5});
            const auto size = datagrams_.receive(asio::buffer(received), 0, failed);
            if (!failed) {
                return received.substr(0, size);
            }
        }
        return {};
    }

    asio::io_context io_{1};
    http_server echo_{
        io_, any_port(),
        [](http_server::connection_ptr, const http_request& request) -> awaitable<http_reply> {
            co_return http_reply{200, request.body, {}};
        }};
    udp::socket datagrams_{io_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::optional<link_server> link_;
};

/// Guards against bytes that the relay loses, duplicates or reorders.
TEST_F(EchoBehindLink, KeepsOrderAndContent) {
    auto connection = client();
    const Json::Value large{std::string(1'000'000, 'x') + "end"};
    EXPECT_EQ(post(io_, connection, "/echo", large), large);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(echo(connection, i).asInt(), i);
    }
}

/// Guards against a cut that passes bytes, and against one that cannot be healed.
TEST_F(EchoBehindLink, CutHoldsUntilHealed) {
    auto before = client();
    echo(before, 1);
    fault(R"({"cut":[["near","far"]]})");
    EXPECT_TRUE(echo(before, 2, no_answer_timeout).isNull());
    auto during = client();
    EXPECT_TRUE(echo(during, 3, no_answer_timeout).isNull());
    EXPECT_EQ(send_datagram("lost"), "");
    fault(R"({"heal_all":true})");
    auto after = client();
    EXPECT_EQ(echo(after, 4).asInt(), 4);
}

/// Guards against a silenced connection that recovers, and against new connections that are
/// silenced, too.
TEST_F(EchoBehindLink, SilenceIsPermanent) {
    auto before = client();
    echo(before, 1);
    fault(R"({"silence":[["near","far"]]})");
    EXPECT_TRUE(echo(before, 2, no_answer_timeout).isNull());
    auto after = client();
    EXPECT_EQ(echo(after, 3).asInt(), 3);
}

/// Guards against a fault that refuses no new connection, or that ends the open ones, too.
TEST_F(EchoBehindLink, RefusesNewConnectionsAndServesOpenOnes) {
    auto before = client();
    EXPECT_EQ(echo(before, 1).asInt(), 1);
    fault(R"({"refuse":["far"]})");
    EXPECT_EQ(connect(), asio::error::connection_refused);
    EXPECT_EQ(echo(before, 2).asInt(), 2);
    fault(R"({"listen":["far"]})");
    EXPECT_EQ(connect(), error_code{});
    fault(R"({"refuse":["far"]})");
    fault(R"({"heal_all":true})");
    auto after = client();
    EXPECT_EQ(echo(after, 3).asInt(), 3);
}

/// Guards against a cut whose end of a connection looks like an orderly close, and against one that
/// ends the connections of other places.
TEST_F(EchoBehindLink, ResetEndsOpenConnectionsOfThePair) {
    const auto relay = link_->tcp_endpoints().front();
    const tcp::endpoint target{asio::ip::make_address(relay.address), relay.port};
    auto other = client("127.3.2.1");
    EXPECT_EQ(echo(other, 1).asInt(), 1);
    tcp::socket cut{io_, {asio::ip::make_address("127.3.1.1"), 0}};
    cut.connect(target);
    for (auto left = answer_timeout; connections() < 2 && left.count() > 0;
         left -= milliseconds{5}) {
        io_.run_for(milliseconds{5});
    }
    error_code ended;
    std::string buffer(1, '\0');
    cut.async_read_some(asio::buffer(buffer),
                        [&](error_code failed, std::size_t) { ended = failed; });
    fault(R"({"cut":[["near","far"]],"reset":[["near","far"]]})");
    for (auto left = answer_timeout; !ended && left.count() > 0; left -= milliseconds{5}) {
        io_.run_for(milliseconds{5});
    }
    EXPECT_EQ(ended, asio::error::connection_reset);
    EXPECT_EQ(echo(other, 2).asInt(), 2);
    for (auto left = answer_timeout; connections() > 1 && left.count() > 0;
         left -= milliseconds{5}) {
        io_.run_for(milliseconds{5});
    }
    EXPECT_EQ(connections(), 1U);
}

/// Guards against a relay that drops all datagrams without a cut.
TEST_F(EchoBehindLink, DatagramsArrive) {
    std::string received;
    while (received.empty()) {
        received = send_datagram("probe");
    }
    EXPECT_EQ(received, "probe");
}

} // namespace
} // namespace jackdawvane::standin
