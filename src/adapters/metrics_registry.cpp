#include "jackdawvane/adapters/metrics_registry.hpp"

#include "jackdawvane/foundation/code_version.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <map>
#include <unordered_map>

#include <boost/histogram/accumulators/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace jackdawvane {

namespace {

constexpr std::string_view prefix = "jackdawvane_";
// Six buckets per factor of ten between 10 us and 100 s: adjacent bounds differ by 47%.
constexpr int bucket_count = 42;
constexpr double lowest_us = 10;
constexpr double highest_us = 1e8;

auto make_latency_histogram() {
    namespace axis = boost::histogram::axis;
    return boost::histogram::make_histogram(
        axis::regular<double, axis::transform::log>{bucket_count, lowest_us, highest_us});
}

struct series {
    double value{0}; ///< Counter, gauge or the sum of a histogram.
    std::unique_ptr<decltype(make_latency_histogram())> histogram;
};

std::string number(double value) {
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

std::string escape(const std::string& text) {
    std::string escaped;
    for (const char each : text) {
        if (each == '\n') {
            escaped += "\\n";
            continue;
        }
        if (each == '"' || each == '\\') {
            escaped += '\\';
        }
        escaped += each;
    }
    return escaped;
}

const char* type_name(metric_kind kind) noexcept {
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::histogram:
        break;
    }
    return "histogram";
}

void append_header(std::string& out, const std::string& name, const char* type) {
    auto help = name;
    std::replace(help.begin(), help.end(), '_', ' ');
    out.append("# HELP ").append(prefix).append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(prefix).append(name).append(" ").append(type).append("\n");
}

void append_sample(std::string& out, const std::string& name, const std::string& labels,
                   double value) {
    out.append(prefix).append(name);
    if (!labels.empty()) {
        out.append("{").append(labels).append("}");
    }
    out.append(" ").append(number(value)).append("\n");
}

void append_histogram(std::string& out, const std::string& name, const std::string& labels,
                      const series& one) {
    const auto bucket = name + "_bucket";
    const auto bound_prefix = labels + (labels.empty() ? "le=\"" : ",le=\"");
    const auto& histogram = *one.histogram;
    const auto& axis = histogram.axis();
    double total = histogram.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
        total += histogram.at(i);
        append_sample(out, bucket, bound_prefix + number(axis.bin(i).upper()) + '"', total);
    }
    total += histogram.at(axis.size());
    append_sample(out, bucket, bound_prefix + "+Inf\"", total);
    append_sample(out, name + "_sum", labels, one.value);
    append_sample(out, name + "_count", labels, total);
}

double cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_bytes() {
    std::ifstream input{"/proc/self/statm"};
    double total_pages{0};
    double resident_pages{0};
    input >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

struct metrics_registry::family {
    metric_kind kind{metric_kind::counter};
    std::string label;
    std::map<std::string, series> by_label_value;
};

struct metrics_registry::families {
    std::map<std::string, family> by_name;
    /// Metric names have static storage, so a family is found by address without comparing text.
    std::unordered_map<const char*, family*> by_address;

    family& of(const measurement& value) {
        auto& cached = by_address[value.name];
        if (cached == nullptr) {
            const auto [position, added] = by_name.try_emplace(value.name);
            cached = &position->second;
            if (added) {
                cached->kind = value.kind;
                cached->label = value.label;
            }
        }
        return *cached;
    }
};

metrics_registry::metrics_registry() : families_{std::make_unique<families>()} {}

metrics_registry::~metrics_registry() = default;

void metrics_registry::record(const measurement& value) {
    auto& target = families_->of(value);
    auto& entry = target.by_label_value[value.label_value];
    if (target.kind == metric_kind::gauge) {
        entry.value = value.value;
        return;
    }
    entry.value += value.value;
    if (target.kind == metric_kind::histogram) {
        if (!entry.histogram) {
            entry.histogram =
                std::make_unique<decltype(make_latency_histogram())>(make_latency_histogram());
        }
        (*entry.histogram)(value.value);
    }
}

std::string metrics_registry::text() const {
    std::string out;
    for (const auto& [name, each] : families_->by_name) {
        append_header(out, name, type_name(each.kind));
        for (const auto& [label_value, entry] : each.by_label_value) {
            std::string labels;
            if (!each.label.empty()) {
                labels = each.label + "=\"" + escape(label_value) + "\"";
            }
            if (entry.histogram) {
                append_histogram(out, name, labels, entry);
            } else {
                append_sample(out, name, labels, entry.value);
            }
        }
    }
    append_header(out, "build_info", "gauge");
    append_sample(out, "build_info", "version=\"" + escape(code_version()) + '"', 1);
    append_header(out, "process_cpu_seconds_total", "counter");
    append_sample(out, "process_cpu_seconds_total", "", cpu_seconds());
    append_header(out, "process_resident_memory_bytes", "gauge");
    append_sample(out, "process_resident_memory_bytes", "", resident_bytes());
    return out;
}

} // namespace jackdawvane
