#include "jackdawvane/adapters/caller_api.hpp"

#include <utility>

#include "loopback.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

class idle_node final : public node_interface {
  public:
    void handle(time_point /*now*/, const event& /*what*/, actions& /*out*/) override {}
    [[nodiscard]] time_point next_deadline() const override { return no_deadline; }
    [[nodiscard]] Json::Value describe() const override { return {}; }
    [[nodiscard]] bool ready() const override { return false; }
};

/// Request of a caller whose header fields come from a table.
struct sample_request {
    std::string target;
    std::string body;
    std::vector<http_header> headers;

    [[nodiscard]] result<caller_request> read() const {
        const http_request_view view{"POST", target, body, this, find};
        return read_caller_request(view);
    }
    static std::string_view find(const void* self, std::string_view name) {
        for (const auto& header : static_cast<const sample_request*>(self)->headers) {
            if (header.name == name) {
                return header.value;
            }
        }
        return {};
    }
};

/// Guards against a part of the request that is not passed on to the node.
TEST(CallerRequest, CarriesEveryPart) {
    const sample_request sample{"/v1/routes/parts",
                                R"({"partition":"p","mode":"write","statements":["a","b"]})",
                                {{"Authorization", "Bearer key"},
                                 {"Jackdawvane-Session", "token"},
                                 {"Idempotency-Key", "name"},
                                 {"Jackdawvane-Deadline-Ms", "1500"},
                                 {"Jackdawvane-Max-Staleness-Ms", "0"}}};
    const auto read = sample.read();
    ASSERT_TRUE(read) << read.error().message();
    const auto& request = read.value();
    EXPECT_EQ(request.kind, request_kind::single);
    EXPECT_EQ(request.route, route_name{"parts"});
    EXPECT_EQ(request.key, "key");
    EXPECT_EQ(request.session, "token");
    EXPECT_EQ(request.name, request_name{"name"});
    EXPECT_EQ(request.partition, "p");
    EXPECT_EQ(request.mode, access_mode::write);
    EXPECT_EQ(request.statements.size(), 2U);
    EXPECT_EQ(request.timeout, from_milliseconds(1500));
    EXPECT_EQ(request.max_staleness, duration{0});
}

struct target_case {
    const char* target;
    request_kind kind;
};

class CallerTarget : public testing::TestWithParam<target_case> {};

/// Guards against a commit that is parsed as another step of the transaction.
TEST_P(CallerTarget, SelectsTheKind) {
    const auto read = sample_request{GetParam().target, R"({"statements":["a"]})", {}}.read();
    ASSERT_TRUE(read) << read.error().message();
    EXPECT_EQ(read.value().kind, GetParam().kind);
    EXPECT_EQ(read.value().transaction.empty(),
              GetParam().kind == request_kind::single || GetParam().kind == request_kind::begin);
}

INSTANTIATE_TEST_SUITE_P(
    CallerRequest, CallerTarget,
    testing::Values(target_case{"/v1/routes/r", request_kind::single},
                    target_case{"/v1/routes/r/transactions", request_kind::begin},
                    target_case{"/v1/transactions/t/statements", request_kind::statements},
                    target_case{"/v1/transactions/t/commit", request_kind::commit},
                    target_case{"/v1/transactions/t/rollback", request_kind::rollback}));

class MalformedRequest : public testing::TestWithParam<sample_request> {};

/// Guards against a request that runs although a part of it could not be parsed.
TEST_P(MalformedRequest, IsRefused) {
    const auto read = GetParam().read();
    ASSERT_FALSE(read);
    EXPECT_EQ(http_status_of({{}, outcome::not_run, read.error(), {}, {}, {}, {}, false, false}),
              400U);
}

const std::string good_body = R"({"statements":["a"]})";

INSTANTIATE_TEST_SUITE_P(
    CallerRequest, MalformedRequest,
    testing::Values(sample_request{"/v1/routes/", good_body, {}},
                    sample_request{"/v1/routes/a/b", good_body, {}},
                    sample_request{"/v1/transactions/t/end", good_body, {}},
                    sample_request{"/v1/routes/r", "", {}}, sample_request{"/v1/routes/r", "{", {}},
                    sample_request{"/v1/routes/r", R"({"statements":[]})", {}},
                    sample_request{"/v1/routes/r", R"({"statements":"a"})", {}},
                    sample_request{"/v1/routes/r", R"({"statement":["a"]})", {}},
                    sample_request{"/v1/routes/r", good_body, {{"Authorization", "Basic x"}}},
                    sample_request{"/v1/routes/r", good_body, {{"Jackdawvane-Deadline-Ms", "1s"}}},
                    sample_request{
                        "/v1/routes/r", good_body, {{"Jackdawvane-Deadline-Ms", "-5"}}}));

struct status_case {
    outcome result;
    error_kind kind;
    unsigned status;
};

class AnswerStatus : public testing::TestWithParam<status_case> {};

/// Guards against a status from which a client infers the wrong outcome.
TEST_P(AnswerStatus, FollowsOutcomeAndKind) {
    caller_answer answer;
    answer.result = GetParam().result;
    answer.problem.kind = GetParam().kind;
    EXPECT_EQ(http_status_of(answer), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    CallerAnswer, AnswerStatus,
    testing::Values(status_case{outcome::done, error_kind::none, 200},
                    status_case{outcome::unknown, error_kind::connection_lost, 504},
                    status_case{outcome::unknown, error_kind::rate_exceeded, 504},
                    status_case{outcome::not_run, error_kind::missing_key, 401},
                    status_case{outcome::not_run, error_kind::organisation_not_allowed, 403},
                    status_case{outcome::not_run, error_kind::unknown_route, 404},
                    status_case{outcome::not_run, error_kind::history_lost, 409},
                    status_case{outcome::not_run, error_kind::rate_exceeded, 429},
                    status_case{outcome::not_run, error_kind::no_primary, 503},
                    status_case{outcome::not_run, error_kind::leaving, 503}));

/// Guards against a refusal that does not say when to retry.
TEST(CallerAnswer, NamesRemedyAndRetryDelay) {
    caller_answer answer;
    answer.problem = {error_kind::rate_exceeded, "100/s", from_milliseconds(250)};
    const auto json = caller_answer_json(answer);
    EXPECT_EQ(json["outcome"].asString(), "not_run");
    EXPECT_EQ(json["error"]["retry_after_ms"].asInt(), 250);
    EXPECT_FALSE(json["error"]["remedy"].asString().empty());
}

class CallerApi : public testing::Test {
  protected:
    CallerApi() {
        http_server_settings settings;
        settings.listen = {"127.0.0.2", 0};
        server.emplace(context, settings, [this](const auto& request, const auto& responder) {
            api.handle(request, responder);
        });
    }
    bool run_until(const std::function<bool()>& condition) {
        return loopback::run_until(context, condition);
    }
    void answer(caller_id to, const char* session) {
        caller_answer value;
        value.caller = to;
        value.result = outcome::done;
        value.session = session;
        api.answer(value);
    }

    boost::asio::io_context context;
    loopback::event_log log;
    idle_node node;
    caller_api api{log.sink(), node, [] { return std::string{}; }};
    std::optional<http_server> server;
};

/// Guards against an answer for another caller, an answer sent twice, and one for no caller.
TEST_F(CallerApi, AnswersAreMatchedByCaller) {
    loopback::caller first{context, server->local_endpoint()};
    loopback::caller second{context, server->local_endpoint()};
    first.post("/v1/routes/r", good_body);
    ASSERT_TRUE(run_until([&] { return log.count<caller_request>() == 1; }));
    second.post("/v1/routes/r", good_body);
    ASSERT_TRUE(run_until([&] { return log.count<caller_request>() == 2; }));
    const auto requests = log.all<caller_request>();
    answer(caller_id{999}, "nobody");
    answer(requests[1].caller, "two");
    answer(requests[0].caller, "one");
    answer(requests[0].caller, "one again");
    ASSERT_TRUE(run_until([&] { return first.answer && second.answer; }));
    EXPECT_NE(first.answer->value().body.find(R"("session":"one"})"), std::string::npos);
    EXPECT_NE(second.answer->value().body.find(R"("session":"two"})"), std::string::npos);
    EXPECT_EQ(api.waiting(), 0U);
}

/// Guards against work for a caller that has disconnected.
TEST_F(CallerApi, ReportsACallerThatHasGone) {
    {
        loopback::caller caller{context, server->local_endpoint()};
        caller.post("/v1/routes/r", good_body);
        ASSERT_TRUE(run_until([&] { return log.count<caller_request>() == 1; }));
    }
    ASSERT_TRUE(run_until([&] { return log.count<caller_disconnected>() == 1; }));
    const auto id = log.all<caller_request>().front().caller;
    EXPECT_EQ(log.all<caller_disconnected>().front().caller, id);
    answer(id, "late");
    EXPECT_EQ(api.waiting(), 0U);
}

} // namespace
} // namespace jackdawvane
