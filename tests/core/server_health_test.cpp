#include "jackdawvane/sessions/server_health.hpp"

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;

constexpr int reads_per_second = 5;

time_point at(std::int64_t ms) {
    return time_point{from_milliseconds(ms)};
}

/// Reads of one VM, placed in turn at the servers that are not ejected.
struct health_run {
    std::vector<backend_server_id> servers;
    /// Whether a read with this number at this server and time fails.
    bool (*fails)(const std::string& server, int number, std::int64_t ms);
    server_health health{};
    std::map<std::string, int> reads{};
    std::vector<health_change> changes{};
    std::size_t turn{0};

    void run(std::int64_t from_ms, std::int64_t to_ms) {
        for (auto ms = from_ms; ms < to_ms; ms += 1000 / reads_per_second) {
            const auto verdict = health.judge(at(ms), servers);
            EXPECT_LE(verdict.ejected.size() * 2, servers.size());
            auto chosen = verdict.probe;
            if (chosen) {
                health.on_probe_sent(at(ms), *chosen);
            }
            for (std::size_t i = 0; !chosen && i < servers.size(); ++i) {
                const auto& next = servers[(turn + i) % servers.size()];
                if (!verdict.ejected.contains(next)) {
                    chosen = next;
                    turn += i + 1;
                }
            }
            ASSERT_TRUE(chosen);
            const auto number = reads[chosen->str()]++;
            const bool failed = fails(chosen->str(), number, ms);
            health.on_outcome(at(ms + 10), at(ms), *chosen, failed);
            for (auto& change : health.take_changes()) {
                changes.push_back(change);
            }
        }
    }
};

std::vector<backend_server_id> three() {
    return {backend_server_id{"a"}, backend_server_id{"b"}, backend_server_id{"c"}};
}

struct load_case {
    const char* name;
    bool (*fails)(const std::string& server, int number, std::int64_t ms);
    bool ejects;
    int most_reads; ///< At server a within a minute, of 300 in all.
};

class ServerHealth : public ::testing::TestWithParam<load_case> {};

/// Guards against a server that keeps its share of the reads while it fails them.
TEST_P(ServerHealth, KeepsReadsFromAServerThatFails) {
    health_run run{three(), GetParam().fails};
    run.run(0, 60'000);
    EXPECT_EQ(!run.changes.empty(), GetParam().ejects);
    EXPECT_LE(run.reads["a"], GetParam().most_reads);
    for (const auto& change : run.changes) {
        EXPECT_EQ(change.backend, backend_server_id{"a"});
    }
}

INSTANTIATE_TEST_SUITE_P(
    Loads, ServerHealth,
    ::testing::Values(
        load_case{"none_fails", [](const std::string&, int, std::int64_t) { return false; }, false,
                  100},
        load_case{"part",
                  [](const std::string& server, int number, std::int64_t) {
                      return server == "a" && number % 5 < 2;
                  },
                  true, 40},
        load_case{"all", [](const std::string& server, int, std::int64_t) { return server == "a"; },
                  true, 10},
        load_case{"flaps",
                  [](const std::string& server, int, std::int64_t ms) {
                      return server == "a" && ms / 4000 % 2 == 0;
                  },
                  true, 70},
        load_case{"statements_that_fail_everywhere",
                  [](const std::string&, int number, std::int64_t) { return number % 3 == 0; },
                  false, 100},
        load_case{"every_server_fails", [](const std::string&, int, std::int64_t) { return true; },
                  false, 100}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against callers of one zone that suffer because the other zones' callers are served: a
/// VM needs no more than its own outcomes, and its judgement binds no other VM.
TEST(ServerHealthZones, EachVmJudgesForItself) {
    health_run cut_off{three(),
                       [](const std::string& server, int, std::int64_t) { return server == "a"; }};
    health_run served{three(), [](const std::string&, int, std::int64_t) { return false; }};
    cut_off.run(0, 10'000);
    served.run(0, 10'000);
    EXPECT_LE(cut_off.reads["a"], 8);
    EXPECT_GE(served.reads["a"], 16);
}

/// Guards against a server that stays ejected after it has recovered, and against a crowd of reads
/// that tries it: a single probe decides.
TEST(ServerHealthProbe, ReturnsTheServerAfterOneProbe) {
    health_run run{three(), [](const std::string& server, int, std::int64_t ms) {
                       return server == "a" && ms < 10'000;
                   }};
    run.run(0, 60'000);
    ASSERT_GE(run.changes.size(), 2U);
    EXPECT_FALSE(run.changes.back().ejected);
    EXPECT_GE(run.reads["a"], 50);
}

/// Guards against probes that load a server which stays broken: the pause doubles up to a limit.
TEST(ServerHealthProbe, PauseDoublesUpToItsLimit) {
    health_run run{three(),
                   [](const std::string& server, int, std::int64_t) { return server == "a"; }};
    run.run(0, 180'000);
    ASSERT_GE(run.changes.size(), 7U);
    EXPECT_EQ(run.changes[0].pause, milliseconds{1000});
    EXPECT_EQ(run.changes[1].pause, milliseconds{2000});
    EXPECT_EQ(run.changes[4].pause, milliseconds{16000});
    EXPECT_EQ(run.changes[6].pause, milliseconds{30000});
}

/// Guards against a second probe while the first is unanswered, and against a server that never
/// gets another one because the first was refused without an outcome.
TEST(ServerHealthProbe, OneAtATimeAndRepeatedWhenItHasNoOutcome) {
    server_health health;
    const backend_server_id a{"a"};
    for (int i = 0; i < 4; ++i) {
        health.on_outcome(at(i), at(i), a, true);
    }
    EXPECT_EQ(health.judge(at(10), three()).ejected.count(a), 1U);
    EXPECT_FALSE(health.judge(at(900), three()).probe);
    EXPECT_EQ(health.judge(at(1100), three()).probe, a);
    health.on_probe_sent(at(1100), a);
    EXPECT_FALSE(health.judge(at(1200), three()).probe);
    EXPECT_EQ(health.judge(at(3200), three()).probe, a);
    health.on_probe_sent(at(3200), a);
    health.on_outcome(at(3210), at(5), a, false); // Was sent before the probe.
    EXPECT_EQ(health.judge(at(3220), three()).ejected.count(a), 1U);
    health.on_outcome(at(3230), at(3200), a, false);
    EXPECT_TRUE(health.judge(at(3240), three()).ejected.empty());
}

/// Guards against a group without a server: the last one that is left is used although it fails.
TEST(ServerHealthBounds, NeverEjectsTheLastServer) {
    server_health health;
    const backend_server_id a{"a"};
    for (int i = 0; i < 10; ++i) {
        health.on_outcome(at(i), at(i), a, true);
    }
    EXPECT_TRUE(health.judge(at(20), {a}).ejected.empty());
    EXPECT_EQ(health.judge(at(20), {a, backend_server_id{"b"}}).ejected.size(), 1U);
    EXPECT_TRUE(health.judge(at(21), {a}).ejected.empty());
}

} // namespace
} // namespace jackdawvane
