#include "jackdawvane/configuration/key_registry.hpp"
#include "jackdawvane/node/peer.hpp"

#include <string>
#include <vector>

#include "platform/base64.hpp"
#include "platform/documents.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

constexpr const char* configuration = R"({"version":7,"routes":[{"name":"r","host":"db",
    "type":"bounded_staleness","timeout_ms":2000,"target_latency_ms":800,"priority":2,
    "service":"s","max_staleness_ms":1500,"public":false}],"services":[{"name":"s",
    "max_connections":22,"sync_replica_count":1}],"limits":{"tx_idle_ms":2500},
    "tenants":[{"name":"t","api_keys":["k1","k2"],"rate_per_s":144,"burst":20}]})";

TEST(Documents, DecodesTheOperatorsConfiguration) {
    std::vector<std::string> problems;
    const auto decoded = decode_configuration(configuration, problems);
    ASSERT_TRUE(decoded);
    const auto& document = decoded.value();
    EXPECT_EQ(document.revision, revision{7});
    const auto& route = document.routes.at(route_name{"db"});
    EXPECT_EQ(route.consistency, consistency_mode::bounded_staleness);
    EXPECT_EQ(route.deadline_ms, 2000U);
    EXPECT_EQ(route.max_staleness_ms, 1500U);
    EXPECT_EQ(route.transaction_idle_ms, 2500U);
    const auto& group = document.pools.at(route.pool).groups.at(group_id{"s"});
    EXPECT_EQ(group.connection_limit, 22U);
    EXPECT_EQ(group.sync_replicas, 1U);
    EXPECT_EQ(document.organisations.at(organisation_id{"t"}).rate, 144);
    EXPECT_EQ(document.keys.at(digest_of("k2")).organisation, organisation_id{"t"});
}

struct bad_document {
    const char* name;
    const char* text;
};

class BadConfiguration : public ::testing::TestWithParam<bad_document> {};

TEST_P(BadConfiguration, IsRefused) {
    std::vector<std::string> problems;
    EXPECT_FALSE(decode_configuration(GetParam().text, problems));
}

INSTANTIATE_TEST_SUITE_P(
    Documents, BadConfiguration,
    ::testing::Values(bad_document{"no_json", "{"}, bad_document{"no_version", R"({"routes":[]})"},
                      bad_document{"text_version", R"({"version":"7"})"},
                      bad_document{"nameless_service", R"({"version":1,"services":[{}]})"},
                      bad_document{
                          "unknown_type",
                          R"({"version":1,"routes":[{"host":"h","service":"s","type":"x"}]})"}),
    [](const auto& each) { return each.param.name; });

/// Guards against one invalid value that keeps a whole configuration from taking effect, or that
/// allows more regions than the operator wants.
TEST(Documents, InvalidValuesLeaveTheRestInEffect) {
    std::vector<std::string> problems;
    const auto decoded = decode_configuration(
        R"({"version":7,"routes":[{"host":"a","type":"primary","service":"s","priority":-1,
            "allowed_regions":"north"},{"host":"b","type":"primary","service":"s","priority":101,
            "allowed_regions":["north",7]},{"host":"c","type":"primary","service":"s",
            "priority":0,"allowed_regions":[]}],
            "services":[{"name":"s","warmup_per_s":-4},{"name":"u","warmup_per_s":40}],
            "tenants":[{"name":"t","allowed_regions":["south"]}]})",
        problems);
    ASSERT_TRUE(decoded);
    const auto& document = decoded.value();
    EXPECT_EQ(problems.size(), 5U);
    const auto& a = document.routes.at(route_name{"a"});
    EXPECT_EQ(a.priority, route_row{}.priority);
    EXPECT_EQ(a.allowed_regions, std::vector<region_id>{region_id{}});
    const auto& b = document.routes.at(route_name{"b"});
    EXPECT_EQ(b.priority, route_row{}.priority);
    EXPECT_EQ(b.allowed_regions.front(), region_id{"north"});
    EXPECT_TRUE(document.routes.at(route_name{"c"}).allowed_regions.empty());
    EXPECT_EQ(document.routes.at(route_name{"c"}).priority, 0U);
    EXPECT_EQ(document.pools.at(pool_name{"s"}).groups.at(group_id{"s"}).warm_up_rate, 0);
    EXPECT_EQ(document.pools.at(pool_name{"u"}).groups.at(group_id{"u"}).warm_up_rate, 40);
    EXPECT_EQ(document.organisations.at(organisation_id{"t"}).allowed_regions,
              std::vector<region_id>{region_id{"south"}});
}

constexpr const char* server = R"({"service":"s","address":"10.1.2.3:8080","zone":"z",
    "version":"v1","capacity":3,"state":"draining","warmup_remaining_ms":40,
    "db_role":"primary","sequence":4,"born":1700000000000})";

TEST(Documents, DecodesARegistration) {
    const auto decoded = decode_registration("i-1", server);
    ASSERT_TRUE(decoded);
    const auto& entry = decoded.value();
    EXPECT_EQ(entry.backend, backend_server_id{"i-1"});
    EXPECT_EQ(entry.group, group_id{"s"});
    EXPECT_EQ(entry.endpoint, (endpoint{"10.1.2.3", 8080}));
    EXPECT_EQ(entry.slots, 3U);
    EXPECT_TRUE(entry.leaving);
    EXPECT_EQ(entry.role, backend_role::primary);
    EXPECT_EQ(entry.warm_up_remaining, from_milliseconds(40));
    EXPECT_EQ(entry.started_at_ms, 1700000000000U);
}

// Entries that other writers put into the registry are not registrations of a usable backend
// server. They must be rejected without preventing the other entries from being read.
class BadRegistration : public ::testing::TestWithParam<bad_document> {};

TEST_P(BadRegistration, IsRefused) {
    EXPECT_FALSE(decode_registration("i-1", GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Documents, BadRegistration,
    ::testing::Values(bad_document{"bytes", "\x01\xff"}, bad_document{"list", "[]"},
                      bad_document{"missing_fields", R"({"service":"s"})"},
                      bad_document{"other_state",
                                   R"({"service":"s","address":"10.1.2.3:8","zone":"z","capacity":3,
                         "state":"asleep","db_role":"primary"})"},
                      bad_document{"no_port",
                                   R"({"service":"s","address":"10.1.2.3","zone":"z","capacity":3,
                         "state":"ready","db_role":"primary"})"},
                      bad_document{
                          "text_capacity",
                          R"({"service":"s","address":"10.1.2.3:8","zone":"z","capacity":"3",
                         "state":"ready","db_role":"primary"})"}),
    [](const auto& each) { return each.param.name; });

/// Guards against an entry that one VM accepts and others can't read: it made them drop every list
/// that the reader of the registry sent them.
TEST(Registration, CanBePassedOnToOtherVmsIfAccepted) {
    for (const auto* address : {"10.1.2.3:8080", "10.1.2.3:0", ":8080", "10.1.2.3:65535",
                                "10.1.2.3:65536", "host:80", "[::1]:80", "10.1.2.3:8080:"}) {
        const auto text =
            std::string{R"({"service":"s","zone":"z","capacity":3,"state":"ready",)"} +
            R"("db_role":"replica","address":")" + address + R"("})";
        const auto entry = decode_registration("i-1", text);
        if (!entry) {
            continue;
        }
        observation_reply reply;
        reply.directory = {entry.value()};
        EXPECT_TRUE(decode_peer_message(observation_reply::method, to_json(reply))) << address;
    }
    EXPECT_TRUE(decode_registration("i-1", server));
}

TEST(Base64, RoundTrip) {
    for (const auto* text : {"", "a", "ab", "abc", "node-1"}) {
        EXPECT_EQ(decode_base64(encode_base64(text)), text);
    }
    EXPECT_EQ(encode_base64("node-1"), "bm9kZS0x");
    EXPECT_EQ(decode_base64("not base64"), "");
}

} // namespace
} // namespace jackdawvane::platform
