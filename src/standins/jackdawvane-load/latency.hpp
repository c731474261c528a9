#pragma once

#include "standins/common/asio.hpp"
#include <boost/histogram.hpp>
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Histogram of durations from 10 µs to 100 s with bins about 1% wide.
class latency_histogram {
  public:
    latency_histogram();

    void add(steady_clock::duration value);
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    /// @brief Upper bound of the bin that holds the quantile @a share; 0 when empty.
    /// @return microseconds
    [[nodiscard]] double quantile(double share) const;
    /// @brief Count, median, 95%, 99% and highest value, in microseconds.
    [[nodiscard]] Json::Value summary() const;

  private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<axis>> bins_;
    std::uint64_t count_{0};
    double highest_{0};
};

} // namespace jackdawvane::standin
