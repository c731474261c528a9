#include "jackdawvane/adapters/metrics_registry.hpp"
#include "jackdawvane/adapters/settings_reader.hpp"

#include <utility>

#include "programs/jackdawvaned/daemon_settings.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr auto good = R"({
  // One VM of three.
  "vm": "vm-1",
  "region": "north",
  "failure_domain": "n1",
  "address": "127.0.0.1",
  "caller_port": 8080,
  "peer_port": 8081,
  "store": "127.0.0.2:7000",
  "seeds": ["127.0.0.3:8081"],
  "peer_secret": "0123456789abcdef"
})";

/// Guards against settings that are not passed on to the node.
TEST(Settings, OfTheDaemonBecomeNodeSettings) {
    settings_problems problems;
    const auto settings = read_settings<daemon_settings>(good, problems);
    ASSERT_TRUE(settings) << describe_problems("file", problems);
    const auto node = make_node_settings(*settings, {"127.0.0.1", 8080}, {"127.0.0.1", 8081},
                                         vm_incarnation{5}, 6);
    EXPECT_EQ(node.self.vm, vm_id{"vm-1"});
    EXPECT_EQ(node.self.caller, (endpoint{"127.0.0.1", 8080}));
    EXPECT_EQ(node.self.place.domain, failure_domain_id{"n1"});
    EXPECT_EQ(node.seeds.size(), 1U);
    EXPECT_EQ(node.lease_duration, node_settings{}.lease_duration);
}

/// Guards against a reader that reports only the first error, so that the operator needs a start
/// for each: all are reported, with their lines.
TEST(Settings, EveryMistakeIsReportedWithItsLine) {
    settings_problems problems;
    const auto settings = read_settings<daemon_settings>(R"({
  "vm": 7,
  "region": "north",
  "adress": "127.0.0.1",
  "caller_port": 70000,
  "store": "store:7000",
  "intervals": {
    "token_wait_ms": 0
  },
  "peer_secret": "short"
})",
                                                         problems);
    EXPECT_FALSE(settings);
    const auto text = describe_problems("vm.json", problems);
    for (const auto* const expected :
         {"vm.json:1: failure_domain is missing", "vm.json:1: address is missing",
          "vm.json:1: peer_port is missing", "vm.json:2: vm must be a string",
          "vm.json:4: adress is not a known key", "vm.json:5: caller_port must be a whole number",
          "vm.json:6: store must have an IP address",
          "vm.json:8: intervals.token_wait_ms must be above 0",
          "vm.json:10: peer_secret must have at least 16"}) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << " is not in\n" << text;
    }
}

/// Guards against a crash on text that is not JSON and on a file that does not exist.
TEST(Settings, UnreadableTextIsReported) {
    settings_problems problems;
    EXPECT_FALSE(read_settings<daemon_settings>("{", problems));
    EXPECT_FALSE(read_settings<daemon_settings>("[]", problems));
    EXPECT_FALSE(read_settings_file<daemon_settings>("/nowhere", problems));
    EXPECT_FALSE(problems.empty());
}

/// Guards against metrics that a scraper cannot read: counters add up, gauges replace, buckets
/// are cumulative and label values are escaped.
TEST(Metrics, TextFormat) {
    metrics_registry metrics;
    metrics.record({metric_kind::counter, "requests_total", "route", "a\"b", 1});
    metrics.record({metric_kind::counter, "requests_total", "route", "a\"b", 2});
    metrics.record({metric_kind::gauge, "vms", "", "", 4});
    metrics.record({metric_kind::gauge, "vms", "", "", 3});
    metrics.record({metric_kind::histogram, "latency_us", "", "", 5});
    metrics.record({metric_kind::histogram, "latency_us", "", "", 150});
    metrics.record({metric_kind::histogram, "latency_us", "", "", 1e9});
    const auto text = metrics.text();
    for (const auto* const expected :
         {"# TYPE jackdawvane_requests_total counter\n",
          "jackdawvane_requests_total{route=\"a\\\"b\"} 3\n", "jackdawvane_vms 3\n",
          "# TYPE jackdawvane_latency_us histogram\n",
          "jackdawvane_latency_us_bucket{le=\"+Inf\"} 3\n", "jackdawvane_latency_us_count 3\n",
          "# TYPE jackdawvane_build_info gauge\n", "jackdawvane_build_info{version=\"",
          "jackdawvane_process_cpu_seconds_total ", "jackdawvane_process_resident_memory_bytes "}) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << " is not in\n" << text;
    }
    EXPECT_NE(text.find("} 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("} 2\n"), std::string::npos) << text;
}

} // namespace
} // namespace jackdawvane
