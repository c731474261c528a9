#include "jackdawvane/routing/region_policy.hpp"
#include "jackdawvane/sessions/statement_executor.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using namespace testing; // NOLINT(google-build-using-namespace)

const region_id north{"north"};
const region_id south{"south"};

struct policy_case {
    const char* name;
    std::vector<region_id> route;
    std::vector<region_id> organisation;
    bool allows_north;
    bool allows_south;
};

class RegionPolicy : public ::testing::TestWithParam<policy_case> {};

TEST_P(RegionPolicy, BothRestrictionsApply) {
    route_row route;
    route.allowed_regions = GetParam().route;
    organisation_row organisation;
    organisation.allowed_regions = GetParam().organisation;
    const region_policy policy{route, &organisation};
    EXPECT_EQ(policy.allows(north), GetParam().allows_north);
    EXPECT_EQ(policy.allows(south), GetParam().allows_south);
    EXPECT_TRUE(policy.may_have_text(south, south)) << "the entry VM's region";
    EXPECT_EQ(policy.may_have_text(north, south), GetParam().allows_north);
    EXPECT_EQ(policy.allows(region_id{}), !policy.restricted()) << "the region of unknown domains";
}

INSTANTIATE_TEST_SUITE_P(
    RegionPolicies, RegionPolicy,
    ::testing::Values(policy_case{"none", {}, {}, true, true},
                      policy_case{"route", {north}, {}, true, false},
                      policy_case{"organisation", {}, {south}, false, true},
                      policy_case{"both", {north, south}, {north}, true, false},
                      policy_case{"disjoint", {north}, {south}, false, false},
                      policy_case{"unknown_name", {region_id{"x"}}, {}, false, false},
                      policy_case{"invalid_entry", {region_id{}}, {}, false, false}),
    [](const auto& tested) { return std::string{tested.param.name}; });

TEST(RegionPolicies, UnknownNamesAreReported) {
    configuration_document document;
    document.routes[route_name{"a"}].allowed_regions = {north, region_id{"x"}};
    document.organisations[organisation_id{"o"}].allowed_regions = {region_id{"y"}, region_id{}};
    const auto problems = unknown_regions(document, {{failure_domain_id{"d1"}, north}});
    EXPECT_EQ(problems.size(), 2U);
}

/// This VM, `a`, is in the region `south`; the primary `p` and `r1` are in `north`, `r2` in
/// `south`.
class AllowedRegions : public ::testing::Test {
  protected:
    void SetUp() override {
        fixture.state.regions = {{failure_domain_id{"d1"}, north},
                                 {failure_domain_id{"d2"}, south},
                                 {failure_domain_id{"d3"}, region_id{"west"}}};
        fixture.state.self.place = {south, failure_domain_id{"d2"}};
        fixture.state.live = {fixture.state.self};
        std::vector<backend_registration> servers{registration("p"), registration("r1"),
                                                  registration("r2")};
        servers.back().domain = failure_domain_id{"d2"};
        fixture.state.directory.update(at(0), at(0), 2, servers);
        fixture.start(0);
    }
    void allow(std::vector<region_id> regions) {
        auto document = session_configuration();
        document->routes[route_name{"db"}].allowed_regions = std::move(regions);
        fixture.state.configuration = document;
    }
    std::string server_of(std::int64_t milliseconds, statement next) {
        fixture.confirm_primary(milliseconds);
        fixture.send_statement(milliseconds, std::move(next));
        fixture.accept(milliseconds);
        const auto sent = fixture.commands();
        return sent.empty() ? "" : fixture.connected_servers[sent.front().first].str();
    }

    session_fixture fixture;
};

TEST_F(AllowedRegions, ReadsStayInTheAllowedRegions) {
    allow({north});
    EXPECT_EQ(server_of(10, make_statement(statement_kind::read, "READ 1")), "r1");
}

/// Guards against callers that wait for their timeout, and against a request that runs elsewhere.
TEST_F(AllowedRegions, WhatNoAllowedServerCanRunIsRefusedAtOnce) {
    for (const auto& [region, kind] :
         {std::pair{south, statement_kind::write}, {region_id{"west"}, statement_kind::read}}) {
        allow({region});
        EXPECT_EQ(server_of(10, make_statement(kind, "X 1")), "");
        const auto answers = fixture.answers();
        ASSERT_EQ(answers.size(), 1U);
        EXPECT_EQ(answers.front().problem, statement_error::busy);
        EXPECT_NE(answers.front().detail.find("retry_after_ms="), std::string::npos);
    }
}

/// Guards against one route's restriction that keeps the statements of another one waiting.
TEST_F(AllowedRegions, RestrictedStatementDoesNotBlockOthers) {
    allow({south});
    fixture.state.directory.update(at(0), at(0), 3, {registration("p"), registration("r1")});
    EXPECT_EQ(server_of(10, make_statement(statement_kind::read, "READ 1")), "");
    allow({});
    EXPECT_NE(server_of(20, make_statement(statement_kind::read, "READ 1")), "");
}

/// Guards against sending the text to the usual owner of a server's connections when that VM is in
/// a region that may not have it.
TEST_F(AllowedRegions, OwnerThatMayNotHaveTheTextIsPassedOver) {
    auto far = vm("b", "d3");
    far.place.region = region_id{"west"};
    auto near = vm("c", "d1");
    near.place.region = north;
    route_row route;
    route.allowed_regions = {north};
    const auto sent_to = [&](const region_policy& regions) {
        const auto lease = fixture.forwarder.acquire(at(1), backend_server_id{"p"}, regions);
        forwarded_statement statement;
        statement.lease = lease.value_or(connection_id{});
        statement.attempt = attempt_id{lease.value_or(connection_id{}).value()};
        statement.backend = backend_server_id{"p"};
        fixture.out.common.clear();
        fixture.forwarder.send(at(1), statement, fixture.out);
        for (const auto& each : fixture.out.common) {
            if (const auto* sent = std::get_if<send_to_peer>(&each)) {
                return sent->vm.str();
            }
        }
        return std::string{"a"};
    };
    fixture.state.live = {fixture.state.self, far, near};
    fixture.state.fleet_version = 1;
    EXPECT_EQ(sent_to(region_policy{route, nullptr}), "c");
    int passed_over = 0;
    // Without a VM in the server's region, any VM may be its owner.
    for (std::uint64_t version = 2; version < 20; ++version) {
        far.vm = vm_id{"b" + std::to_string(version)};
        fixture.state.live = {fixture.state.self, far};
        fixture.state.fleet_version = version;
        EXPECT_EQ(sent_to(region_policy{route, nullptr}), "a");
        passed_over += sent_to({}) == far.vm.str() ? 1 : 0;
    }
    EXPECT_GT(passed_over, 0) << "the usual owner was never in the other region";
}

} // namespace
} // namespace jackdawvane
