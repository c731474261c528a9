#include "jackdawvane/sessions/statement_executor.hpp"

#include <utility>

#include <string>
#include <tuple>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const auto read_one = [] { return make_statement(statement_kind::read, "READ 1"); };
const auto write_one = [] { return make_statement(statement_kind::write, "WRITE 1 x"); };
const auto begin_one = [] { return make_statement(statement_kind::begin, "BEGIN"); };

/// An entry VM whose statements run on connections of the VM `b`, which the test acts as.
class remote_owner {
  public:
    remote_owner() {
        fixture.state.self = vm("a", "d2");
        fixture.state.live = {fixture.state.self, vm("b")};
        fixture.state.regions[failure_domain_id{"d2"}] = region_id{"r"};
        fixture.state.fleet_version = 1;
        fixture.start(0);
    }

    /// Removes and returns the statements that were forwarded since the last call.
    std::vector<forwarded_statement> forwarded() {
        std::vector<forwarded_statement> found;
        for (auto& each : std::exchange(fixture.out.common, {})) {
            auto* const sent = std::get_if<send_to_peer>(&each);
            if (sent != nullptr && std::holds_alternative<forwarded_statement>(sent->message)) {
                found.push_back(std::get<forwarded_statement>(std::move(sent->message)));
            }
        }
        return found;
    }
    /// Sends @a next while the primary is confirmed.
    /// @return the statement that is forwarded for it
    forwarded_statement send(std::int64_t milliseconds, statement next) {
        fixture.confirm_primary(milliseconds);
        fixture.send_statement(milliseconds, std::move(next));
        const auto sent = forwarded();
        EXPECT_EQ(sent.size(), 1U);
        return sent.empty() ? forwarded_statement{} : sent.front();
    }
    void answer(std::int64_t milliseconds, const forwarded_statement& statement,
                statement_reply reply) {
        attempt_result result;
        result.attempt = statement.attempt;
        result.lease = statement.lease;
        result.backend = statement.backend;
        result.reply = std::move(reply);
        result.answered = result.sent = true;
        fixture.forwarder.on_result(at(milliseconds), vm_id{"b"}, result);
        fixture.tick(milliseconds);
    }

    session_fixture fixture;
};

/// Ends the read of the attempt @a first, which is left without a result.
using ending = void (*)(remote_owner& owner, const forwarded_statement& first);

const ending other_attempt_succeeds = [](remote_owner& owner, const forwarded_statement&) {
    owner.fixture.confirm_primary(340);
    owner.fixture.tick(345);
    const auto second = owner.forwarded();
    ASSERT_EQ(second.size(), 1U);
    owner.answer(350, second.front(), success(transaction_state::idle, point(1, 10)));
};
const ending time_is_up = [](remote_owner& owner, const forwarded_statement&) {
    owner.fixture.tick(1011);
};
const ending owner_is_lost = [](remote_owner& owner, const forwarded_statement&) {
    owner.fixture.forwarder.on_vm_lost(vm_id{"b"});
    owner.fixture.tick(100);
    const auto again = owner.forwarded();
    ASSERT_EQ(again.size(), 1U);
    owner.answer(110, again.front(), success(transaction_state::idle, point(1, 10)));
};
const ending session_is_opened_again = [](remote_owner& owner, const forwarded_statement&) {
    auto& fixture = owner.fixture;
    fixture.executor.on(at(100), session_closed{fixture.session}, fixture.out);
    fixture.session = session_id{8};
    fixture.start(101);
};

struct next_statement {
    const char* name;
    std::vector<statement> (*make)();
    transaction_state state; ///< After the last one of them.
};

const next_statement next_statements[]{
    {"read", [] { return std::vector{read_one()}; }, transaction_state::idle},
    {"write", [] { return std::vector{write_one()}; }, transaction_state::idle},
    {"transaction",
     [] {
         return std::vector{begin_one(), write_one()};
     },
     transaction_state::open}};

struct late_result_case {
    const char* name;
    ending end;
    bool answered; ///< Whether the read gets an answer.
};

class LateResult : public ::testing::TestWithParam<std::tuple<late_result_case, next_statement>> {};

/// Guards against a result that is taken for that of the session's next statement (MIXED),
/// whichever way the statement that it belongs to has ended.
TEST_P(LateResult, DoesNotAnswerTheNextStatement) {
    const auto& [ended, next] = GetParam();
    remote_owner owner;
    auto& fixture = owner.fixture;
    const auto first = owner.send(10, read_one());
    ended.end(owner, first);
    EXPECT_EQ(fixture.answers().size(), ended.answered ? 1U : 0U);
    owner.forwarded();

    auto statements = next.make();
    auto last = std::move(statements.back());
    statements.pop_back();
    for (auto& each : statements) {
        fixture.confirm_primary(1100);
        fixture.send_statement(1100, std::move(each));
    }
    const auto sent = owner.send(1101, std::move(last));
    fixture.answers();
    auto late = success(transaction_state::idle, point(1, 10));
    late.rows = {"late"};
    owner.answer(1102, first, late);
    EXPECT_TRUE(fixture.answers().empty());
    const auto own = success(next.state, point(1, 11));
    fixture.confirm_primary(1103, point(1, 11));
    owner.answer(1104, sent, own);
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().signature, own.signature);
    EXPECT_TRUE(answers.front().rows.empty());
}

INSTANTIATE_TEST_SUITE_P(
    StatementExecutor, LateResult,
    ::testing::Combine(::testing::Values(late_result_case{"other_attempt_succeeds",
                                                          other_attempt_succeeds, true},
                                         late_result_case{"time_is_up", time_is_up, true},
                                         late_result_case{"owner_is_lost", owner_is_lost, true},
                                         late_result_case{"session_is_opened_again",
                                                          session_is_opened_again, false}),
                       ::testing::ValuesIn(next_statements)),
    [](const auto& tested) {
        return std::string{std::get<0>(tested.param).name} + "_before_a_" +
               std::get<1>(tested.param).name;
    });

} // namespace
} // namespace jackdawvane
