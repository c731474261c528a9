#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>

namespace jackdawvane {

/// @brief Decision of the rate limiter on a request.
enum class admission_state { admitted, refused, pending };

/// @brief Request for which admission is decided.
struct admission_request {
    request_id handle; ///< Identifies the request in its decision.
    organisation_id organisation;
    std::uint32_t priority{1};         ///< Of the route; 0 is the highest.
    time_point deadline{no_deadline};  ///< The request is not served after this.
    time_point objective{no_deadline}; ///< Latency objective of the operation.
};

/// @brief Decision on a request, immediate or after a wait.
struct admission {
    request_id handle;
    admission_state state{admission_state::pending};
    error problem{error_kind::none, {}, {}}; ///< Set when refused.
};

} // namespace jackdawvane
