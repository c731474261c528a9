#include "jackdawvane/sessions/vm_registration.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;

/// Entry of VM a, written in era 1 of the store at 0 ms.
class VmRegistration : public ::testing::Test {
  protected:
    VmRegistration() { EXPECT_TRUE(answer_own(0, 1)); }

    /// Answers the request that is due at @a ms; false if none is.
    bool answer_own(int ms, std::uint64_t era) {
        actions out;
        own.tick(at(ms), out);
        return !out.empty() && learn(ms, std::get<store_request>(out.back()).id, era);
    }
    bool learn(int ms, request_id id, std::uint64_t era) {
        store_answer answer;
        answer.id = id;
        answer.status = store_status::ok;
        answer.era = era;
        return own.on_store(at(ms), answer);
    }

    id_sequence<request_id> ids;
    vm_registration own{{vm_id{"a"}, {}, {}, {}}, {}, ids};
    request_id of_others{1'000};
};

/// Guards against a VM that is missing from the list until its next renewal after a restore.
TEST_F(VmRegistration, EntryIsWrittenAgainAtOnceInANewEra) {
    EXPECT_FALSE(learn(100, of_others, 2));
    EXPECT_TRUE(answer_own(100, 2));
    EXPECT_FALSE(answer_own(150, 2));
}

TEST_F(VmRegistration, EntryIsWrittenOnceInAnEra) {
    EXPECT_FALSE(learn(100, of_others, 1));
    EXPECT_FALSE(answer_own(100, 1));
}

/// Guards against a renewal in flight at the restore after which the entry is not written again.
TEST_F(VmRegistration, RenewalInFlightAtTheRestoreIsRepeated) {
    actions out;
    own.tick(at(2'000), out);
    ASSERT_FALSE(out.empty());
    EXPECT_FALSE(learn(2'010, of_others, 2));
    store_answer lost;
    lost.id = std::get<store_request>(out.back()).id;
    lost.era = 2;
    EXPECT_TRUE(own.on_store(at(2'020), lost));
    EXPECT_TRUE(answer_own(2'420, 2));
}

} // namespace
} // namespace jackdawvane
