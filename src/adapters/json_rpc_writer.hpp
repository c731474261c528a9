#pragma once

#include <string>

#include <json/json.h>

namespace jackdawvane::detail {

/// @brief Text of a JSON-RPC 2.0 notification, without a trailing newline.
std::string write_notification(const std::string& method, const Json::Value& params);

} // namespace jackdawvane::detail
