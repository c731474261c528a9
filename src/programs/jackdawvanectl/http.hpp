#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <string>

namespace jackdawvane::ctl {

/// @brief Sends one HTTP request and waits for its answer.
/// @param timeout longest time for connection, request and answer together
/// @return the body of a 200 answer; `store_unavailable` when there is none in time
[[nodiscard]] result<std::string> exchange(const endpoint& remote, const std::string& method,
                                           const std::string& target, const std::string& body,
                                           duration timeout);

} // namespace jackdawvane::ctl
