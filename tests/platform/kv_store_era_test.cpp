#include "jackdawvane/adapters/http_server.hpp"

#include <utility>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "platform/base64.hpp"
#include "platform/kv_store.hpp"
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

using std::chrono::milliseconds;

constexpr const char* key = "shares/1";
constexpr const char* write_path = "/kv-txn";
constexpr const char* read_path = "/kv-key";
constexpr const char* watch_path = "/kv-watch";
constexpr const char* list_path = "/kv-range";
constexpr const char* create_path = "/kv-lease";
constexpr const char* keep_path = "/kv-keep/5";
constexpr const char* end_path = "/kv-lease-end/5";

struct scripted_answer {
    std::string body;
    std::string era; ///< Header `Store-Era`; absent if empty.
    unsigned status{200};
};

std::string item_text(std::uint64_t revision) {
    return R"({"key":"jackdawvane/shares/1","value":")" + encode_base64("x") + R"(","revision":)" +
           std::to_string(revision) + R"(,"lease":0,"at_revision":)" + std::to_string(revision) +
           "}";
}

std::string written_text(std::uint64_t revision) {
    return R"({"revision":)" + std::to_string(revision) + "}";
}

std::string list_text(std::uint64_t revision, bool more = false) {
    return R"({"items":[{"key":"jackdawvane/fleet/a","value":"","revision":7}],"has_more":)" +
           std::string{more ? "true" : "false"} + R"(,"at_revision":)" + std::to_string(revision) +
           "}";
}

/// Store that answers by path, in the era that the test chooses, and the adapter that calls it.
class RestoredStore : public ::testing::Test {
  protected:
    store_answer call(store_operation operation, std::uint64_t version = 0) {
        store_request request;
        request.id = request_id{++calls};
        request.operation = operation;
        request.key = key;
        request.value = "x";
        request.version = version;
        request.wait = milliseconds{50};
        request.lease = milliseconds{4000};
        answers.clear();
        sent.clear();
        store.call(request);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
        while (answers.empty() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(milliseconds{20});
        }
        return answers.empty() ? store_answer{} : answers.front();
    }
    void set(const std::string& path, scripted_answer with) {
        script[path].clear();
        script[path].push_back(std::move(with));
    }
    store_answer read(std::uint64_t revision, const std::string& era) {
        set(read_path, {item_text(revision), era});
        return call(store_operation::read);
    }
    store_answer create_lease(const std::string& era, const std::string& write_era) {
        set(create_path, {R"({"lease":5,"ttl_ms":4000})", era});
        set(write_path, {written_text(8), write_era});
        set(keep_path, {"{}", era});
        return call(store_operation::renew_lease);
    }
    [[nodiscard]] bool was_sent(const std::string& path) const {
        return std::count(sent.begin(), sent.end(), path) > 0;
    }

    boost::asio::io_context context;
    std::map<std::string, std::vector<scripted_answer>> script; ///< The last answer repeats.
    std::vector<std::string> sent;
    std::uint64_t calls{0};
    std::vector<store_answer> answers;
    std::vector<std::string> logged;
    http_server server{context,
                       {{"127.0.0.1", 0}},
                       [this](const http_request_view& request, const http_responder& to) {
                           const auto path =
                               std::string{request.target().substr(0, request.target().find('?'))};
                           sent.push_back(path);
                           auto& left = script[path];
                           http_response response;
                           response.status = left.empty() ? 404 : left.front().status;
                           if (!left.empty()) {
                               response.body = left.front().body;
                               if (!left.front().era.empty()) {
                                   response.headers.push_back({"Store-Era", left.front().era});
                               }
                           }
                           if (left.size() > 1) {
                               left.erase(left.begin());
                           }
                           to.respond(std::move(response));
                       }};
    kv_store store{
        context,
        {server.local_endpoint(), {}},
        [this](store_answer&& each) { answers.push_back(std::move(each)); },
        [this](log_level /*level*/, std::string text) { logged.push_back(std::move(text)); }};
};

/// Guards against fencing tokens and versions that go back with the store's revisions.
TEST_F(RestoredStore, VersionsRiseAlthoughRevisionsGoBack) {
    const auto before = read(900, "1");
    const auto after = read(300, "2");
    ASSERT_EQ(after.status, store_status::ok);
    EXPECT_GT(after.version, before.version);
    EXPECT_LT(after.version, std::uint64_t{1} << 53U);
}

TEST_F(RestoredStore, VersionIsTheRevisionWithoutAnEra) {
    EXPECT_EQ(read(900, "").version, 900U);
}

/// Guards against an answer of the lost history that is applied after the restore.
TEST_F(RestoredStore, LateAnswerOfAnEarlierEraIsNoAnswer) {
    (void)read(300, "2");
    EXPECT_EQ(read(900, "1").status, store_status::unavailable);
    EXPECT_EQ(read(900, "").status, store_status::unavailable);
}

/// Guards against a write whose expected revision the store has given out again.
TEST_F(RestoredStore, ConditionOfAnEarlierEraIsAConflictWithoutACall) {
    const auto before = read(300, "1");
    (void)read(300, "2");
    set(write_path, {written_text(301), "2"});
    EXPECT_EQ(call(store_operation::compare_and_swap, before.version).status,
              store_status::conflict);
    EXPECT_FALSE(was_sent(write_path));
    const auto now = read(300, "2");
    const auto swapped = call(store_operation::compare_and_swap, now.version);
    EXPECT_EQ(swapped.status, store_status::ok);
    EXPECT_GT(swapped.version, now.version);
}

struct crossing_case {
    const char* name;
    unsigned status;
};

class RestoredStoreCrossing : public RestoredStore,
                              public ::testing::WithParamInterface<crossing_case> {};

/// Guards against trusting a condition that was judged by another history.
TEST_P(RestoredStoreCrossing, WriteAnsweredInANewerEraIsUnknown) {
    const auto before = read(300, "1");
    set(write_path, {written_text(301), "2", GetParam().status});
    EXPECT_EQ(call(store_operation::compare_and_swap, before.version).status,
              store_status::unavailable);
}

/// Guards against a lease or its end that belongs to another holder since the restore.
TEST_P(RestoredStoreCrossing, RenewalAnsweredInANewerEraIsUnknown) {
    ASSERT_EQ(create_lease("1", "1").status, store_status::ok);
    set(keep_path, {"{}", "2", GetParam().status});
    EXPECT_EQ(call(store_operation::renew_lease).status, store_status::unavailable);
}

INSTANTIATE_TEST_SUITE_P(RestoredStore, RestoredStoreCrossing,
                         ::testing::Values(crossing_case{"ok", 200}, crossing_case{"conflict", 412},
                                           crossing_case{"not_found", 404}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against renewing or ending a lease id that the store has given out again to another VM.
TEST_F(RestoredStore, LeaseOfAnEarlierEraIsForgotten) {
    ASSERT_EQ(create_lease("1", "1").status, store_status::ok);
    (void)read(300, "2");
    EXPECT_EQ(call(store_operation::keep_lease).status, store_status::not_found);
    EXPECT_FALSE(was_sent(keep_path));
    EXPECT_EQ(call(store_operation::release_lease).status, store_status::ok);
    EXPECT_FALSE(was_sent(end_path));
    ASSERT_EQ(create_lease("2", "2").status, store_status::ok);
    EXPECT_TRUE(was_sent(create_path));
    EXPECT_FALSE(was_sent(keep_path));
}

TEST_F(RestoredStore, KeyOfALeaseOfAnEarlierEraIsNotHeld) {
    EXPECT_EQ(create_lease("1", "2").status, store_status::unavailable);
    EXPECT_EQ(call(store_operation::keep_lease).status, store_status::not_found);
}

/// Guards against a watch past the end of the restored history, which would never be answered.
TEST_F(RestoredStore, WatchOfAnEarlierEraIsARead) {
    const auto before = read(300, "1");
    (void)read(200, "2");
    set(watch_path, {R"({"events":[],"at_revision":300})", "2"});
    const auto after = call(store_operation::watch, before.version);
    EXPECT_FALSE(was_sent(watch_path));
    EXPECT_GT(after.version, before.version);
}

TEST_F(RestoredStore, WatchAnsweredInANewerEraIsReadAgain) {
    const auto before = read(300, "1");
    set(watch_path, {R"({"events":[],"at_revision":200})", "2"});
    set(read_path, {item_text(200), "2"});
    const auto after = call(store_operation::watch, before.version);
    EXPECT_TRUE(was_sent(read_path));
    EXPECT_GT(after.version, before.version);
}

/// Guards against a list that is followed from a revision which the copy reaches again.
TEST_F(RestoredStore, ListOfVmsIsReadAgain) {
    set(list_path, {list_text(900), "1"});
    const auto before = call(store_operation::list_vms);
    (void)read(300, "2");
    set(list_path, {list_text(300), "2"});
    set(watch_path, {R"({"events":[],"at_revision":900})", "2"});
    const auto after = call(store_operation::list_vms, before.version);
    EXPECT_FALSE(was_sent(watch_path));
    EXPECT_TRUE(was_sent(list_path));
    EXPECT_GT(after.version, before.version);
}

TEST_F(RestoredStore, PagesOfTwoErasAreNoList) {
    script[list_path] = {{list_text(900, true), "1"}, {list_text(300), "2"}};
    EXPECT_EQ(call(store_operation::list_vms).status, store_status::unavailable);
}

/// Guards against a restore that leaves no trace, and against one line for each answer after it.
TEST_F(RestoredStore, RestoreIsLoggedOnceWithBothEras) {
    (void)read(900, "1");
    logged.clear();
    (void)read(300, "2");
    (void)read(301, "2");
    EXPECT_EQ(std::count_if(logged.begin(), logged.end(),
                            [](const auto& each) {
                                return each.find("from_era=1 to_era=2") != std::string::npos;
                            }),
              1);
}

} // namespace
} // namespace jackdawvane::platform
