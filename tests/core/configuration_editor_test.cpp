#include "jackdawvane/configuration/configuration_editor.hpp"

#include <deque>

#include "core/configuration_samples.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr std::uint64_t seed = 20'261'204;

/// Fault injected into one compare-and-swap of the fake store.
enum class fault { none, lost_before, lost_after, delayed };

/// Store with one key and a scripted sequence of write faults and stale reads.
struct fake_store {
    std::string value{document_text(sample_document())};
    std::uint64_t version{1};
    std::deque<fault> write_faults;
    std::deque<int> read_lags; ///< For each read, the number of versions by which it is stale.
    std::vector<std::string> old_values{""};
    std::vector<store_request> delayed;
    bool down{false};

    bool write(const store_request& request) {
        if (request.version != version) {
            return false;
        }
        old_values.push_back(value);
        value = request.value;
        ++version;
        return true;
    }
    store_answer read(const store_request& request) {
        const int lag = read_lags.empty() ? 0 : read_lags.front();
        if (!read_lags.empty()) {
            read_lags.pop_front();
        }
        if (lag == 0) {
            return {request.id, store_status::ok, value, version, {}};
        }
        const auto at = version - static_cast<std::uint64_t>(lag);
        return {request.id, store_status::ok, old_values.at(at), at, {}};
    }
    store_answer call(const store_request& request) {
        if (down) {
            return {request.id, store_status::unavailable, "", 0, {}};
        }
        if (request.operation == store_operation::read) {
            return read(request);
        }
        const auto now = write_faults.empty() ? fault::none : write_faults.front();
        if (!write_faults.empty()) {
            write_faults.pop_front();
        }
        if (now == fault::delayed) {
            delayed.push_back(request);
        }
        const bool reaches = now == fault::none || now == fault::lost_after;
        const bool written = reaches && write(request);
        if (now != fault::none) {
            return {request.id, store_status::unavailable, "", 0, {}};
        }
        return {request.id, written ? store_status::ok : store_status::conflict, "", version, {}};
    }
};

/// Editor of one operator, advanced one store call at a time.
struct tool {
    fake_store& store;
    id_sequence<request_id> ids;
    random_engine random{seed};
    configuration_editor editor{{}, ids, random};
    time_point now{};
    actions out;

    explicit tool(fake_store& shared) : store{shared} {}

    /// Executes one store call or advances the time to the next deadline.
    void step() {
        for (std::size_t i = 0; i < out.size(); ++i) {
            if (const auto* const request = std::get_if<store_request>(&out[i])) {
                const auto answer = store.call(*request);
                out.clear();
                editor.on_store(now, answer, out);
                return;
            }
        }
        out.clear();
        now = std::max(now, editor.next_deadline());
        editor.tick(now, out);
    }
    edit_outcome finish() {
        for (int i = 0; i < 1000 && !editor.outcome(); ++i) {
            step();
        }
        return editor.outcome().value_or(edit_outcome{});
    }
};

bool contains_edit(const fake_store& store, const char* id) {
    return find_edit(parse_document(store.value).value(), edit_id{id}) != nullptr;
}

struct loss_case {
    const char* name;
    std::deque<fault> faults;
    std::deque<int> lags;
    edit_state state;
};

class LostAnswers : public testing::TestWithParam<loss_case> {};

/// Guards against an outcome that contradicts the document: an edit reported as not accepted
/// that takes effect later, one reported as accepted that is missing, or one applied twice.
TEST_P(LostAnswers, OutcomeMatchesTheDocumentForGood) {
    fake_store store;
    store.write_faults = GetParam().faults;
    store.read_lags = GetParam().lags;
    tool operator_tool{store};
    operator_tool.editor.submit(operator_tool.now, rate_edit("e1", "depot", 10, 20),
                                operator_tool.out);
    const auto outcome = operator_tool.finish();
    EXPECT_EQ(outcome.state, GetParam().state) << outcome.problem.message() << " seed " << seed;
    const auto before = store.value;
    for (const auto& late : store.delayed) {
        store.write(late);
    }
    EXPECT_EQ(store.value, before) << "a delayed write took effect after the outcome was reported";
    if (outcome.state != edit_state::unsettled) {
        EXPECT_EQ(contains_edit(store, "e1"), outcome.state == edit_state::accepted);
    }
    EXPECT_EQ(parse_document(store.value).value().recent_edits.size(),
              contains_edit(store, "e1") ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    ConfigurationEditor, LostAnswers,
    testing::Values(
        loss_case{"before_the_effect", {fault::lost_before}, {}, edit_state::accepted},
        loss_case{"after_the_effect", {fault::lost_after}, {}, edit_state::accepted},
        loss_case{"delayed", {fault::delayed}, {}, edit_state::accepted},
        loss_case{"read_back_lags", {fault::lost_after}, {0, 1, 1}, edit_state::accepted},
        loss_case{"lost_repeatedly",
                  {fault::delayed, fault::lost_before, fault::delayed, fault::lost_after},
                  {},
                  edit_state::accepted}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against "not accepted" for a write that is still in flight at the time limit.
TEST(ConfigurationEditor, WriteUnderWayAtTheTimeLimitIsUnsettledAndCanBeAskedLater) {
    fake_store store;
    store.write_faults = {fault::delayed};
    tool first{store};
    first.editor.submit(first.now, rate_edit("e1", "depot", 10, 20), first.out);
    first.step();
    first.step();
    store.down = true;
    const auto outcome = first.finish();
    EXPECT_EQ(outcome.state, edit_state::unsettled);
    EXPECT_NE(outcome.problem.detail.find("settle e1"), std::string::npos);

    store.down = false;
    tool later{store};
    later.editor.settle(later.now, edit_id{"e1"}, revision{1}, later.out);
    EXPECT_EQ(later.finish().state, edit_state::not_accepted);
    EXPECT_FALSE(store.write(store.delayed.front())) << "the delayed write must not take effect";
}

struct race_case {
    const char* name;
    const char* row;
    edit_state second;
};

class Races : public testing::TestWithParam<race_case> {};

/// Guards against a lost update when two operators edit the same row, and against a needless
/// conflict when they edit different rows.
TEST_P(Races, DifferentRowsBothSucceedSameRowConflicts) {
    fake_store store;
    tool first{store};
    tool second{store};
    first.editor.submit(first.now, rate_edit("e1", "depot", 10, 20), first.out);
    second.editor.submit(second.now, rate_edit("e2", GetParam().row, 10, 30), second.out);
    first.step();
    second.step(); // Both have read the same version.
    EXPECT_EQ(first.finish().state, edit_state::accepted);
    const auto outcome = second.finish();
    EXPECT_EQ(outcome.state, GetParam().second);
    EXPECT_EQ(outcome.problem.kind,
              GetParam().second == edit_state::accepted ? error_kind::none : error_kind::conflict);
    const auto document = parse_document(store.value).value();
    EXPECT_EQ(document.organisations.at(organisation_id{"depot"}).rate, 20);
    EXPECT_EQ(document.revision.value(), GetParam().second == edit_state::accepted ? 3U : 2U);
}

INSTANTIATE_TEST_SUITE_P(ConfigurationEditor, Races,
                         testing::Values(race_case{"different_rows", "harbour",
                                                   edit_state::accepted},
                                         race_case{"same_row", "depot", edit_state::not_accepted}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against "not accepted" for a lost write that can still take effect because no edit of
/// another operator has increased the version.
TEST(ConfigurationEditor, ConflictAfterALostWriteIsDefinite) {
    fake_store store;
    store.write_faults = {fault::delayed};
    tool first{store};
    tool second{store};
    first.editor.submit(first.now, rate_edit("e1", "depot", 10, 20), first.out);
    first.step();
    first.step(); // The write is in flight.
    second.editor.submit(second.now, rate_edit("e2", "depot", 10, 30), second.out);
    EXPECT_EQ(second.finish().state, edit_state::accepted);
    const auto outcome = first.finish();
    EXPECT_EQ(outcome.state, edit_state::not_accepted);
    EXPECT_EQ(outcome.problem.kind, error_kind::conflict);
    EXPECT_FALSE(store.write(store.delayed.front()));
}

/// Guards against "unsettled" when no write was sent.
TEST(ConfigurationEditor, StoreDownFromTheStartIsNotAccepted) {
    fake_store store;
    store.down = true;
    tool operator_tool{store};
    operator_tool.editor.submit(operator_tool.now, rate_edit("e1", "depot", 10, 20),
                                operator_tool.out);
    const auto outcome = operator_tool.finish();
    EXPECT_EQ(outcome.state, edit_state::not_accepted);
    EXPECT_EQ(outcome.problem.kind, error_kind::store_unavailable);
}

} // namespace
} // namespace jackdawvane
