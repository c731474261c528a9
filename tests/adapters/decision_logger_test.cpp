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

} // namespace
} // namespace jackdawvane
