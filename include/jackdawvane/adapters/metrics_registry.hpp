#pragma once

#include "jackdawvane/node/ports.hpp"

#include <memory>
#include <string>

namespace jackdawvane {

/// @brief Aggregates measurements and writes them in the Prometheus text format.
class metrics_registry {
  public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;
    ~metrics_registry();

    /// @brief Adds one observation. The first observation of a name sets the kind of the metric.
    /// @complexity logarithmic in the number of label values
    void record(const measurement& value);

    /// @brief All metrics, with the process's CPU time and memory, in the text format.
    [[nodiscard]] std::string text() const;

  private:
    struct family;
    struct families;
    std::unique_ptr<families> families_;
};

} // namespace jackdawvane
