#include "standin_test.hpp"
#include "standins/jackdawvane-platform/platform_server.hpp"
#include <gtest/gtest.h>

namespace jackdawvane::standin {
namespace {

struct swap_case {
    const char* name;
    std::vector<std::uint64_t> versions; ///< Expected versions of successive swaps.
    std::vector<store_status> statuses;
};

class CompareAndSwap : public testing::TestWithParam<swap_case> {};

/// Guards against a lost update: a write that replaces a version which its writer has not read.
TEST_P(CompareAndSwap, WritesOnlyOnTheSeenVersion) {
    key_value_store store;
    for (std::size_t i = 0; i < GetParam().versions.size(); ++i) {
        store_request request;
        request.key = "config";
        request.version = GetParam().versions[i];
        EXPECT_EQ(store.compare_and_swap(request, {}).status, GetParam().statuses[i]) << i;
    }
}

constexpr auto ok = store_status::ok;
constexpr auto conflict = store_status::conflict;
INSTANTIATE_TEST_SUITE_P(Platform, CompareAndSwap,
                         testing::Values(swap_case{"in_turn", {0, 1, 2}, {ok, ok, ok}},
                                         swap_case{"created_twice", {0, 0}, {ok, conflict}},
                                         swap_case{"behind", {0, 1, 1}, {ok, ok, conflict}},
                                         swap_case{"ahead", {5, 0, 2}, {conflict, ok, conflict}}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against a lease that is readable after it expired, and against a version that decreases.
TEST(KeyValueStore, ExpiredLeaseIsNotFound) {
    using std::chrono::seconds;
    key_value_store store;
    const key_value_store::time start{};
    store_request lease;
    lease.key = "vms/a";
    lease.value = "1";
    lease.lease = seconds{5};
    const auto first = store.renew_lease(lease, start);
    EXPECT_EQ(store.renew_lease(lease, start + seconds{4}).version, first.version);
    EXPECT_EQ(store.read("vms/a", start + seconds{8}).status, ok);
    EXPECT_EQ(store.read("vms/a", start + seconds{9}).status, store_status::not_found);
    EXPECT_GT(store.renew_lease(lease, start + seconds{10}).version, first.version);
    store.release_lease(lease, start + seconds{11});
    EXPECT_EQ(store.read("vms/a", start + seconds{11}).status, store_status::not_found);
}

class PlatformServer : public testing::Test {
  protected:
    static platform_settings settings() {
        platform_settings settings;
        settings.listen = any_port();
        return settings;
    }
    Json::Value call(const char* text, milliseconds timeout = answer_timeout) {
        http_client client{io_, server_.local(), {}};
        return post(io_, client, "/store", json_of(text), timeout);
    }
    void control(const char* target, const char* text) {
        http_client client{io_, server_.local(), {}};
        post(io_, client, target, json_of(text));
    }
    /// @brief Sends the call @a waiting, runs @a change and returns the answer to the call.
    template <class Change>
    Json::Value call_around(const char* waiting, Change change) {
        http_client client{io_, server_.local(), {}};
        std::optional<Json::Value> answer;
        asio::co_spawn(io_, client.post("/store", json_of(waiting), answer_timeout),
                       [&](std::exception_ptr, Json::Value value) { answer = value; });
        change();
        while (!answer) {
            io_.run_one();
        }
        return *answer;
    }

    asio::io_context io_{1};
    platform_server server_{io_, settings()};
};

/// Guards against a watch that misses a change of its key.
TEST_F(PlatformServer, WatchAnswersOnChange) {
    const auto seen =
        call_around(R"({"operation":"watch","key":"config","version":0,"wait_us":30000000})", [&] {
            call(R"({"operation":"compare_and_swap","key":"config","value":"new"})");
        });
    EXPECT_EQ(seen["value"], "new");
}

/// Guards against a lost answer whose write did not take effect.
TEST_F(PlatformServer, LostAnswerHasTakenEffect) {
    control("/fault", R"({"lose_answers":1})");
    const char* const swap = R"({"operation":"compare_and_swap","key":"k","value":"1"})";
    EXPECT_TRUE(call(swap, no_answer_timeout).isNull());
    EXPECT_EQ(call(swap)["status"], "conflict");
    EXPECT_EQ(call(R"({"operation":"read","key":"k"})")["value"], "1");
}

/// Guards against an outage that still serves calls, and against one that does not end.
TEST_F(PlatformServer, OutageServesNothing) {
    const char* const read = R"({"operation":"read","key":"k"})";
    control("/fault", R"({"outage_ms":60000,"outage":"silent"})");
    EXPECT_TRUE(call(read, no_answer_timeout).isNull());
    control("/fault", R"({"outage_ms":60000,"outage":"error"})");
    EXPECT_TRUE(call(read).isMember("error"));
    control("/fault", R"({"outage_ms":0})");
    EXPECT_EQ(call(read)["status"], "not_found");
}

/// Guards against a VM list that shows a change before its lag has passed or not at all.
TEST_F(PlatformServer, VmListLags) {
    const char* const list = R"({"operation":"list_vms","version":1,"wait_us":30000000})";
    control("/fault", R"({"list_lag_ms":60000})");
    control("/vms", R"({"set":[{"vm":"late"}]})");
    const auto seen = call_around(list, [&] {
        control("/fault", R"({"list_lag_ms":0})");
        control("/vms", R"({"set":[{"vm":"prompt"}]})");
    });
    ASSERT_EQ(seen["vms"].size(), 1U);
    EXPECT_EQ(seen["vms"][0]["vm"], "prompt");
}

/// Guards against calls that are billed but missing from the counters, refused calls included.
TEST_F(PlatformServer, EveryCallIsCounted) {
    call(R"({"operation":"read","key":"k"})");
    control("/fault", R"({"writes_per_second":0})");
    call(R"({"operation":"renew_lease","key":"k"})");
    http_client client{io_, server_.local(), {}};
    const auto counts = run(io_, client.get("/inspect", answer_timeout));
    EXPECT_EQ(counts["calls"]["read"].asUInt(), 1U);
    EXPECT_EQ(counts["calls"]["renew_lease"].asUInt(), 1U);
    EXPECT_EQ(counts["refused"].asUInt(), 1U);
}

} // namespace
} // namespace jackdawvane::standin
