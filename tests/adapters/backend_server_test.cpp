#include "standin_test.hpp"
#include "standins/jackdawvane-backend/backend_server.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

backend_settings settings_of(const char* id) {
    backend_settings settings;
    settings.id = backend_server_id{id};
    settings.listen = any_port();
    settings.connect_ms = 0;
    return settings;
}

Json::Value request_of(const std::string& text) {
    return json_of(text);
}

const char* const put = R"({"id":1,"operation":"execute","mode":"write","name":"order",
    "statements":[{"op":"put","key":"k","value":7}]})";
const char* const get = R"({"id":2,"operation":"execute",
    "statements":[{"op":"get","key":"k"}]})";
const char* const begin = R"({"id":3,"operation":"begin","mode":"write"})";

class BackendServer : public testing::Test {
  protected:
    BackendServer() { make_primary(server_, 1); }

    static Json::Value term_request(const char* operation, std::uint64_t number) {
        Json::Value json;
        json["operation"] = operation;
        json["expected_term"] = Json::UInt64{number};
        json["candidate"] = "vm";
        return json;
    }
    http_client client_of(const backend_server& server) { return {io_, server.local(), {}}; }
    void make_primary(backend_server& server, std::uint64_t number) {
        auto client = connected(server);
        post(io_, client, "/backend", term_request("accept_term", number));
        post(io_, client, "/backend", term_request("promote", number));
    }
    http_client connected(const backend_server& server) {
        auto client = client_of(server);
        post(io_, client, "/connect", Json::objectValue);
        return client;
    }
    void fault(const backend_server& server, const char* text) {
        auto client = client_of(server);
        post(io_, client, "/fault", json_of(text));
    }
    Json::Value inspect(const backend_server& server) {
        auto client = client_of(server);
        return run(io_, client.get("/inspect", answer_timeout));
    }

    asio::io_context io_{1};
    backend_server server_{io_, settings_of("a")};
};

/// Guards against a limit that is not enforced, which would hide an owner that opens too many
/// connections.
TEST_F(BackendServer, ConnectionsPastTheLimitAreRefused) {
    auto settings = settings_of("b");
    settings.connection_limit = 2;
    backend_server server{io_, settings};
    auto first = connected(server);
    {
        auto second = connected(server);
        auto third = client_of(server);
        const auto refused = post(io_, third, "/connect", Json::objectValue);
        EXPECT_TRUE(refused.isMember("error"));
    }
    while (inspect(server)["status"]["connections"].asUInt() > 1) {
    }
    auto fourth = connected(server);
    EXPECT_EQ(post(io_, fourth, "/backend", request_of(get))["id"].asUInt(), 2U);
    EXPECT_EQ(inspect(server)["highest_connections"].asUInt(), 2U);
}

/// Guards against a transaction that outlives its connection or is interleaved with another one.
TEST_F(BackendServer, TransactionBelongsToItsConnection) {
    auto client = connected(server_);
    post(io_, client, "/backend", request_of(begin));
    const auto mixed = post(io_, client, "/backend", request_of(put));
    EXPECT_EQ(mixed["problem"]["kind"], "statement_failed");
    EXPECT_EQ(inspect(server_)["interleavings"].asUInt(), 1U);
    auto statements = request_of(put);
    statements["operation"] = "statements";
    statements.removeMember("name");
    post(io_, client, "/backend", statements);
    client.close();
    auto other = connected(server_);
    EXPECT_TRUE(post(io_, other, "/backend", request_of(get))["results"][0]["value"].isNull());
}

/// Guards against a status call that waits for its full timeout although the position has changed.
TEST_F(BackendServer, StatusAnswersOnceThePositionIsPassed) {
    auto writer = connected(server_);
    auto watcher = connected(server_);
    Json::Value status = json_of(R"({"operation":"status","after":1,"wait_us":20000000})");
    std::optional<Json::Value> seen;
    asio::co_spawn(io_, watcher.post("/backend", status, answer_timeout),
                   [&](std::exception_ptr, Json::Value answer) { seen = answer; });
    post(io_, writer, "/backend", request_of(put));
    while (!seen) {
        io_.run_one();
    }
    EXPECT_EQ((*seen)["status"]["position"].asUInt(), 2U);
}

/// Guards against a replica that does not receive the primary's entries.
TEST_F(BackendServer, ReplicaFollowsItsPrimary) {
    backend_server replica{io_, settings_of("b")};
    auto client = connected(replica);
    auto follow = term_request("follow", 1);
    follow["primary"] = to_json(server_.local());
    post(io_, client, "/backend", follow);
    auto writer = connected(server_);
    post(io_, writer, "/backend", request_of(put));
    while (replica.data().log().last() < log_position{2}) {
        io_.run_one();
    }
    EXPECT_EQ(post(io_, client, "/backend", request_of(get))["results"][0]["value"].asInt(), 7);
}

/// Guards against a silenced connection that still delivers, and against new connections that do
/// not.
TEST_F(BackendServer, SilenceAffectsOpenConnectionsOnly) {
    auto before = connected(server_);
    fault(server_, R"({"silence":true})");
    EXPECT_TRUE(post(io_, before, "/backend", request_of(get), no_answer_timeout).isNull());
    auto after = connected(server_);
    EXPECT_EQ(post(io_, after, "/backend", request_of(get))["id"].asUInt(), 2U);
}

/// Guards against a frozen server that answers, and against one that loses the pending request.
TEST_F(BackendServer, FrozenServerAnswersAfterwards) {
    auto client = connected(server_);
    fault(server_, R"({"freeze_ms":60000})");
    std::optional<Json::Value> answer;
    asio::co_spawn(io_, client.post("/backend", request_of(put), answer_timeout),
                   [&](std::exception_ptr, Json::Value value) { answer = value; });
    io_.run_for(no_answer_timeout);
    EXPECT_FALSE(answer);
    fault(server_, R"({"freeze_ms":0})");
    while (!answer) {
        io_.run_one();
    }
    EXPECT_EQ((*answer)["written"].asUInt(), 2U);
}

/// Guards against a `crossed` fault without effect; tests that inject it would check nothing.
TEST_F(BackendServer, CrossedAnswerCarriesAnotherId) {
    auto client = connected(server_);
    post(io_, client, "/backend", request_of(put));
    fault(server_, R"({"crossed":1})");
    EXPECT_EQ(post(io_, client, "/backend", request_of(get))["id"].asUInt(), 1U);
    EXPECT_EQ(post(io_, client, "/backend", request_of(get))["id"].asUInt(), 2U);
}

} // namespace
} // namespace jackdawvane::standin
