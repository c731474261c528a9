#include "jackdawvane/sessions/reply_matcher.hpp"

#include <utility>

#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

constexpr auto idle = transaction_state::idle;
constexpr auto open = transaction_state::open;
constexpr auto failed = transaction_state::failed;

statement_reply signed_by(const char* signature, transaction_state state = idle,
                          std::uint64_t position = 10) {
    auto reply = done(state, point(1, position));
    reply.signature = signature;
    return reply;
}

statement_reply with_rows(statement_reply reply, std::vector<std::string> rows) {
    reply.rows = std::move(rows);
    return reply;
}

statement_reply error_at(statement_error problem, transaction_state state,
                         std::uint64_t position = 10) {
    auto reply = failure(problem, state);
    reply.detail = "p";
    reply.position = point(1, position);
    return reply;
}

struct exchange_step {
    std::optional<reply_form> pending;
    statement_reply reply;
    reply_verdict verdict;
};

struct matching_case {
    const char* name;
    std::vector<exchange_step> steps;
};

class ReplyMatcher : public ::testing::TestWithParam<matching_case> {};

/// Guards against an answer that is taken for that of another command (issue 31).
TEST_P(ReplyMatcher, TellsOwnAnswersFromOthers) {
    reply_matcher matcher;
    int step = 0;
    for (const auto& each : GetParam().steps) {
        EXPECT_STREQ(to_string(matcher.match(each.pending, each.reply)), to_string(each.verdict))
            << "step " << step;
        ++step;
    }
}

const exchange_step read_done{reply_form::statement, with_rows(signed_by("a"), {"x"}),
                              reply_verdict::own};
const exchange_step write_done{reply_form::write, signed_by("w"), reply_verdict::own};
const exchange_step begin_done{reply_form::begin, done(open, point(1, 10)), reply_verdict::own};
const exchange_step write_in_transaction{reply_form::write, signed_by("t", open),
                                         reply_verdict::own};
const exchange_step commit_done{reply_form::statement, signed_by("c", idle, 11),
                                reply_verdict::own};
const exchange_step set_done{reply_form::session_value, done(idle, point(1, 10)),
                             reply_verdict::own};

exchange_step again(const exchange_step& step, std::optional<reply_form> pending,
                    reply_verdict verdict) {
    return {pending, step.reply, verdict};
}

INSTANTIATE_TEST_SUITE_P(
    Doubled, ReplyMatcher,
    ::testing::Values(
        matching_case{"read_while_idle",
                      {read_done, again(read_done, std::nullopt, reply_verdict::extra)}},
        matching_case{"read_before_read",
                      {read_done, again(read_done, reply_form::statement, reply_verdict::extra)}},
        matching_case{"read_before_write",
                      {read_done, again(read_done, reply_form::write, reply_verdict::extra)}},
        matching_case{"read_before_begin",
                      {read_done, again(read_done, reply_form::begin, reply_verdict::extra)}},
        matching_case{
            "write_before_set",
            {write_done, again(write_done, reply_form::session_value, reply_verdict::extra)}},
        matching_case{
            "write_before_rollback",
            {begin_done, write_in_transaction,
             again(write_in_transaction, reply_form::return_to_idle, reply_verdict::extra)}},
        matching_case{"commit_before_begin",
                      {begin_done, write_in_transaction, commit_done,
                       again(commit_done, reply_form::begin, reply_verdict::extra)}},
        matching_case{"begin_before_its_statement",
                      {begin_done, again(begin_done, reply_form::write, reply_verdict::extra),
                       write_in_transaction}},
        matching_case{"begin_before_set",
                      {begin_done, write_in_transaction, commit_done,
                       again(begin_done, reply_form::session_value, reply_verdict::extra)}},
        matching_case{"begin_before_the_next_begin",
                      {begin_done, write_in_transaction, commit_done,
                       again(begin_done, reply_form::begin, reply_verdict::unproved)}},
        matching_case{"set_before_begin",
                      {set_done, again(set_done, reply_form::begin, reply_verdict::extra)}},
        matching_case{"set_before_commit",
                      {set_done, begin_done, write_in_transaction,
                       again(set_done, reply_form::statement, reply_verdict::extra)}},
        matching_case{
            "error_while_idle",
            {{reply_form::write, error_at(statement_error::busy, idle), reply_verdict::own},
             {std::nullopt, error_at(statement_error::busy, idle), reply_verdict::extra}}},
        matching_case{
            "error_before_write",
            {{reply_form::write, error_at(statement_error::busy, idle), reply_verdict::own},
             {reply_form::write, error_at(statement_error::busy, idle), reply_verdict::unproved}}},
        matching_case{
            "error_of_a_transaction_after_its_rollback",
            {begin_done,
             {reply_form::write, error_at(statement_error::failed, failed), reply_verdict::own},
             {reply_form::return_to_idle, done(idle, point(1, 10)), reply_verdict::own},
             {reply_form::write, error_at(statement_error::failed, failed),
              reply_verdict::unproved}}}),
    [](const auto& tested) { return std::string{tested.param.name}; });

INSTANTIATE_TEST_SUITE_P(
    Unproved, ReplyMatcher,
    ::testing::Values(
        matching_case{"error_after_a_set_that_may_not_be_answered",
                      {set_done,
                       set_done,
                       {reply_form::write, error_at(statement_error::read_only, idle),
                        reply_verdict::unproved}}},
        matching_case{
            "error_after_sets_that_are_answered",
            {set_done,
             set_done,
             write_done,
             {reply_form::write, error_at(statement_error::read_only, idle), reply_verdict::own}}},
        matching_case{
            "rows_before_a_write",
            {{reply_form::write, with_rows(signed_by("w"), {"x"}), reply_verdict::unproved}}},
        matching_case{
            "rows_before_a_commit",
            {begin_done,
             {reply_form::statement, with_rows(signed_by("c"), {"x"}), reply_verdict::unproved}}},
        matching_case{"rows_before_an_error",
                      {{reply_form::write, with_rows(error_at(statement_error::busy, idle), {"x"}),
                        reply_verdict::unproved}}},
        matching_case{"row_of_an_earlier_read_before_those_of_a_read",
                      {read_done,
                       {reply_form::statement, with_rows(signed_by("b"), {"x", "y"}),
                        reply_verdict::unproved}}},
        matching_case{
            "same_rows_again",
            {read_done,
             {reply_form::statement, with_rows(signed_by("b"), {"x"}), reply_verdict::own}}},
        matching_case{"single_statement_in_a_transaction",
                      {{reply_form::write, signed_by("w", open), reply_verdict::unproved}}},
        matching_case{"begin_without_a_transaction",
                      {{reply_form::begin, done(idle, point(1, 10)), reply_verdict::unproved}}},
        matching_case{"begin_at_an_earlier_position",
                      {{reply_form::write, signed_by("w", idle, 12), reply_verdict::own},
                       {reply_form::begin, done(open, point(1, 10)), reply_verdict::unproved}}},
        // Ordinary traffic, which a second answer looks like: it ends the connection (issue 37).
        matching_case{"begin_after_a_transaction_without_writes",
                      {begin_done,
                       {reply_form::statement, signed_by("t", open), reply_verdict::own},
                       {reply_form::return_to_idle, done(idle, point(1, 10)), reply_verdict::own},
                       again(begin_done, reply_form::begin, reply_verdict::unproved)}},
        matching_case{
            "error_at_an_earlier_position",
            {{reply_form::write, signed_by("w", idle, 12), reply_verdict::own},
             {reply_form::write, error_at(statement_error::busy, idle), reply_verdict::unproved}}},
        matching_case{"unknown_signature_for_an_own_command",
                      {{reply_form::begin, signed_by("z", open), reply_verdict::unproved}}}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
