#include "jackdawvane/routing/request_executor.hpp"
#include "jackdawvane/routing/session_token.hpp"

#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr time_point start{std::chrono::seconds{10}};

/// Fake node with two owners and one key; records the forwarded requests.
class fake_services : public request_services {
  public:
    fake_services() {
        route_row orders;
        orders.pool = pool_name{"db"};
        document.routes[route_name{"orders"}] = orders;
        auto catalogue = orders;
        catalogue.writes = false;
        catalogue.open = true;
        document.routes[route_name{"catalogue"}] = catalogue;
        auto private_route = orders;
        private_route.organisations = {organisation_id{"other"}};
        document.routes[route_name{"private"}] = private_route;
        auto cautious = orders;
        cautious.keys_when_isolated = isolation_mode::refuse;
        document.routes[route_name{"cautious"}] = cautious;
        document.pools[pool_name{"db"}].groups[group_id{"g"}];
    }

    [[nodiscard]] const configuration_document* configuration() const override {
        return configured ? &document : nullptr;
    }
    [[nodiscard]] result<organisation_id> authenticate(const std::string& key) const override {
        if (key != "secret") {
            return error{error_kind::unknown_key, {}, {}};
        }
        return organisation_id{"bar"};
    }
    [[nodiscard]] bool isolated(time_point /*now*/) const override { return cut_off; }
    admission admit(time_point /*now*/, caller_id /*caller*/,
                    const organisation_id& /*organisation*/, time_point /*deadline*/,
                    actions& /*out*/) override {
        return verdict;
    }
    std::vector<backend_server_id> plan(time_point /*now*/, const routing_query& query) override {
        return query.mode == access_mode::write ? write_plan : read_plan;
    }
    void avoid(time_point /*now*/, const backend_server_id& /*backend*/,
               routing_failure /*failure*/) override {}
    [[nodiscard]] group_id choose_group(const pool_row& /*pool*/,
                                        const std::string& /*partition*/) const override {
        return group_id{"g"};
    }
    std::optional<vm_id> forward(time_point /*now*/, const forward_request& request,
                                 const vm_id* owner, actions& /*out*/) override {
        forwarded.push_back(request);
        return owner != nullptr ? *owner : vm_id{"vm-" + request.backend.str()};
    }
    void learn(const group_summary& summary) override {
        if (!summary.primary.empty() && learns) {
            write_plan = {summary.primary};
        }
    }

    configuration_document document;
    bool configured{true};
    bool cut_off{false};
    bool learns{true}; ///< Whether summaries change the plan.
    admission verdict{{}, admission_state::admitted, {error_kind::none, {}, {}}};
    std::vector<backend_server_id> write_plan{backend_server_id{"a"}};
    std::vector<backend_server_id> read_plan{backend_server_id{"b"}, backend_server_id{"a"}};
    std::vector<forward_request> forwarded;
};

class RequestExecutor : public testing::Test {
  protected:
    static caller_request order(const char* route = "orders") {
        caller_request request;
        request.caller = caller_id{1};
        request.route = route_name{route};
        request.key = "secret";
        request.name = request_name{"n1"};
        request.partition = "p";
        request.mode = access_mode::write;
        return request;
    }
    static caller_request lookup() {
        auto request = order();
        request.mode = access_mode::read;
        request.name = request_name{};
        return request;
    }

    void reply(time_point now, outcome result, error_kind kind = error_kind::none,
               const char* primary = "") {
        forward_reply answer;
        answer.id = services_.forwarded.back().id;
        answer.result = result;
        answer.problem.kind = kind;
        answer.summary.group = group_id{"g"};
        answer.summary.primary = backend_server_id{primary};
        answer.seen = session_position{group_id{"g"}, term{2}, log_position{9}};
        executor_.on_reply(now, answer, out_);
    }

    /// The only answer so far; fails the test if there is none or more than one.
    caller_answer only_answer() {
        std::vector<caller_answer> answers;
        for (const auto& entry : out_) {
            if (const auto* answer = std::get_if<caller_answer>(&entry)) {
                answers.push_back(*answer);
            }
        }
        EXPECT_EQ(answers.size(), 1U);
        return answers.empty() ? caller_answer{} : answers.front();
    }

    void run_until(time_point end) {
        while (executor_.next_deadline() <= end) {
            executor_.tick(executor_.next_deadline(), out_);
        }
    }

    fake_services services_;
    id_sequence<request_id> ids_;
    request_executor executor_{services_, ids_};
    actions out_;
};

struct refusal_case {
    const char* name;
    void (*change)(fake_services&, caller_request&);
    error_kind expected;
};

class Refusal : public RequestExecutor, public testing::WithParamInterface<refusal_case> {};

/// Guards against running a request that must be refused, and against reporting "not run" after the
/// request was forwarded.
TEST_P(Refusal, IsNotRunAndNotForwarded) {
    auto request = order();
    GetParam().change(services_, request);
    executor_.on_caller(start, request, out_);
    const auto answer = only_answer();
    EXPECT_EQ(answer.result, outcome::not_run);
    EXPECT_EQ(to_string(answer.problem.kind), to_string(GetParam().expected));
    EXPECT_TRUE(services_.forwarded.empty());
    EXPECT_EQ(executor_.pending(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Filters, Refusal,
    testing::Values(
        refusal_case{"no_configuration",
                     [](fake_services& s, caller_request&) { s.configured = false; },
                     error_kind::no_configuration},
        refusal_case{"unknown_route",
                     [](fake_services&, caller_request& r) { r.route = route_name{"x"}; },
                     error_kind::unknown_route},
        refusal_case{"missing_key", [](fake_services&, caller_request& r) { r.key.clear(); },
                     error_kind::missing_key},
        refusal_case{"withdrawn_key", [](fake_services&, caller_request& r) { r.key = "old"; },
                     error_kind::unknown_key},
        refusal_case{"other_organisation",
                     [](fake_services&, caller_request& r) { r.route = route_name{"private"}; },
                     error_kind::organisation_not_allowed},
        refusal_case{"isolated",
                     [](fake_services& s, caller_request& r) {
                         r.route = route_name{"cautious"};
                         s.cut_off = true;
                     },
                     error_kind::isolated},
        refusal_case{"isolated_follow_up_of_a_transaction",
                     [](fake_services& s, caller_request& r) {
                         r.kind = request_kind::commit;
                         r.transaction = encode_transaction(
                             {vm_id{"vm-a"}, vm_incarnation{1}, 1, access_mode::write,
                              group_id{"g"}, backend_server_id{"a"}, route_name{"cautious"}});
                         s.cut_off = true;
                     },
                     error_kind::isolated},
        refusal_case{"write_on_read_route",
                     [](fake_services&, caller_request& r) { r.route = route_name{"catalogue"}; },
                     error_kind::malformed_request},
        refusal_case{"no_name", [](fake_services&, caller_request& r) { r.name = request_name{}; },
                     error_kind::name_required},
        refusal_case{"bad_token", [](fake_services&, caller_request& r) { r.session = "zzz"; },
                     error_kind::malformed_token},
        refusal_case{"no_time_left",
                     [](fake_services&, caller_request& r) { r.timeout = duration{0}; },
                     error_kind::deadline_exceeded},
        refusal_case{"over_rate",
                     [](fake_services& s, caller_request&) {
                         s.verdict = {{},
                                      admission_state::refused,
                                      {error_kind::rate_exceeded, {}, from_milliseconds(5)}};
                     },
                     error_kind::rate_exceeded},
        refusal_case{"bad_transaction",
                     [](fake_services&, caller_request& r) { r.kind = request_kind::commit; },
                     error_kind::unknown_transaction}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against forwarding a caller's key to other VMs.
TEST_F(RequestExecutor, ForwardsNoKey) {
    executor_.on_caller(start, order(), out_);
    ASSERT_EQ(services_.forwarded.size(), 1U);
    EXPECT_EQ(write_json(to_json(services_.forwarded[0])).find("secret"), std::string::npos);
    EXPECT_EQ(services_.forwarded[0].organisation, organisation_id{"bar"});
}

/// Guards against retrying a write that may have run.
TEST_F(RequestExecutor, WriteWithUnknownOutcomeIsNotSentAgain) {
    executor_.on_caller(start, order(), out_);
    reply(start, outcome::unknown, error_kind::connection_lost);
    EXPECT_EQ(only_answer().result, outcome::unknown);
    run_until(start + std::chrono::seconds{5});
    EXPECT_EQ(services_.forwarded.size(), 1U);
}

/// Guards against reporting a write as not run, or retrying it, after its owner VM was lost.
TEST_F(RequestExecutor, WriteAtALostVmIsUnknownAtOnce) {
    executor_.on_caller(start, order(), out_);
    executor_.on_vm_lost(start, vm_id{"vm-a"}, out_);
    EXPECT_EQ(only_answer().result, outcome::unknown);
    EXPECT_EQ(services_.forwarded.size(), 1U);
}

/// Guards against failing a write during a failover although it did not run and can be retried.
TEST_F(RequestExecutor, WriteFollowsTheNewPrimary) {
    executor_.on_caller(start, order(), out_);
    reply(start, outcome::not_run, error_kind::no_primary, "c");
    ASSERT_EQ(services_.forwarded.size(), 2U);
    EXPECT_EQ(services_.forwarded[1].backend, backend_server_id{"c"});
    EXPECT_NE(services_.forwarded[0].id, services_.forwarded[1].id);
    reply(start, outcome::done);
    const auto answer = only_answer();
    EXPECT_EQ(answer.result, outcome::done);
    EXPECT_EQ(decode_token(answer.session).value().at(0).position, log_position{9});
}

/// Guards against forwarding a read without the position of its session.
TEST_F(RequestExecutor, SessionTravelsWithTheRead) {
    auto request = lookup();
    const session_position seen{group_id{"g"}, term{2}, log_position{7}};
    request.session = encode_token({seen, {group_id{"other"}, term{1}, log_position{3}}});
    executor_.on_caller(start, request, out_);
    ASSERT_EQ(services_.forwarded.size(), 1U);
    EXPECT_EQ(services_.forwarded[0].session, std::vector{seen});
}

/// Guards against an endless loop when owners report different primaries without time passing.
TEST_F(RequestExecutor, ContradictingOwnersDoNotKeepAWriteGoingRound) {
    services_.learns = false;
    executor_.on_caller(start, order(), out_);
    for (int i = 0; i < 50; ++i) {
        reply(start, outcome::not_run, error_kind::no_primary, "c");
    }
    EXPECT_LE(services_.forwarded.size(), 4U);
    EXPECT_GT(executor_.next_deadline(), start);
}

/// Guards against a read that fails because one replica is behind.
TEST_F(RequestExecutor, ReadGoesOnToTheNextBackendServer) {
    executor_.on_caller(start, lookup(), out_);
    reply(start, outcome::not_run, error_kind::replica_behind);
    ASSERT_EQ(services_.forwarded.size(), 2U);
    EXPECT_EQ(services_.forwarded[1].backend, backend_server_id{"a"});
}

/// Guards against a read that fails because one replica does not answer.
TEST_F(RequestExecutor, ReadGoesOnAfterSilence) {
    executor_.on_caller(start, lookup(), out_);
    run_until(start + std::chrono::seconds{1});
    EXPECT_EQ(services_.forwarded.size(), 2U);
}

/// Guards against passing a late answer of an earlier attempt to the caller.
TEST_F(RequestExecutor, LateAnswerOfAnEarlierAttemptIsDropped) {
    executor_.on_caller(start, lookup(), out_);
    forward_reply late;
    late.id = services_.forwarded[0].id;
    late.result = outcome::done;
    run_until(start + std::chrono::seconds{1});
    executor_.on_reply(start + std::chrono::seconds{1}, late, out_);
    EXPECT_EQ(executor_.pending(), 1U);
    reply(start + std::chrono::seconds{1}, outcome::done);
    EXPECT_EQ(only_answer().result, outcome::done);
}

/// Guards against a request that is never answered because there is no primary.
TEST_F(RequestExecutor, GivesUpTheSearchForAPrimary) {
    executor_.on_caller(start, order(), out_);
    for (int i = 0; i < 1000 && executor_.pending() > 0; ++i) {
        const auto now = std::min(executor_.next_deadline(), start + std::chrono::seconds{9});
        const auto sent = services_.forwarded.size();
        reply(now, outcome::not_run, error_kind::no_primary);
        executor_.tick(now, out_);
        if (services_.forwarded.size() == sent && executor_.pending() > 0) {
            executor_.tick(executor_.next_deadline(), out_);
        }
    }
    const auto answer = only_answer();
    EXPECT_EQ(answer.result, outcome::not_run);
    EXPECT_TRUE(answer.problem.retry_after.has_value());
}

/// Guards against reporting a write as not run when no answer came before its deadline.
TEST_F(RequestExecutor, SilentWriteIsUnknownAtItsDeadline) {
    executor_.on_caller(start, order(), out_);
    run_until(start + std::chrono::seconds{5});
    EXPECT_EQ(only_answer().result, outcome::unknown);
    EXPECT_EQ(services_.forwarded.size(), 1U);
}

/// Guards against a shutdown that aborts requests in flight or accepts new ones.
TEST_F(RequestExecutor, LeavingFinishesWhatItHas) {
    executor_.on_caller(start, order(), out_);
    executor_.leave();
    auto late = order();
    late.caller = caller_id{2};
    executor_.on_caller(start, late, out_);
    EXPECT_EQ(only_answer().problem.kind, error_kind::leaving);
    out_.clear();
    reply(start, outcome::done);
    EXPECT_EQ(only_answer().result, outcome::done);
}

} // namespace
} // namespace jackdawvane
