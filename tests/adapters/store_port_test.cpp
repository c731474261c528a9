#include "jackdawvane/adapters/store_port_adapter.hpp"

#include <utility>

#include <memory>

#include "loopback.hpp"
#include "support/memory_ports.hpp"
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using test_support::behaviour;

/// Store on loopback; withholds its answers on request.
class StorePort : public testing::Test {
  protected:
    void start(behaviour kind, std::size_t connections = 8, std::size_t queue = 256) {
        http_server_settings settings;
        settings.listen = {"127.0.0.8", 0};
        server.emplace(context, settings, [this, kind](const auto& request, const auto& responder) {
            serve(kind, request, responder);
        });
        store_port_settings store;
        store.store = server->local_endpoint();
        store.call_timeout = std::chrono::milliseconds{200};
        store.connection_limit = connections;
        store.queue_limit = queue;
        port.emplace(context, store, log.sink());
        if (kind == behaviour::refuse_connection) {
            server.reset();
        }
    }

    void serve(behaviour kind, const http_request_view& request, const http_responder& responder) {
        store_answer answer;
        const auto asked = from_json<store_request>(parse_json(request.body()).value()).value();
        answer.id = kind == behaviour::wrong_id ? request_id{999} : asked.id;
        answer.status = store_status::ok;
        answer.value = asked.key;
        held.emplace_back(responder, write_json(to_json(answer)));
        if (kind == behaviour::answer || kind == behaviour::wrong_id) {
            release(held.size() - 1);
        } else if (kind == behaviour::malformed_answer) {
            responder.respond({200, "[", "", {}});
        } else if (kind == behaviour::close_before_answer) {
            boost::asio::post(context, [this] { server.reset(); });
        }
    }

    void release(std::size_t index) {
        held.at(index).first.respond({200, held.at(index).second, "", {}});
    }

    void call(std::uint64_t id) {
        store_request request;
        request.id = request_id{id};
        request.key = "key" + std::to_string(id);
        port->call(request);
    }

    bool run_until(const std::function<bool()>& condition) {
        return loopback::run_until(context, condition);
    }

    boost::asio::io_context context;
    loopback::event_log log;
    std::vector<std::pair<http_responder, std::string>> held;
    std::optional<http_server> server;
    std::optional<store_port_adapter> port;
};

struct store_case {
    behaviour server;
    store_status expected;
};

class StoreAnswers : public StorePort, public testing::WithParamInterface<store_case> {};

/// Guards against a call without an answer, and against a failure that looks like success.
TEST_P(StoreAnswers, EachCallIsAnsweredOnceWithItsId) {
    const auto tested = GetParam();
    start(tested.server);
    loopback::event_log memory_log;
    test_support::memory_store_port memory{memory_log.sink(), tested.server};
    store_request request;
    request.id = request_id{1};
    memory.call(request);
    memory.deliver();
    call(1);
    EXPECT_TRUE(log.events.empty()) << "reported from within the call";
    ASSERT_TRUE(run_until([&] { return !log.events.empty(); }));
    loopback::run_briefly(context);
    for (const auto* const each : {&log, &memory_log}) {
        ASSERT_EQ(each->count<store_answer>(), 1U);
        EXPECT_EQ(each->all<store_answer>().front().id, request_id{1});
        EXPECT_EQ(each->all<store_answer>().front().status, tested.expected);
    }
}

INSTANTIATE_TEST_SUITE_P(
    StorePort, StoreAnswers,
    testing::Values(store_case{behaviour::answer, store_status::ok},
                    store_case{behaviour::refuse_connection, store_status::unavailable},
                    store_case{behaviour::close_before_answer, store_status::unavailable},
                    store_case{behaviour::malformed_answer, store_status::unavailable},
                    store_case{behaviour::wrong_id, store_status::unavailable},
                    store_case{behaviour::never_answer, store_status::unavailable}));

/// Guards against a slow call, such as a watch, that delays others or gets their answers.
TEST_F(StorePort, AnswersInAnotherOrderReachTheirCalls) {
    start(behaviour::never_answer);
    call(1);
    call(2);
    ASSERT_TRUE(run_until([&] { return held.size() == 2; }));
    release(1);
    release(0);
    ASSERT_TRUE(run_until([&] { return log.events.size() == 2; }));
    for (const auto& answer : log.all<store_answer>()) {
        EXPECT_EQ(answer.value, "key" + std::to_string(answer.id.value()));
    }
}

/// Guards against an unlimited number of connections during a store outage, and against queued
/// calls that are never completed.
TEST_F(StorePort, CallsBeyondTheLimitsWaitOrFail) {
    start(behaviour::answer, 1, 2);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        call(id); // One is on the connection, two wait, one fails.
    }
    ASSERT_TRUE(run_until([&] { return log.events.size() == 4; }));
    EXPECT_EQ(server->connections(), 1U);
    EXPECT_EQ(port->calls(), 3U);
    EXPECT_EQ(port->failures(), 1U);
}

/// Guards against a pool that stays broken after the store has restarted its connections.
TEST_F(StorePort, AnIdleConnectionThatClosesIsReplaced) {
    start(behaviour::answer);
    call(1);
    ASSERT_TRUE(run_until([&] { return log.events.size() == 1; }));
    auto where = server->local_endpoint();
    server.reset();
    loopback::run_briefly(context);
    http_server_settings settings;
    settings.listen = where;
    server.emplace(context, settings, [this](const auto& request, const auto& responder) {
        serve(behaviour::answer, request, responder);
    });
    call(2);
    ASSERT_TRUE(run_until([&] { return log.events.size() == 2; }));
    EXPECT_EQ(log.all<store_answer>().back().status, store_status::ok);
}

} // namespace
} // namespace jackdawvane
