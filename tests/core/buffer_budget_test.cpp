#include "jackdawvane/limits/buffer_budget.hpp"

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::seconds;

class BufferBudget : public ::testing::Test {
  protected:
    static buffer_limits limits() {
        buffer_limits small;
        small.process = 1000;
        small.organisation = 600;
        small.allowance = 100;
        small.pause = 400;
        small.unread = 500;
        small.read_size = 50;
        return small;
    }
    static time_point at(std::int64_t second) { return time_point{} + seconds{second}; }
    session_id add(std::uint64_t number, const char* organisation, const held_buffers& held) {
        const session_id id{number};
        budget.open(at(0), id);
        budget.start(id);
        budget.assign(id, organisation_id{organisation});
        budget.update(id, held);
        return id;
    }
    static held_buffers half_line(std::size_t size, std::int64_t second) {
        held_buffers held;
        held.input = size;
        held.line_begun = at(second);
        return held;
    }
    static held_buffers unread(std::size_t size, std::int64_t second) {
        held_buffers held;
        held.output = size;
        held.output_begun = held.last_progress = at(second);
        return held;
    }
    std::vector<std::uint64_t> closed(std::int64_t second) {
        std::vector<std::uint64_t> numbers;
        for (const auto& each : budget.due(at(second))) {
            numbers.push_back(each.session.value());
        }
        return numbers;
    }

    buffer_budget budget{limits()};
};

using numbers = std::vector<std::uint64_t>;

TEST_F(BufferBudget, OrganisationAtItsLimitLeavesTheOthersTheirRoom) {
    const auto crowd = add(1, "crowd", half_line(600, 0));
    const auto other = add(2, "other", half_line(200, 0));
    EXPECT_EQ(budget.read_allowance(crowd), 0U);
    EXPECT_EQ(budget.read_allowance(other), 50U);
}

/// Guards against a crowd that fills the budget and thereby stops ordinary statements.
TEST_F(BufferBudget, SmallStatementsAreReadWhileTheProcessIsFull) {
    add(1, "a", half_line(500, 0));
    add(2, "b", half_line(500, 0));
    EXPECT_EQ(budget.read_allowance(add(3, "c", half_line(30, 0))), 70U);
    EXPECT_EQ(budget.read_allowance(add(4, "c", half_line(100, 0))), 0U);
}

TEST_F(BufferBudget, FreesRoomFromTheOldestDownToTheLowMark) {
    add(1, "a", half_line(300, 2));
    add(2, "a", half_line(200, 1));
    add(3, "b", half_line(400, 3));
    add(4, "b", half_line(150, 9));
    EXPECT_EQ(closed(3), numbers{});
    EXPECT_EQ(closed(9), (numbers{2, 1}));
    budget.close(session_id{2});
    budget.close(session_id{1});
    EXPECT_EQ(budget.total(), 550U);
    EXPECT_EQ(closed(9), numbers{});
}

TEST_F(BufferBudget, StatementsThatAreRunAreNotClosed) {
    held_buffers running;
    running.waiting = 1100;
    add(1, "a", running);
    EXPECT_EQ(closed(30), numbers{});
    EXPECT_FALSE(budget.may_handle(session_id{1}));
}

/// Guards against answers, which cannot be paused, that outgrow the memory within `crowded_time`.
TEST_F(BufferBudget, AboveTheHardLimitTheMostUnreadAnswersAreClosedAtOnce) {
    add(1, "a", unread(450, 0));
    add(2, "b", unread(480, 0));
    EXPECT_FALSE(budget.exceeded(session_id{2}));
    add(3, "c", unread(400, 0));
    EXPECT_TRUE(budget.exceeded(session_id{3}));
    EXPECT_EQ(closed(0), (numbers{2, 1}));
}

TEST_F(BufferBudget, IdleSessionsAreNeverClosed) {
    add(1, "a", {});
    EXPECT_EQ(closed(1000000), numbers{});
    EXPECT_FALSE(budget.oldest_not_started());
}

TEST_F(BufferBudget, FirstOfTheConnectionsWithoutALineGivesWay) {
    add(1, "a", {});
    budget.open(at(2), session_id{2});
    budget.open(at(1), session_id{3});
    EXPECT_EQ(budget.oldest_not_started(), session_id{3});
}

struct overdue_case {
    const char* name;
    held_buffers held;
    bool started;
    std::int64_t second; ///< Last second at which the connection stays open.
};

class OverdueConnection : public BufferBudget,
                          public ::testing::WithParamInterface<overdue_case> {};

TEST_P(OverdueConnection, IsClosed) {
    budget.open(at(0), session_id{1});
    if (GetParam().started) {
        budget.start(session_id{1});
    }
    budget.update(session_id{1}, GetParam().held);
    EXPECT_EQ(closed(GetParam().second), numbers{});
    EXPECT_EQ(closed(GetParam().second + 1), numbers{1});
}

held_buffers held_since_0(std::size_t input, std::size_t output, std::int64_t progress) {
    held_buffers held;
    held.input = input;
    held.output = output;
    held.line_begun = input > 0 ? time_point{} : no_deadline;
    held.output_begun = output > 0 ? time_point{} : no_deadline;
    held.last_progress = time_point{} + seconds{progress};
    return held;
}

INSTANTIATE_TEST_SUITE_P(BufferBudget, OverdueConnection,
                         ::testing::Values(overdue_case{"line", held_since_0(1, 0, 0), true, 60},
                                           overdue_case{"answer", held_since_0(0, 1, 0), true, 30},
                                           overdue_case{"slow_reader", held_since_0(0, 1, 50), true,
                                                        80},
                                           overdue_case{"no_line", {}, false, 15}),
                         [](const auto& each) { return std::string{each.param.name}; });

TEST_F(BufferBudget, ClosedConnectionsHoldNothing) {
    add(1, "a", half_line(600, 0));
    budget.close(session_id{1});
    EXPECT_EQ(budget.total(), 0U);
    EXPECT_EQ(budget.read_allowance(add(2, "a", {})), 50U);
}

} // namespace
} // namespace jackdawvane
