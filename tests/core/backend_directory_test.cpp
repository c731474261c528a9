#include "jackdawvane/sessions/backend_directory.hpp"

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;
using testing::registration;

TEST(BackendDirectory, ServerThatIsMissingIsGone) {
    backend_directory directory;
    directory.update(at(0), at(0), 1, {registration("p"), registration("r1")});
    EXPECT_TRUE(directory.update(at(500), at(500), 2, {registration("p")}));
    EXPECT_EQ(directory.find(backend_server_id{"r1"}), nullptr);
}

// Registrations that expire while the store is unavailable are back within 2 s of its return.
TEST(BackendDirectory, ServerThatIsMissingAfterAnOutageIsKeptForAWhile) {
    backend_directory directory;
    directory.update(at(0), at(0), 1, {registration("p"), registration("r1")});
    directory.update(at(6000), at(6000), 2, {registration("p")});
    EXPECT_NE(directory.find(backend_server_id{"r1"}), nullptr);
    directory.update(at(8300), at(8300), 3, {registration("p")});
    EXPECT_EQ(directory.find(backend_server_id{"r1"}), nullptr);
}

/// Guards against servers that are dropped because the store came back from an older copy; VMs that
/// have the list from a peer see the new era in its version.
TEST(BackendDirectory, ServerThatIsMissingInANewEraOfTheStoreIsKeptForAWhile) {
    backend_directory directory;
    directory.update(at(0), at(0), make_version({1, 900}), {registration("p"), registration("r1")});
    directory.update(at(500), at(500), make_version({2, 300}), {registration("p")});
    EXPECT_NE(directory.find(backend_server_id{"r1"}), nullptr);
    directory.update(at(2800), at(2800), make_version({2, 310}), {registration("p")});
    EXPECT_EQ(directory.find(backend_server_id{"r1"}), nullptr);
}

TEST(BackendDirectory, OlderReadingChangesNothing) {
    backend_directory directory;
    directory.update(at(0), at(0), 5, {registration("p")});
    EXPECT_FALSE(directory.update(at(10), at(10), 4, {}));
    EXPECT_NE(directory.find(backend_server_id{"p"}), nullptr);
}

TEST(BackendDirectory, RemembersSinceWhenAServerLeaves) {
    backend_directory directory;
    auto leaving = registration("p");
    leaving.leaving = true;
    directory.update(at(0), at(0), 1, {leaving});
    directory.update(at(500), at(500), 2, {leaving});
    EXPECT_EQ(directory.find(backend_server_id{"p"})->leaving_since, at(0));
}

/// Guards against sending the list again to every VM after each heartbeat of a server: heartbeats
/// raise the registry's version without changing the list.
TEST(BackendDirectory, VersionIsThatOfTheLastChange) {
    backend_directory directory;
    directory.update(at(0), at(0), 5, {registration("p")});
    EXPECT_FALSE(directory.update(at(900), at(900), 9, {registration("p")}));
    EXPECT_EQ(directory.version(), 5U);
    EXPECT_EQ(directory.read_version(), 9U);
    directory.update(at(1800), at(1800), 12, {registration("p"), registration("r1")});
    EXPECT_EQ(directory.version(), 12U);
}

struct confirmation_case {
    const char* name;
    std::uint64_t changed;
    std::uint64_t read;
    bool confirmed;
};

class DirectoryConfirmations : public ::testing::TestWithParam<confirmation_case> {};

/// Guards against a list that counts as current although another VM has read a later change.
TEST_P(DirectoryConfirmations, HoldOnlyForTheSameList) {
    backend_directory directory;
    directory.update(at(0), at(0), 5, {registration("p")});
    directory.confirm(at(900), at(800), GetParam().changed, GetParam().read);
    EXPECT_EQ(directory.read_at(), GetParam().confirmed ? at(800) : at(0));
}

INSTANTIATE_TEST_SUITE_P(Directory, DirectoryConfirmations,
                         ::testing::Values(confirmation_case{"same", 5, 9, true},
                                           confirmation_case{"seen_earlier", 4, 9, true},
                                           confirmation_case{"later_change", 7, 9, false},
                                           confirmation_case{"older_reading", 3, 4, false}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

} // namespace
} // namespace jackdawvane
