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

/// @brief Where log lines go and which ones.
struct log_settings {
    log_level level{log_level::info};
    std::string file; ///< Empty writes to the standard error stream.

    static constexpr auto fields() {
        return std::tuple{field("level", &log_settings::level), field("file", &log_settings::file)};
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

    /// @brief Writes @a line unless its level is too low.
    void write(const log_decision& line);

  private:
    struct backend;
    std::unique_ptr<backend> backend_;
};

} // namespace jackdawvane
