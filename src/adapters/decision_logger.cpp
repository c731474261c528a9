#include "jackdawvane/adapters/decision_logger.hpp"

#include <utility>

#include <chrono>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace jackdawvane {

namespace {

constexpr long file_size_limit = 10L * 1024 * 1024; // bytes
constexpr int kept_files = 3;
constexpr auto line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n";

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
    std::uint32_t limit{0}; ///< Lines per second; 0 for all.
    std::chrono::steady_clock::time_point second{};
    std::uint32_t written{0};
    std::uint64_t left_out{0};
};

decision_logger::decision_logger(const log_settings& settings) {
    // log4cplus cannot be initialised a second time after its end.
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

void decision_logger::write(const log_decision& line) {
    const auto level = to_log4cplus(line.level);
    if (!backend_->logger.isEnabledFor(level)) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - backend_->second >= std::chrono::seconds{1}) {
        backend_->second = now;
        backend_->written = 0;
        if (const auto left_out = std::exchange(backend_->left_out, 0); left_out > 0) {
            backend_->logger.forcedLog(log4cplus::WARN_LOG_LEVEL,
                                       "[log] left_out=" + std::to_string(left_out));
        }
    }
    if (backend_->limit > 0 && ++backend_->written > backend_->limit) {
        ++backend_->left_out;
        return;
    }
    std::string text{"["};
    text += line.part;
    text += "] ";
    text += line.text;
    backend_->logger.forcedLog(level, text);
}

} // namespace jackdawvane
