#pragma once

#include "jackdawvane/sessions/messages.hpp"

#include <string>

/// @file
/// @brief Text of the log lines about promotions.

namespace jackdawvane::promotion_log {

inline constexpr const char* component = "promotion";

inline std::string term_text(term value) {
    return std::to_string(value.value());
}

inline std::string in_group(const group_id& group, const std::string& text) {
    return "group=" + group.str() + " " + text;
}

} // namespace jackdawvane::promotion_log
