#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/node/ports.hpp"

#include <utility>

#include <array>
#include <memory>
#include <string>

namespace jackdawvane {

template <>
struct enum_names<log_level> {
    static constexpr std::array<std::pair<log_level, const char*>, 4> table{
        {{log_level::debug, "debug"},
         {log_level::info, "info"},
         {log_level::warning, "warning"},
         {log_level::error, "error"}}};
};

/// @brief Standard stream that log lines go to.
enum class log_output { error, output };

template <>
struct enum_names<log_output> {
    static constexpr std::array<std::pair<log_output, const char*>, 2> table{
        {{log_output::error, "stderr"}, {log_output::output, "stdout"}}};
};

/// @brief Destination, level and rate limit of the log.
struct log_settings {
    log_level level{log_level::info};
    std::string file;                     ///< Path; empty for a standard stream.
    log_output output{log_output::error}; ///< Used when `file` is empty.
    std::uint32_t lines_per_second{0};    ///< Excess lines are only counted; 0: unlimited.

    static constexpr auto fields() {
        return std::tuple{field("level", &log_settings::level), field("file", &log_settings::file),
                          field("output", &log_settings::output),
                          field("lines_per_second", &log_settings::lines_per_second)};
    }
};

/// @brief Writes log lines of the form `TIME LEVEL [part] text`.
class decision_logger {
  public:
    explicit decision_logger(const log_settings& settings);
    decision_logger(const decision_logger&) = delete;
    decision_logger& operator=(const decision_logger&) = delete;
    decision_logger(decision_logger&&) = delete;
    decision_logger& operator=(decision_logger&&) = delete;
    ~decision_logger();

    /// @brief Writes @a line unless its level is disabled or the rate limit is exceeded.
    ///
    /// The first lines of each kind (part and outcome) in a second are always written, so that
    /// frequent lines don't displace rare ones: three, and 20 of the kinds that tell how a primary
    /// came to be used or replaced. Lines that are left out are counted by kind, and
    /// the counts are written before the first line of a later second.
    void write(const log_record& line);

  private:
    [[nodiscard]] bool within_limit(const log_record& line);
    void report_left_out();

    struct backend;
    std::unique_ptr<backend> backend_;
};

} // namespace jackdawvane
