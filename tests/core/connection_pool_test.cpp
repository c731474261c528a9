#include "jackdawvane/backends/connection_pool.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr time_point start{std::chrono::seconds{100}};

template <class Action>
std::vector<Action> all_of(const actions& out) {
    std::vector<Action> found;
    for (const auto& entry : out) {
        if (const auto* match = std::get_if<Action>(&entry)) {
            found.push_back(*match);
        }
    }
    return found;
}

class ConnectionPool : public testing::Test {
  protected:
    connection_pool make_pool(std::uint32_t limit, std::uint32_t slots = 3) {
        connection_pool pool{backend_server_id{"b1"}, connections_, requests_};
        pool.configure(endpoint{"127.0.0.1", 1}, limit, slots);
        return pool;
    }

    /// Reports every connection that the pool opened as connected.
    void connect_all(connection_pool& pool, time_point now) {
        for (const auto& opened : all_of<open_connection>(out_)) {
            pool.on_connected(now, opened.connection);
        }
        out_.clear();
    }

    id_sequence<connection_id> connections_;
    id_sequence<request_id> requests_;
    actions out_;
};

struct limit_case {
    const char* name;
    std::uint32_t limit;
    std::uint32_t reported; ///< Connections that the backend server counts in total.
    std::size_t expected;
};

class PoolLimit : public ConnectionPool, public testing::WithParamInterface<limit_case> {};

/// Guards against two owners that together exceed the backend server's connection limit.
TEST_P(PoolLimit, BoundsConnections) {
    auto pool = make_pool(GetParam().limit);
    pool.on_connection_count(GetParam().reported);
    pool.grow(start, 100, out_);
    EXPECT_EQ(all_of<open_connection>(out_).size(), GetParam().expected);
    EXPECT_LE(2 * pool.limit() + reserved_connections, std::max(GetParam().limit, 4U));
}

INSTANTIATE_TEST_SUITE_P(Cases, PoolLimit,
                         testing::Values(limit_case{"half_of_quetzal", 20, 0, 8},
                                         limit_case{"half_of_kyushu", 30, 0, 13},
                                         limit_case{"only_reserve", 4, 0, 0},
                                         limit_case{"others_hold_many", 20, 15, 2},
                                         limit_case{"others_hold_all", 20, 20, 0}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against handing out a connection that another request still uses.
TEST_F(ConnectionPool, GivesEachConnectionToOneUser) {
    auto pool = make_pool(20);
    pool.grow(start, 2, out_);
    connect_all(pool, start);
    const auto first = pool.acquire();
    const auto second = pool.acquire();
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
    EXPECT_FALSE(pool.acquire());
    pool.release(start, *first, out_);
    EXPECT_EQ(pool.acquire(), first);
}

/// Guards against the use of a silent connection for the next request.
TEST_F(ConnectionPool, ClosesAConnectionThatDoesNotAnswerAHeartbeat) {
    auto pool = make_pool(20);
    pool.grow(start, 1, out_);
    connect_all(pool, start);
    pool.tick(start + std::chrono::seconds{2}, out_);
    ASSERT_EQ(all_of<send_to_backend>(out_).size(), 1U);
    EXPECT_FALSE(pool.acquire()) << "handed out while a heartbeat is in flight";
    out_.clear();
    pool.tick(start + std::chrono::seconds{3}, out_);
    EXPECT_EQ(all_of<close_connection>(out_).size(), 1U);
    EXPECT_EQ(pool.size(), 0U);
}

/// Guards against an answer to another request that counts as the answer to a heartbeat.
TEST_F(ConnectionPool, ClosesAConnectionWithACrossedHeartbeatAnswer) {
    auto pool = make_pool(20);
    pool.grow(start, 1, out_);
    connect_all(pool, start);
    pool.tick(start + std::chrono::seconds{2}, out_);
    const auto sent = all_of<send_to_backend>(out_).at(0);
    backend_answer crossed;
    crossed.id = request_id{sent.request.id.value() + 1000};
    EXPECT_TRUE(pool.on_answer(start + std::chrono::seconds{2}, sent.connection, crossed, out_));
    EXPECT_EQ(pool.size(), 0U);
}

/// Guards against a former owner that keeps connections and exhausts the limit.
TEST_F(ConnectionPool, RetiredPoolClosesConnectionsAsTheyComeBack) {
    auto pool = make_pool(20);
    pool.grow(start, 2, out_);
    connect_all(pool, start);
    const auto used = pool.acquire();
    pool.retire(out_);
    EXPECT_EQ(pool.size(), 1U);
    pool.release(start, *used, out_);
    EXPECT_EQ(pool.size(), 0U);
    EXPECT_EQ(all_of<close_connection>(out_).size(), 2U);
}

/// Guards against a storm of connection attempts to a backend server that refuses them.
TEST_F(ConnectionPool, WaitsLongerAfterEachFailedAttempt) {
    auto pool = make_pool(20);
    auto now = start;
    std::size_t attempts{0};
    while (now < start + std::chrono::seconds{5}) {
        out_.clear();
        pool.tick(now, out_);
        pool.grow(now, 1, out_);
        for (const auto& opened : all_of<open_connection>(out_)) {
            pool.on_disconnected(now, opened.connection);
            ++attempts;
        }
        now += from_milliseconds(5);
    }
    EXPECT_LE(attempts, 11U);
    EXPECT_GE(attempts, 5U);
}

} // namespace
} // namespace jackdawvane
