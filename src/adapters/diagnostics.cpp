#include "jackdawvane/adapters/diagnostics.hpp"

#include <utility>

namespace jackdawvane {

void diagnostics::report(const connection_counts& counts) {
    const auto added = counts.store_calls - std::exchange(reported_calls_, counts.store_calls);
    measure({metric_kind::counter, "store_calls_total", "", {}, static_cast<double>(added)});
    measure(
        {metric_kind::gauge, "caller_connections", "", {}, static_cast<double>(counts.callers)});
    measure(
        {metric_kind::gauge, "backend_connections", "", {}, static_cast<double>(counts.backends)});
}

} // namespace jackdawvane
