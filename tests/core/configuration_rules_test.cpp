#include "jackdawvane/configuration/configuration_rules.hpp"

#include "core/configuration_samples.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

struct mistake_case {
    const char* name;
    const char* table;
    const char* row;
    const char* value; ///< JSON of the row; null deletes it.
    std::vector<const char*> keys;
};

class Mistakes : public testing::TestWithParam<mistake_case> {};

/// Guards against accepting a document with which requests would fail, and against validation that
/// stops at the first error.
TEST_P(Mistakes, AreAllReportedWithTheirKeys) {
    const auto& tested = GetParam();
    auto document = sample_document();
    std::vector<problem> problems;
    set_row(document, tested.table, tested.row, parse_json(tested.value).value(), problems);
    const auto found = validate(document);
    problems.insert(problems.end(), found.begin(), found.end());
    std::vector<std::string> keys;
    for (const auto& entry : problems) {
        EXPECT_FALSE(entry.remedy.empty()) << entry.text();
        keys.push_back(entry.key);
    }
    EXPECT_EQ(keys, (std::vector<std::string>{tested.keys.begin(), tested.keys.end()}));
}

const std::string digest_a(64, 'a');

INSTANTIATE_TEST_SUITE_P(
    ConfigurationRules, Mistakes,
    testing::Values(
        mistake_case{"separator_in_id", "routes", "a~b", R"({"pool":"p"})", {""}},
        mistake_case{"no_pool", "routes", "r", R"({"pool":"none"})", {"pool"}},
        mistake_case{"three_at_once",
                     "routes",
                     "r",
                     R"({"pool":"none","organisations":["who"],"deadline_ms":0})",
                     {"pool", "organisations", "deadline_ms"}},
        mistake_case{"same_group",
                     "pools",
                     "q",
                     R"({"groups":{"g1":{"backend_servers":{"b9":{"endpoint":"127.0.0.1:9",
                        "place":{"region":"r","failure_domain":"f"}}}}}})",
                     {"groups.g1"}},
        mistake_case{"same_server_and_endpoint",
                     "pools",
                     "q",
                     R"({"groups":{"g2":{"backend_servers":{"b1":{"endpoint":"127.0.0.1:7001",
                        "place":{"region":"r","failure_domain":"f"}}}}}})",
                     {"groups.g2.backend_servers.b1", "groups.g2.backend_servers.b1.endpoint"}},
        mistake_case{"limits",
                     "pools",
                     "q",
                     R"({"groups":{"g2":{"backend_servers":{"b2":{"endpoint":"127.0.0.1:9",
                        "slots":0,"connection_limit":7}}}}})",
                     {"groups.g2.backend_servers.b2.place", "groups.g2.backend_servers.b2.slots",
                      "groups.g2.backend_servers.b2.connection_limit"}},
        mistake_case{
            "rates", "organisations", "depot", R"({"rate":0,"burst":0.5})", {"rate", "burst"}},
        mistake_case{"key_without_organisation",
                     "keys",
                     digest_a.c_str(),
                     R"({"organisation":"who"})",
                     {"organisation"}},
        mistake_case{"digest", "keys", "AB", R"({"organisation":"depot"})", {""}},
        mistake_case{
            "type", "organisations", "depot", R"({"rate":"x","burst":2})", {"rate", "rate"}},
        mistake_case{"pool_in_use", "pools", "p", "null", {"pool"}},
        mistake_case{"table", "roots", "r", "{}", {""}}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a lost update: an edit based on an old row must not replace a newer row.
TEST(ConfigurationRules, EditOfAChangedRowConflictsWithBothValues) {
    auto edit = rate_edit("e1", "depot", 10, 20);
    const auto changed = apply(sample_document(), edit);
    ASSERT_TRUE(changed) << changed.error().message();
    EXPECT_EQ(changed.value().revision, sample_document().revision.next());
    edit.id = edit_id{"e2"};
    const auto conflicting = apply(changed.value(), edit);
    ASSERT_FALSE(conflicting);
    EXPECT_EQ(conflicting.error().kind, error_kind::conflict);
    EXPECT_NE(conflicting.error().detail.find("\"rate\":20.0"), std::string::npos);
    EXPECT_NE(conflicting.error().detail.find("\"rate\":10.0"), std::string::npos);
}

/// Guards against a revert that does not restore a row exactly or that lowers the revision.
TEST(ConfigurationRules, InverseRestoresTheRowsAtAHigherRevision) {
    const auto edit = rate_edit("e1", "depot", 10, 20);
    const auto changed = apply(sample_document(), edit).value();
    const auto back = apply(changed, inverse(edit, edit_id{"e2"}));
    ASSERT_TRUE(back) << back.error().message();
    EXPECT_EQ(write_json(to_json(back.value().organisations)),
              write_json(to_json(sample_document().organisations)));
    EXPECT_EQ(back.value().revision, changed.revision.next());
}

/// Guards against a document whose history grows past the store's value limit.
TEST(ConfigurationRules, HistoryIsBoundedInNumberAndSize) {
    auto document = sample_document();
    for (int i = 0; i < 250; ++i) {
        auto edit = rate_edit("e" + std::to_string(i), "depot", 10 + i, 11 + i);
        edit.operator_name = std::string(i < 240 ? 10 : 90'000, 'o');
        const auto changed = apply(document, edit);
        ASSERT_TRUE(changed) << changed.error().message();
        document = changed.value();
        ASSERT_LT(document_text(document).size(), max_document_bytes);
        ASSERT_LE(document.recent_edits.size(), max_recent_edits);
    }
    EXPECT_EQ(document.recent_edits.back().id, edit_id{"e249"});
    EXPECT_FALSE(has_all_edits_after(document, revision{2}));
    EXPECT_EQ(write_json(to_json(parse_document(document_text(document)).value())),
              document_text(document));
}

} // namespace
} // namespace jackdawvane
