#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

namespace jackdawvane {

/// @brief Decision of the rate limiter on a request.
enum class admission_state { admitted, refused, pending };

/// @brief Decision on a request, immediate or after a wait.
struct admission {
    request_id handle;
    admission_state state{admission_state::pending};
    error problem{error_kind::none, {}, {}}; ///< Set when refused.
};

} // namespace jackdawvane
