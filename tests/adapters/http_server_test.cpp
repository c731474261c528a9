#include "jackdawvane/adapters/http_server.hpp"

#include <utility>

#include "loopback.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using boost::asio::ip::tcp;

class HttpServer : public testing::Test {
  protected:
    HttpServer() {
        http_server_settings settings;
        settings.listen = {"127.0.0.2", 0};
        server.emplace(context, settings,
                       [this](const http_request_view& request, const http_responder& responder) {
                           bodies.emplace_back(request.body());
                           responder.on_closed([this] { ++closed; });
                           responders.push_back(responder);
                       });
    }

    bool run_until(const std::function<bool()>& condition) {
        return loopback::run_until(context, condition);
    }

    tcp::socket raw_connection() {
        tcp::socket socket{context};
        const auto where = server->local_endpoint();
        socket.connect({boost::asio::ip::make_address(where.address), where.port});
        return socket;
    }

    boost::asio::io_context context;
    std::vector<std::string> bodies;
    std::vector<http_responder> responders;
    int closed{0};
    std::optional<http_server> server;
};

/// Guards against an answer that is sent to another caller than the one that asked.
TEST_F(HttpServer, AnswersInAnyOrderReachTheirOwnCallers) {
    loopback::caller first{context, server->local_endpoint()};
    loopback::caller second{context, server->local_endpoint()};
    first.post("/", "first");
    ASSERT_TRUE(run_until([&] { return responders.size() == 1; }));
    second.post("/", "second");
    ASSERT_TRUE(run_until([&] { return responders.size() == 2; }));

    responders[1].respond({200, "to " + bodies[1], "text/plain", {}});
    responders[0].respond({200, "to " + bodies[0], "text/plain", {}});

    ASSERT_TRUE(run_until([&] { return first.answer && second.answer; }));
    EXPECT_EQ(first.answer->value().body, "to first");
    EXPECT_EQ(second.answer->value().body, "to second");
}

/// Guards against a second or late response that becomes the answer to the next request.
TEST_F(HttpServer, OnlyTheFirstResponseToARequestIsSent) {
    loopback::caller client{context, server->local_endpoint()};
    client.post("/", "one");
    ASSERT_TRUE(run_until([&] { return responders.size() == 1; }));
    responders[0].respond({200, "one", "text/plain", {}});
    ASSERT_TRUE(run_until([&] { return client.answer.has_value(); }));
    client.post("/", "two");
    ASSERT_TRUE(run_until([&] { return responders.size() == 2; }));

    responders[0].respond({200, "late", "text/plain", {}});
    responders[1].respond({200, "two", "text/plain", {}});

    ASSERT_TRUE(run_until([&] { return client.answer.has_value(); }));
    EXPECT_EQ(client.answer->value().body, "two");
}

/// Guards against work that continues for a caller that has disconnected, and against a crash
/// when the answer comes after that.
TEST_F(HttpServer, ReportsACallerThatLeavesBeforeTheAnswer) {
    {
        loopback::caller client{context, server->local_endpoint()};
        client.post("/", "x");
        ASSERT_TRUE(run_until([&] { return responders.size() == 1; }));
    }
    ASSERT_TRUE(run_until([&] { return closed == 1; }));
    responders[0].respond({200, "late", "text/plain", {}});
    EXPECT_EQ(server->connections(), 0U);
}

/// Guards against a pipelined request that is handled before the answer to the one before it.
TEST_F(HttpServer, HandlesPipelinedRequestsOneAfterTheOther) {
    auto socket = raw_connection();
    const std::string one = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(one + "1" + one + "2" + one + "3"));
    for (std::size_t count = 1; count <= 3; ++count) {
        ASSERT_TRUE(run_until([&] { return responders.size() == count; }));
        loopback::run_briefly(context);
        ASSERT_EQ(responders.size(), count);
        responders.back().respond({200, "ok", "text/plain", {}});
    }
    EXPECT_EQ(bodies, (std::vector<std::string>{"1", "2", "3"}));
}

struct rejected_case {
    const char* name;
    std::string input;
    const char* status_line;
};

class RejectedInput : public HttpServer, public testing::WithParamInterface<rejected_case> {};

/// Guards against input that exhausts memory or is handled although it is not a whole request.
TEST_P(RejectedInput, GetsAStatusAndACloseWithoutReachingTheHandler) {
    auto socket = raw_connection();
    boost::asio::async_write(socket, boost::asio::buffer(GetParam().input),
                             [](boost::system::error_code, std::size_t) {});
    std::string received;
    bool done = false;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received), "\r\n",
                                  [&](boost::system::error_code, std::size_t) { done = true; });
    ASSERT_TRUE(run_until([&] { return done; }));
    EXPECT_EQ(received.substr(0, received.find("\r\n")), GetParam().status_line);
    EXPECT_TRUE(responders.empty());
}

INSTANTIATE_TEST_SUITE_P(
    HttpServer, RejectedInput,
    testing::Values(rejected_case{"malformed", "nonsense\r\n\r\n", "HTTP/1.1 400 Bad Request"},
                    rejected_case{"oversized_body",
                                  "POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n",
                                  "HTTP/1.1 413 Payload Too Large"},
                    rejected_case{"oversized_header",
                                  "GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
                                  "HTTP/1.1 431 Request Header Fields Too Large"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a planned stop that interrupts a request or keeps idle connections.
TEST_F(HttpServer, StopFinishesRequestsInHand) {
    loopback::caller idle{context, server->local_endpoint()};
    loopback::caller busy{context, server->local_endpoint()};
    busy.post("/", "x");
    ASSERT_TRUE(run_until([&] { return responders.size() == 1; }));
    bool stopped = false;
    server->stop([&] { stopped = true; });
    ASSERT_TRUE(run_until([&] { return !idle.client.connected(); }));
    EXPECT_FALSE(stopped);

    responders[0].respond({200, "finished", "text/plain", {}});

    ASSERT_TRUE(run_until([&] { return busy.answer && stopped; }));
    EXPECT_EQ(busy.answer->value().body, "finished");
}

/// Guards against a crowd of silent connections that keeps the readiness check out.
TEST_F(HttpServer, OldestWaitingConnectionGivesWayWhenFull) {
    http_server_settings settings;
    settings.listen = {"127.0.0.2", 0};
    settings.connection_limit = 2;
    settings.close_oldest_when_full = true;
    server.emplace(context, settings,
                   [this](const http_request_view& request, const http_responder& responder) {
                       bodies.emplace_back(request.body());
                       responders.push_back(responder);
                   });
    loopback::caller handled{context, server->local_endpoint()};
    handled.post("/", "first");
    ASSERT_TRUE(run_until([&] { return responders.size() == 1; }));
    auto silent = raw_connection();
    ASSERT_TRUE(run_until([&] { return server->connections() == 2; }));
    loopback::caller last{context, server->local_endpoint()};
    last.post("/", "last");
    ASSERT_TRUE(run_until([&] { return responders.size() == 2; }));
    EXPECT_EQ(server->connections(), 2U);
    responders[0].respond({200, "handled", "text/plain", {}});
    EXPECT_TRUE(run_until([&] { return handled.answer.has_value(); }));
}

} // namespace
} // namespace jackdawvane
