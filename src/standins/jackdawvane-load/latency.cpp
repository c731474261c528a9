#include "standins/jackdawvane-load/latency.hpp"

#include <algorithm>
#include <cmath>

namespace jackdawvane::standin {

namespace {

constexpr unsigned bin_count = 1600; // log(1e7) / log(1.01), so that a bin is 1% wide
constexpr double min_us = 10;
constexpr double max_us = 1e8;

} // namespace

latency_histogram::latency_histogram()
    : bins_{boost::histogram::make_histogram(axis{bin_count, min_us, max_us})} {}

void latency_histogram::add(steady_clock::duration value) {
    const double us = std::chrono::duration<double, std::micro>{value}.count();
    bins_(std::max(us, min_us));
    highest_ = std::max(highest_, us);
    ++count_;
}

double latency_histogram::quantile(double share) const {
    const double target_rank = std::max(1.0, std::ceil(share * static_cast<double>(count_)));
    double cumulative_count{0};
    for (const auto& bin : boost::histogram::indexed(bins_)) {
        cumulative_count += static_cast<double>(*bin);
        if (cumulative_count >= target_rank) {
            return std::min(bin.bin().upper(), highest_);
        }
    }
    return highest_;
}

Json::Value latency_histogram::summary() const {
    Json::Value json;
    json["count"] = Json::UInt64{count_};
    json["p50_us"] = std::round(quantile(0.5));
    json["p95_us"] = std::round(quantile(0.95));
    json["p99_us"] = std::round(quantile(0.99));
    json["max_us"] = std::round(highest_);
    return json;
}

} // namespace jackdawvane::standin
