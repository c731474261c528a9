#include "jackdawvane/adapters/http_client.hpp"

#include <array>
#include <chrono>
#include <optional>

#include "loopback.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using boost::asio::ip::tcp;

/// Guards against a call that has timed out and still arrives when a network partition ends.
TEST(HttpClient, CallThatTimesOutResetsItsConnection) {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const endpoint remote{"127.0.0.1", acceptor.local_endpoint().port()};
    loopback::caller caller{context, remote};
    auto accepted = acceptor.accept();
    std::optional<result<http_answer>> answer;
    caller.client.request("POST", "/", "body", std::chrono::milliseconds{20},
                          [&](const result<http_answer>& received) { answer = received; }, {});
    ASSERT_TRUE(loopback::run_until(context, [&] { return answer.has_value(); }));
    EXPECT_FALSE(*answer);
    std::array<char, 1024> buffer{};
    boost::system::error_code failure;
    while (!failure) {
        accepted.read_some(boost::asio::buffer(buffer), failure);
    }
    EXPECT_EQ(failure, boost::asio::error::connection_reset);
}

} // namespace
} // namespace jackdawvane
