#include "jackdawvane/configuration/key_registry.hpp"

#include "core/configuration_samples.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Guards against digests that other tools cannot reproduce (FIPS 180-2 test vector).
TEST(KeyRegistry, DigestIsSha256) {
    EXPECT_EQ(digest_of("abc").str(),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

/// Guards against accepting a withdrawn key, and against accepting a digest as a key.
TEST(KeyRegistry, WithdrawnKeyIsRefusedOnTheNextRequest) {
    auto document = sample_document();
    const auto digest = digest_of("secret");
    document.keys[digest] = {organisation_id{"depot"}, "office"};
    key_registry keys{document};
    EXPECT_EQ(keys.authenticate("secret").value(), organisation_id{"depot"});
    EXPECT_EQ(keys.authenticate(digest.str()).error().kind, error_kind::unknown_key);
    EXPECT_EQ(keys.authenticate("").error().kind, error_kind::missing_key);
    document.keys.erase(digest);
    keys = key_registry{document};
    const auto withdrawn = keys.authenticate("secret");
    ASSERT_FALSE(withdrawn);
    EXPECT_EQ(withdrawn.error().kind, error_kind::unknown_key);
}

struct access_case {
    const char* name;
    bool open;
    std::vector<organisation_id> admitted;
    bool allowed;
};

class Access : public testing::TestWithParam<access_case> {};

/// Guards against running a request for an organisation that the route does not allow.
TEST_P(Access, FollowsTheRoute) {
    route_row route;
    route.open = GetParam().open;
    route.organisations = GetParam().admitted;
    EXPECT_EQ(authorise(route, organisation_id{"depot"}).has_value(), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(
    KeyRegistry, Access,
    testing::Values(access_case{"open", true, {}, true}, access_case{"all", false, {}, true},
                    access_case{"listed", false, {organisation_id{"depot"}}, true},
                    access_case{"other", false, {organisation_id{"harbour"}}, false}),
    [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
