#pragma once

#include "jackdawvane/adapters/decision_logger.hpp"
#include "jackdawvane/adapters/metrics_registry.hpp"
#include "jackdawvane/node/action_dispatcher.hpp"

namespace jackdawvane {

/// @brief Sends log lines to the logger and measurements to the metrics registry.
class diagnostics final : public diagnostics_port {
  public:
    explicit diagnostics(const log_settings& settings) : logger_{settings} {}

    void log(const log_decision& line) override { logger_.write(line); }
    void measure(const measurement& value) override { metrics_.record(value); }

    [[nodiscard]] metrics_registry& metrics() noexcept { return metrics_; }

  private:
    decision_logger logger_;
    metrics_registry metrics_;
};

} // namespace jackdawvane
