#include "jackdawvane/adapters/decision_logger.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

namespace jackdawvane {
namespace {

class DecisionLogger : public testing::Test {
  protected:
    DecisionLogger()
        : file{std::filesystem::temp_directory_path() /
               ("jackdawvane-log-" + std::to_string(::getpid()))} {}
    ~DecisionLogger() override { std::filesystem::remove(file); }

    std::vector<std::string> lines() const {
        std::ifstream in{file};
        std::vector<std::string> found;
        for (std::string line; std::getline(in, line);) {
            found.push_back(line);
        }
        return found;
    }
    std::size_t count(const std::string& text) const {
        const auto all = lines();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(),
                          [&](const auto& line) { return line.find(text) != std::string::npos; }));
    }

    std::filesystem::path file;
};

/// Guards against a rate limit that drops the rare lines which explain a failure, and against a
/// log volume that grows with the load.
TEST_F(DecisionLogger, KeepsTheFirstLinesOfEachKind) {
    log_settings settings;
    settings.file = file.string();
    settings.lines_per_second = 10;
    decision_logger logger{settings};
    for (int i = 0; i < 500; ++i) {
        logger.write({"statement", log_level::info, "not_done request=" + std::to_string(i)});
    }
    logger.write({"duty", log_level::warning, "lost: the lease may have ended"});
    EXPECT_EQ(count("[statement] not_done"), 10U);
    EXPECT_EQ(count("[duty] lost"), 1U);
    std::this_thread::sleep_for(std::chrono::milliseconds{1050});
    logger.write({"proxy", log_level::info, "ready=1"});
    EXPECT_EQ(count("[log] left_out=490 statement.not_done=490"), 1U);
}

struct decisive_line {
    const char* name;
    const char* part;
    const char* text;
};

class DecisiveLines : public DecisionLogger, public testing::WithParamInterface<decisive_line> {};

/// Guards against a flood that leaves out what tells why a VM used a primary (issue 37), and
/// against decisive lines without a bound.
TEST_P(DecisiveLines, AreWrittenBesideAFlood) {
    log_settings settings;
    settings.file = file.string();
    settings.lines_per_second = 10;
    decision_logger logger{settings};
    for (int i = 0; i < 500; ++i) {
        logger.write({"statement", log_level::info, "retry request=" + std::to_string(i)});
        logger.write({"member", log_level::warning, "foreign_reply backend=a"});
        // More kinds than are counted apart.
        logger.write({"flood", log_level::info, std::string(static_cast<std::size_t>(i), 'k')});
    }
    for (int i = 0; i < 100; ++i) {
        logger.write({GetParam().part, log_level::info, GetParam().text});
    }
    EXPECT_EQ(count(std::string{"["} + GetParam().part + "] " + GetParam().text), 20U);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, DecisiveLines,
    testing::Values(decisive_line{"Promotion", "promotion", "i-3d51 start reason=crashed"},
                    decisive_line{"Duty", "duty", "acquired fence=7"},
                    decisive_line{"Failover", "failover", "begins group=a"},
                    decisive_line{"Proof", "observer", "proof group=a kind=one_replica"},
                    decisive_line{"Refused", "observer", "refused backend=a attempt_age_ms=1"}),
    [](const auto& each) { return std::string{each.param.name}; });

} // namespace
} // namespace jackdawvane
