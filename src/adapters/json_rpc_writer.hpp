#pragma once

#include <string>

#include <json/json.h>

// This header is compiled as C++14 and as C++20: it must not include the project's headers.

namespace jackdawvane {
namespace detail {

/// @brief Text of a JSON-RPC 2.0 notification, without a trailing newline.
std::string write_notification(const std::string& method, const Json::Value& params);

} // namespace detail
} // namespace jackdawvane
