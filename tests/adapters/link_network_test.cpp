#include "standins/jackdawvane-link/network.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

network sample_network() {
    return network{{{"mixco", {"127.1.1.", "central", false}},
                    {"nueva", {"127.1.2.", "central", false}},
                    {"xela", {"127.2.1.", "occidente", false}},
                    {"clients", {"127.9.", "", true}}},
                   {},
                   8'000'000};
}

struct path_case {
    const char* name;
    const char* from;
    const char* to;
    std::int64_t delay_us;
    bool cut; ///< Whether a cut between mixco and all other places applies.
};

class NetworkPaths : public testing::TestWithParam<path_case> {};

/// Guards against delays or cuts that differ from the configured ones.
TEST_P(NetworkPaths, HaveTheirDelayAndCut) {
    auto net = sample_network();
    const auto from = net.place_of(GetParam().from);
    const auto to = net.place_of(GetParam().to);
    EXPECT_EQ(net.delay(from, to).count(), GetParam().delay_us);
    net.cut({"mixco", "*"});
    EXPECT_EQ(net.is_cut(from, to), GetParam().cut);
    EXPECT_EQ(net.is_cut(to, from), GetParam().cut);
    net.heal({"*", "mixco"});
    EXPECT_FALSE(net.is_cut(from, to));
}

INSTANTIATE_TEST_SUITE_P(
    Network, NetworkPaths,
    testing::Values(path_case{"same_domain", "127.1.1.1", "127.1.1.9", 0, false},
                    path_case{"same_region", "127.1.1.1", "127.1.2.1", 500, true},
                    path_case{"other_domains", "127.1.2.1", "127.2.1.1", 8000, false},
                    path_case{"other_region", "127.2.1.1", "127.1.1.1", 8000, true},
                    path_case{"client", "127.9.0.1", "127.1.1.1", 3000, false},
                    path_case{"unknown", "127.0.0.1", "127.1.1.1", 0, false}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against inter-region traffic that does not compete for the shared bandwidth.
TEST(Network, RegionsShareOnePipeEachWay) {
    auto net = sample_network();
    const network::time now{};
    using std::chrono::milliseconds;
    EXPECT_EQ(net.send("mixco", "xela", 1000, now), now + milliseconds{9});
    EXPECT_EQ(net.send("nueva", "xela", 1000, now), now + milliseconds{10});
    EXPECT_EQ(net.send("xela", "nueva", 1000, now), now + milliseconds{9});
    EXPECT_EQ(net.inspect()["bytes"][0]["bytes"].asUInt(), 2000U);
}

} // namespace
} // namespace jackdawvane::standin
