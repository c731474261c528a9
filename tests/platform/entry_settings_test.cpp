#include <string>

#include "platform/entry_settings.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

const std::string settings_text = R"(// comment
{"vm":"a","address":"127.0.0.1","region":"r","failure_domain":"d",
 "regions":{"d":"r","e":"r","f":"s"},"session_listen":"127.0.0.1:1","ready_listen":"127.0.0.1:2",
 "peer_port":3,"peer_secret":"0123456789abcdef","store":"127.0.0.1:4","promotion":"127.0.0.1:5",
 "grace_s":6})";

TEST(EntrySettings, AreReadWithComments) {
    settings_problems problems;
    const auto settings = read_settings<entry_settings>(settings_text, problems);
    ASSERT_TRUE(settings) << describe_problems("text", problems);
    const auto proxy = make_proxy_settings(*settings, vm_incarnation{1}, 2);
    EXPECT_EQ(proxy.self.peer, (endpoint{"127.0.0.1", 3}));
    EXPECT_EQ(proxy.executor.grace, std::chrono::seconds{6});
    EXPECT_EQ(proxy.regions.at(failure_domain_id{"f"}), region_id{"s"});
    EXPECT_EQ(proxy.holders_per_domain, 3U);
    EXPECT_FALSE(evacuation_list{proxy.evacuations}.enabled());
}

TEST(EntrySettings, EvacuationTimeoutEnablesEvacuations) {
    auto text = settings_text;
    text.insert(text.rfind('}'), ",\"evacuation_timeout_ms\":5000");
    settings_problems problems;
    const auto settings = read_settings<entry_settings>(text, problems);
    ASSERT_TRUE(settings) << describe_problems("text", problems);
    EXPECT_EQ(make_proxy_settings(*settings, vm_incarnation{1}, 2).evacuations.timeout,
              std::chrono::seconds{5});
}

struct contract_effect {
    const char* contracts;
    bool queues_by_class;
    bool placement_by_load;
};

/// Guards against new behaviour on deployments that do not call for it.
class EntryContracts : public ::testing::TestWithParam<contract_effect> {};

TEST_P(EntryContracts, TurnBehaviourOn) {
    auto text = settings_text;
    text.insert(text.rfind('}'), std::string{",\"contracts\":"} + GetParam().contracts);
    settings_problems problems;
    const auto settings = read_settings<entry_settings>(text, problems);
    ASSERT_TRUE(settings) << describe_problems("text", problems);
    const auto proxy = make_proxy_settings(*settings, vm_incarnation{1}, 2);
    EXPECT_EQ(proxy.queues_by_class, GetParam().queues_by_class);
    EXPECT_EQ(proxy.executor.placement_by_load, GetParam().placement_by_load);
    EXPECT_EQ(proxy.owner.reports_load, GetParam().placement_by_load);
}

INSTANTIATE_TEST_SUITE_P(All, EntryContracts,
                         ::testing::Values(contract_effect{"[]", false, false},
                                           contract_effect{R"(["base","pressure"])", true, false},
                                           contract_effect{R"(["health","sql"])", false, true}));

TEST(EntrySettings, LargerFleetsHaveFewerHoldersPerDomain) {
    settings_problems problems;
    auto settings = read_settings<entry_settings>(settings_text, problems);
    ASSERT_TRUE(settings);
    for (const auto* domain : {"g", "h", "i"}) {
        settings->regions[domain] = "r";
    }
    const auto proxy = make_proxy_settings(*settings, vm_incarnation{1}, 2);
    EXPECT_EQ(proxy.holders_per_domain, 1U);
    EXPECT_EQ(proxy.max_holders, 3U);
}

struct invalid_setting {
    const char* name;
    const char* from;
    const char* to;
};

class EntrySettingsMistake : public ::testing::TestWithParam<invalid_setting> {};

TEST_P(EntrySettingsMistake, IsReported) {
    auto text = settings_text;
    text.replace(text.find(GetParam().from), std::string{GetParam().from}.size(), GetParam().to);
    settings_problems problems;
    EXPECT_FALSE(read_settings<entry_settings>(text, problems));
    EXPECT_FALSE(problems.empty());
}

INSTANTIATE_TEST_SUITE_P(
    EntrySettings, EntrySettingsMistake,
    ::testing::Values(invalid_setting{"no_vm", "\"vm\"", "\"vmx\""},
                      invalid_setting{"host_name", "127.0.0.1:4", "store:4"},
                      invalid_setting{"no_port", "127.0.0.1:5", "127.0.0.1"},
                      invalid_setting{"short_secret", "0123456789abcdef", "short"},
                      invalid_setting{"no_grace", "\"grace_s\":6", "\"grace_s\":0"}),
    [](const auto& each) { return each.param.name; });

} // namespace
} // namespace jackdawvane::platform
