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

// Registrations that lapse while the store is away are back within two seconds of its return.
TEST(BackendDirectory, ServerThatIsMissingAfterAnOutageIsKeptForAWhile) {
    backend_directory directory;
    directory.update(at(0), at(0), 1, {registration("p"), registration("r1")});
    directory.update(at(6000), at(6000), 2, {registration("p")});
    EXPECT_NE(directory.find(backend_server_id{"r1"}), nullptr);
    directory.update(at(8300), at(8300), 3, {registration("p")});
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

} // namespace
} // namespace jackdawvane
