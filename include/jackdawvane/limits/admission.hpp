#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

namespace jackdawvane {

/// @brief Verdict of the rate limit on one request.
enum class admission_state { admitted, refused, pending };

/// @brief Verdict of the rate limit, at once or later.
struct admission {
    request_id handle;
    admission_state state{admission_state::pending};
    error problem{error_kind::none, {}, {}}; ///< Set when refused.
};

} // namespace jackdawvane
