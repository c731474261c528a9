#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <string>

namespace jackdawvane::ctl {

/// @brief Sends one HTTP request and waits for the response.
/// @param timeout limit for connecting, sending the request and reading the response together
/// @return body of a 200 response; `store_unavailable` on a timeout, a connection error or another
///         status
[[nodiscard]] result<std::string> send_request(const endpoint& remote, const std::string& method,
                                               const std::string& target, const std::string& body,
                                               duration timeout);

} // namespace jackdawvane::ctl
