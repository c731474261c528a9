#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Reads a program's settings: JSON with comments, with all errors reported at once.
///
/// A settings structure has a field table, and may have
/// `static std::vector<const char*> required()` with the keys that have no default and
/// `void check(decode_problems& problems) const` for rules on its values.

namespace jackdawvane {

/// @brief One error in a settings file.
struct settings_problem {
    std::size_t line{0}; ///< Counted from 1; 0 when the error has no position in the text.
    std::string key;     ///< Path of the key.
    std::string message; ///< What is wrong and how to correct it.
};

/// @brief All errors in a settings file, in the order of the lines.
using settings_problems = std::vector<settings_problem>;

/// @brief Text with one line `FILE:LINE: KEY MESSAGE` per error.
[[nodiscard]] std::string describe_problems(const std::string& file,
                                            const settings_problems& problems);

/// @brief Content of @a file; on failure nothing, with the reason added to @a problems.
[[nodiscard]] std::optional<std::string> read_file(const std::string& file,
                                                   settings_problems& problems);

namespace detail {

[[nodiscard]] settings_problems place_problems(std::string_view text, const Json::Value& json,
                                               const decode_problems& problems);
void report_missing(const Json::Value& json, const std::vector<const char*>& required,
                    decode_problems& problems);

template <class Settings>
void check_settings(const Json::Value& json, const Settings& settings, decode_problems& problems) {
    if constexpr (requires { Settings::required(); }) {
        report_missing(json, Settings::required(), problems);
    }
    if constexpr (requires { settings.check(problems); }) {
        settings.check(problems);
    }
}

} // namespace detail

/// @brief Reads settings from @a text.
/// @return the settings; nothing when there are errors, all of which are in @a problems
template <class Settings>
[[nodiscard]] std::optional<Settings> read_settings(std::string_view text,
                                                    settings_problems& problems) {
    const auto json = parse_json(text);
    if (!json) {
        problems.push_back({0, "", json.error().detail});
        return {};
    }
    Settings settings{};
    decode_problems found;
    from_json(json.value(), settings, "", found);
    if (json.value().isObject()) {
        detail::check_settings(json.value(), settings, found);
    }
    if (found.empty()) {
        return settings;
    }
    problems = detail::place_problems(text, json.value(), found);
    return {};
}

/// @brief Reads settings from the file @a file.
/// @return as for `read_settings`
template <class Settings>
[[nodiscard]] std::optional<Settings> read_settings_file(const std::string& file,
                                                         settings_problems& problems) {
    const auto text = read_file(file, problems);
    return text ? read_settings<Settings>(*text, problems) : std::nullopt;
}

} // namespace jackdawvane
