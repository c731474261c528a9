#include "jackdawvane/sessions/statement_executor.hpp"

#include <algorithm>
#include <set>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

/// A caller that sends one read after the other.
class ReadChoice : public ::testing::Test {
  protected:
    /// How a server answers: after this time, and whether it fails the read.
    struct behaviour {
        std::int64_t ms{10};
        bool fails{false};
    };

    void SetUp() override { fixture.start(0); }

    /// Sends reads until @a until_ms; returns how many attempts each server got.
    std::map<std::string, int> read_until(std::int64_t until_ms,
                                          const std::map<std::string, behaviour>& servers) {
        std::map<std::string, int> attempts;
        while (now < until_ms) {
            fixture.confirm_primary(++now);
            fixture.send_statement(now, make_statement(statement_kind::read, "READ 1"));
            for (int tries = 0; tries < 3 && !answer_one(servers, attempts); ++tries) {
            }
            for (const auto& answer : fixture.answers()) {
                failures += answer.problem == statement_error::none ? 0 : 1;
            }
        }
        return attempts;
    }

    /// @return whether the caller has got its answer
    bool answer_one(const std::map<std::string, behaviour>& servers,
                    std::map<std::string, int>& attempts) {
        fixture.accept(++now);
        for (const auto& [connection, command] : fixture.commands()) {
            const auto server = fixture.connected_servers[connection].str();
            ++attempts[server];
            const auto found = servers.find(server);
            const auto how = found == servers.end() ? behaviour{} : found->second;
            now += how.ms;
            fixture.reply(now, connection,
                          how.fails ? failure(statement_error::failed, transaction_state::idle)
                                    : success(transaction_state::idle, point(1, 10)));
        }
        return std::any_of(
            fixture.out.sessions.begin(), fixture.out.sessions.end(),
            [](const auto& action) { return std::holds_alternative<answer_statement>(action); });
    }

    /// Puts the replica r2 into another region.
    void move_r2_away() {
        fixture.state.regions[failure_domain_id{"d2"}] = region_id{"r-other"};
        auto distant = registration("r2");
        distant.domain = failure_domain_id{"d2"};
        fixture.state.directory.update(at(0), at(0), 2,
                                       {registration("p"), registration("r1"), distant});
    }

    int logged(const char* part, const std::string& text) const {
        return static_cast<int>(std::count_if(
            fixture.out.common.begin(), fixture.out.common.end(), [&](const action& each) {
                const auto* line = std::get_if<log_record>(&each);
                return line != nullptr && std::string{line->part} == part &&
                       line->text.find(text) != std::string::npos;
            }));
    }

    session_fixture fixture;
    std::int64_t now{10};
    int failures{0};
};

/// Guards against a server that fails reads quickly and so looks idle: it must neither keep its
/// reads nor fail callers while others serve them.
TEST_F(ReadChoice, ServerThatFailsIsEjectedAndItsReadsAreRunElsewhere) {
    const auto attempts = read_until(5000, {{"r1", {1, true}}});
    EXPECT_EQ(failures, 0);
    EXPECT_LE(attempts.at("r1"), 8);
    EXPECT_GE(attempts.at("r2"), 100);
    EXPECT_GE(logged("health", "ejected backend=r1"), 1);
    const auto recovered = read_until(40'000, {});
    EXPECT_GE(logged("health", "returned backend=r1"), 1);
    EXPECT_EQ(failures, 0);
    EXPECT_GE(recovered.at("r1"), 1);
}

/// Guards against reads that leave the region although near servers answer, all at once when these
/// are slow, or that do not return.
TEST_F(ReadChoice, ShareThatLeavesTheRegionFollowsTheWaitNearby) {
    move_r2_away();
    const std::map<std::string, behaviour> idle{{"r2", {27, false}}};
    auto attempts = read_until(3000, idle);
    EXPECT_EQ(attempts["r2"], 0);
    const std::map<std::string, behaviour> slow{
        {"p", {200, false}}, {"r1", {200, false}}, {"r2", {27, false}}};
    attempts = read_until(4500, slow);
    EXPECT_LE(attempts["r2"], 3);
    read_until(20'000, slow);
    attempts = read_until(30'000, slow);
    EXPECT_GT(attempts["r2"], attempts["r1"] + attempts["p"]);
    EXPECT_GE(logged("spillover", "share group=g"), 3);
    read_until(50'000, idle);
    attempts = read_until(60'000, idle);
    EXPECT_EQ(attempts["r2"], 0);
    EXPECT_EQ(failures, 0);
}

/// Guards against reads that leave the region all at once because the near servers refuse
/// statements for some milliseconds, and against a refusal by the last server that has room.
TEST_F(ReadChoice, WaitsForTheEndOfARefusalNearbyInsteadOfLeaving) {
    move_r2_away();
    const auto refusal = failure(statement_error::busy, transaction_state::idle);
    fixture.send_statement(10, make_statement(statement_kind::read, "READ 1"));
    std::vector<std::string> order;
    for (now = 11; order.size() < 3 && now < 20; ++now) {
        fixture.accept(now);
        for (const auto& [connection, command] : fixture.commands()) {
            order.push_back(fixture.connected_servers[connection].str());
            const bool near = order.back() != "r2";
            fixture.reply(now, connection,
                          near ? refusal : success(transaction_state::idle, point(1, 10)));
        }
    }
    ASSERT_EQ(order, (std::vector<std::string>{"r1", "p", "r2"}));
    ASSERT_EQ(fixture.answers().size(), 1U);

    fixture.send_statement(20, make_statement(statement_kind::read, "READ 1"));
    fixture.tick(25);
    EXPECT_TRUE(fixture.commands().empty());
    fixture.tick(45);
    fixture.accept(46);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(fixture.connected_servers[sent.front().first], backend_server_id{"r1"});
}

/// Guards against a write that is done twice: one that ran and failed is not sent to another
/// server.
TEST_F(ReadChoice, WriteThatFailedIsNotSentAgain) {
    fixture.send_statement(10, make_statement(statement_kind::write, "WRITE 1 x"));
    fixture.accept(11);
    const auto sent = fixture.commands();
    ASSERT_EQ(sent.size(), 1U);
    fixture.reply(12, sent.front().first,
                  failure(statement_error::failed, transaction_state::idle));
    EXPECT_TRUE(fixture.commands().empty());
    const auto answers = fixture.answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().problem, statement_error::failed);
}

} // namespace
} // namespace jackdawvane
