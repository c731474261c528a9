#pragma once

#include "jackdawvane/adapters/decision_logger.hpp"
#include "jackdawvane/adapters/metrics_registry.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"

#include <cstddef>
#include <cstdint>

namespace jackdawvane {

/// @brief Counts that every daemon reports.
struct connection_counts {
    std::uint64_t store_calls{0}; ///< Since the start.
    std::size_t callers{0};
    std::size_t backends{0};
};

/// @brief Sends log lines to the logger and measurements to the metrics registry.
class diagnostics final : public diagnostics_port {
  public:
    explicit diagnostics(const log_settings& settings) : logger_{settings} {}

    void log(const log_record& line) override { logger_.write(line); }
    void measure(const measurement& value) override { metrics_.record(value); }

    void report(const connection_counts& counts);

    [[nodiscard]] metrics_registry& metrics() noexcept { return metrics_; }

  private:
    decision_logger logger_;
    metrics_registry metrics_;
    std::uint64_t reported_calls_{0};
};

} // namespace jackdawvane
