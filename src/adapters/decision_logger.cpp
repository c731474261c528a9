#include "jackdawvane/adapters/decision_logger.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <map>
#include <string_view>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace jackdawvane {

namespace {

constexpr long file_size_limit = 10L * 1024 * 1024; // bytes
constexpr int kept_files = 3;
/// Lines of each kind that are written per second even when the rate limit is exceeded.
constexpr std::uint32_t min_lines_per_kind = 3;
/// Lines per second of each kind in `decisive_kinds`, written even when the rate limit is exceeded.
constexpr std::uint32_t min_decisive_lines = 20;
/// Parts, or parts with outcomes, whose lines tell how a primary came to be used or replaced.
constexpr std::array<std::string_view, 6> decisive_kinds{
    "promotion", "duty", "failover", "observer.proof", "observer.refused", "proxy.start"};
/// Above the number of kinds in use; further kinds of a second are counted together as `other`.
constexpr std::size_t max_kinds = 96;
constexpr auto line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";

struct line_counts {
    std::uint32_t written{0};
    std::uint64_t left_out{0};
};

/// Part and outcome of a line. A first word with digits names a subject, not an outcome.
std::string kind_of(const log_record& line) {
    const auto word = line.text.substr(0, line.text.find(' '));
    const bool outcome = std::all_of(word.begin(), word.end(), [](unsigned char each) {
        return std::isalpha(each) != 0 || each == '_';
    });
    return outcome ? line.part + ("." + word) : line.part;
}

/// Lines of @a kind, of the part @a part, that are written per second in any case.
std::uint32_t min_lines_of(std::string_view part, std::string_view kind) {
    const bool decisive =
        std::any_of(decisive_kinds.begin(), decisive_kinds.end(),
                    [&](std::string_view each) { return each == part || each == kind; });
    return decisive ? min_decisive_lines : min_lines_per_kind;
}

log4cplus::LogLevel to_log4cplus(log_level level) noexcept {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr make_appender(const log_settings& settings) {
    log4cplus::SharedAppenderPtr appender;
    if (settings.file.empty()) {
        appender = new log4cplus::ConsoleAppender{settings.output == log_output::error, true};
    } else {
        appender = new log4cplus::RollingFileAppender{settings.file, file_size_limit, kept_files};
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern));
    return appender;
}

} // namespace

struct decision_logger::backend {
    log4cplus::Logger logger{log4cplus::Logger::getInstance("jackdawvane")};
    std::uint32_t limit{0}; ///< Lines per second; 0: unlimited.
    std::chrono::steady_clock::time_point second{};
    std::uint32_t written{0};
    std::map<std::string, line_counts> kinds;
};

decision_logger::decision_logger(const log_settings& settings) {
    // log4cplus cannot be initialised again after it has been shut down.
    static const log4cplus::Initializer initializer;
    backend_ = std::make_unique<backend>();
    backend_->limit = settings.lines_per_second;
    backend_->logger.setAdditivity(false);
    backend_->logger.setLogLevel(to_log4cplus(settings.level));
    backend_->logger.removeAllAppenders();
    backend_->logger.addAppender(make_appender(settings));
}

decision_logger::~decision_logger() {
    backend_->logger.removeAllAppenders();
}

void decision_logger::write(const log_record& line) {
    const auto level = to_log4cplus(line.level);
    if (!backend_->logger.isEnabledFor(level)) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - backend_->second >= std::chrono::seconds{1}) {
        backend_->second = now;
        backend_->written = 0;
        report_left_out();
    }
    if (backend_->limit > 0 && !within_limit(line)) {
        return;
    }
    std::string text{"["};
    text += line.part;
    text += "] ";
    text += line.text;
    backend_->logger.forcedLog(level, text);
}

bool decision_logger::within_limit(const log_record& line) {
    auto& kinds = backend_->kinds;
    auto kind = kind_of(line);
    const auto min_lines = min_lines_of(line.part, kind);
    const bool decisive = min_lines > min_lines_per_kind;
    if (!decisive && kinds.size() >= max_kinds && !kinds.contains(kind)) {
        kind = "other";
    }
    auto& counts = kinds[kind];
    if (backend_->written >= backend_->limit && counts.written >= min_lines) {
        ++counts.left_out;
        return false;
    }
    ++counts.written;
    ++backend_->written;
    return true;
}

void decision_logger::report_left_out() {
    std::uint64_t sum = 0;
    std::string by_kind;
    for (const auto& [kind, counts] : std::exchange(backend_->kinds, {})) {
        sum += counts.left_out;
        if (counts.left_out > 0) {
            by_kind += " " + kind + "=" + std::to_string(counts.left_out);
        }
    }
    if (sum > 0) {
        backend_->logger.forcedLog(log4cplus::WARN_LOG_LEVEL,
                                   "[log] left_out=" + std::to_string(sum) + by_kind);
    }
}

} // namespace jackdawvane
