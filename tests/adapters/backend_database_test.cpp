#include "standins/jackdawvane-backend/database.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

const endpoint first_server{"127.0.0.1", 1};
const endpoint second_server{"127.0.0.1", 2};

enum class step_kind { accept, promote, follow };

/// @brief Term request of a candidate and whether the server accepts it.
struct term_step {
    step_kind kind;
    std::uint64_t term;
    const char* candidate;
    bool accepted;
};

backend_answer apply(database& server, step_kind kind, std::uint64_t number,
                     const char* candidate) {
    backend_request request;
    backend_answer answer;
    request.expected_term = term{number};
    request.candidate = vm_id{candidate};
    request.primary = second_server;
    switch (kind) {
    case step_kind::accept:
        server.accept_term(request, answer);
        break;
    case step_kind::promote:
        server.promote(request, answer);
        break;
    case step_kind::follow:
        server.follow(request, answer);
        break;
    }
    return answer;
}

backend_answer write(database& server, std::uint64_t number, const char* name,
                     const char* fingerprint = "f") {
    backend_request request;
    backend_answer answer;
    request.mode = access_mode::write;
    request.expected_term = term{number};
    request.name = request_name{name};
    request.fingerprint = fingerprint;
    request.statements = parse_json(R"([{"op":"add","key":"n","value":1}])").value();
    server.execute(request, answer);
    return answer;
}

Json::Value read(database& server, const char* key) {
    backend_request request;
    backend_answer answer;
    request.statements = parse_json(R"([{"op":"get"}])").value();
    request.statements[0]["key"] = key;
    server.execute(request, answer);
    return answer.results[0]["value"];
}

void make_primary(database& server, std::uint64_t number) {
    apply(server, step_kind::accept, number, "vm");
    apply(server, step_kind::promote, number, "vm");
}

bool pull(database& replica, database& primary) {
    const log_request request{replica.accepted_term(), replica.log().last(),
                              replica.log().last_term(), duration{0}, duration{0}};
    return replica.replicate(request, primary.serve_log(request, steady_clock::now()));
}

struct term_case {
    const char* name;
    std::vector<term_step> steps;
    backend_role role;
};

class TermRules : public testing::TestWithParam<term_case> {};

/// Guards against two primaries of one term and against a term that moves backwards.
TEST_P(TermRules, TakeEachTermOnce) {
    database server{first_server};
    for (const auto& step : GetParam().steps) {
        const auto answer = apply(server, step.kind, step.term, step.candidate);
        EXPECT_EQ(answer.problem.kind, step.accepted ? error_kind::none : error_kind::conflict)
            << "term " << step.term << " of " << step.candidate;
    }
    EXPECT_EQ(server.role(), GetParam().role);
}

using enum step_kind;
INSTANTIATE_TEST_SUITE_P(
    Backend, TermRules,
    testing::Values(
        term_case{"second_candidate",
                  {{accept, 1, "a", true}, {accept, 1, "b", false}, {promote, 1, "b", false}},
                  backend_role::replica},
        term_case{"lower_term",
                  {{accept, 3, "a", true}, {accept, 2, "b", false}, {follow, 2, "b", false}},
                  backend_role::replica},
        term_case{
            "promotion", {{accept, 1, "a", true}, {promote, 1, "a", true}}, backend_role::primary},
        term_case{"promotion_after_higher_term",
                  {{accept, 1, "a", true}, {accept, 2, "b", true}, {promote, 1, "a", false}},
                  backend_role::replica},
        term_case{
            "promotion_without_acceptance", {{promote, 1, "a", false}}, backend_role::replica},
        term_case{"promotion_of_a_followed_term",
                  {{follow, 2, "a", true}, {accept, 2, "a", false}, {promote, 2, "a", false}},
                  backend_role::replica},
        term_case{"deposed",
                  {{accept, 1, "a", true}, {promote, 1, "a", true}, {accept, 2, "b", true}},
                  backend_role::replica},
        term_case{"primary_told_to_follow_its_own_term",
                  {{accept, 1, "a", true}, {promote, 1, "a", true}, {follow, 1, "a", false}},
                  backend_role::primary}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a server that executes a write although its accepted term is not the expected
/// one.
TEST(BackendDatabase, WritesOfAnotherTermAreFenced) {
    database server{first_server};
    EXPECT_EQ(write(server, 0, "a").problem.kind, error_kind::fenced);
    make_primary(server, 2);
    EXPECT_EQ(write(server, 1, "b").problem.kind, error_kind::fenced);
    EXPECT_EQ(write(server, 3, "c").problem.kind, error_kind::fenced);
    EXPECT_EQ(write(server, 2, "d").problem.kind, error_kind::none);
    apply(server, accept, 3, "other");
    EXPECT_EQ(write(server, 2, "e").problem.kind, error_kind::fenced);
    EXPECT_EQ(read(server, "n").asInt(), 1);
}

/// Guards against a repeated request name that is executed again, and against one that returns the
/// answer of a different request.
TEST(BackendDatabase, RepeatedNameReturnsTheFirstAnswer) {
    database server{first_server};
    make_primary(server, 1);
    const auto first = write(server, 1, "order");
    const auto repeat = write(server, 1, "order");
    EXPECT_TRUE(repeat.repeated);
    EXPECT_EQ(repeat.written, first.written);
    EXPECT_EQ(repeat.results, first.results);
    EXPECT_EQ(write(server, 1, "order", "other").problem.kind, error_kind::name_reused);
    EXPECT_EQ(read(server, "n").asInt(), 1);
}

/// Guards against a former primary that rejoins and keeps log entries that were never replicated.
TEST(BackendDatabase, DeposedPrimaryDropsItsTail) {
    database old_primary{first_server};
    database new_primary{{"127.0.0.1", 3}};
    make_primary(old_primary, 1);
    apply(new_primary, follow, 1, "");
    write(old_primary, 1, "kept");
    while (pull(new_primary, old_primary)) {
    }
    write(old_primary, 1, "lost");

    make_primary(new_primary, 2);
    write(new_primary, 2, "later");
    apply(old_primary, follow, 2, "");
    while (pull(old_primary, new_primary)) {
    }

    EXPECT_EQ(old_primary.log().last(), new_primary.log().last());
    EXPECT_EQ(old_primary.log().history(), new_primary.log().history());
    EXPECT_EQ(read(old_primary, "n").asInt(), 2);
    make_primary(old_primary, 3);
    EXPECT_TRUE(write(old_primary, 3, "kept").repeated);
    EXPECT_FALSE(write(old_primary, 3, "lost").repeated);
}

/// Guards against entries that reach a replica before its replication lag has passed.
TEST(BackendDatabase, LagWithholdsYoungEntries) {
    database primary{first_server};
    make_primary(primary, 1);
    log_request request{term{1}, log_position{0}, term{0}, std::chrono::seconds{1}, duration{0}};
    const auto now = steady_clock::now();
    EXPECT_TRUE(primary.serve_log(request, now).entries.empty());
    EXPECT_EQ(primary.serve_log(request, now + std::chrono::seconds{1}).entries.size(), 1U);
}

/// Guards against a restarted server that accepts a term twice or forgets a named request.
TEST(BackendDatabase, JournalRestoresTermsAndLog) {
    std::vector<Json::Value> journal;
    database before{first_server};
    before.set_journal([&](const Json::Value& change) { journal.push_back(change); });
    make_primary(before, 4);
    write(before, 4, "order");

    database after{first_server};
    for (const auto& change : journal) {
        after.replay(change);
    }

    EXPECT_EQ(apply(after, accept, 4, "other").problem.kind, error_kind::conflict);
    EXPECT_EQ(apply(after, promote, 4, "vm").problem.kind, error_kind::conflict);
    make_primary(after, 5);
    EXPECT_TRUE(write(after, 5, "order").repeated);
}

/// Guards against a transaction that commits although a key that it read has changed since.
TEST(BackendDatabase, TransactionOnChangedKeyIsRolledBack) {
    database server{first_server};
    make_primary(server, 1);
    open_transaction transaction;
    transaction.begin.mode = access_mode::write;
    transaction.begin.expected_term = term{1};
    backend_request statements;
    statements.statements = parse_json(R"([{"op":"add","key":"n","value":5}])").value();
    backend_answer answer;
    server.run(statements, transaction, answer);
    EXPECT_EQ(answer.results[0]["value"].asInt(), 5);
    write(server, 1, "between");
    server.commit({}, transaction, answer);
    EXPECT_EQ(answer.problem.kind, error_kind::statement_failed);
    EXPECT_EQ(read(server, "n").asInt(), 1);
}

} // namespace
} // namespace jackdawvane::standin
