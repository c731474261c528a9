#include "jackdawvane/adapters/http_server.hpp"

#include <utility>

#include <string>
#include <vector>

#include "platform/base64.hpp"
#include "platform/kv_store.hpp"
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace jackdawvane::platform {
namespace {

using std::chrono::milliseconds;

std::string registration_text(const std::string& address) {
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","capacity":3,"state":"ready","db_role":"replica"})";
}

std::string item(const std::string& key, const std::string& value) {
    return R"({"key":")" + key + R"(","value":")" + encode_base64(value) +
           R"(","revision":7,"created_revision":7,"lease":0})";
}

/// Store whose answers the test chooses, and the adapter that calls it.
class KvStore : public ::testing::Test {
  protected:
    store_answer call(store_operation operation) { return call(operation, store); }
    store_answer call(store_operation operation, kv_store& called) {
        store_request request;
        request.id = request_id{++calls};
        request.operation = operation;
        request.key = "shares/1";
        answers.clear();
        called.call(request);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{5};
        while (answers.empty() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(milliseconds{20});
        }
        return answers.empty() ? store_answer{} : answers.front();
    }

    boost::asio::io_context context;
    std::string body;
    std::string evacuations;
    unsigned evacuations_status{200};
    int requests{0};
    std::uint64_t calls{0};
    std::vector<store_answer> answers;
    std::vector<std::string> warnings;
    http_server server{context,
                       {{"127.0.0.1", 0}},
                       [this](const http_request_view& request, const http_responder& to) {
                           ++requests;
                           http_response response;
                           const auto target = std::string{request.target()};
                           const bool of_operator = target.find("evacuate") != std::string::npos;
                           response.body = of_operator ? evacuations : body;
                           response.status = of_operator ? evacuations_status : 200;
                           to.respond(std::move(response));
                       }};
    kv_store store{context,
                   {server.local_endpoint(), {}},
                   [this](store_answer&& each) { answers.push_back(std::move(each)); },
                   [this](log_level level, std::string text) {
                       if (level != log_level::info) {
                           warnings.push_back(std::move(text));
                       }
                   }};
};

struct odd_entry {
    const char* name;
    std::string item;
};

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string with_capacity(const std::string& capacity) {
    return R"({"service":"s","address":"10.1.2.3:8","zone":"z","capacity":)" + capacity +
           R"(,"state":"ready","db_role":"replica"})";
}

class OddRegistryEntry : public KvStore, public ::testing::WithParamInterface<odd_entry> {};

/// Guards against one entry of another writer that ends the VMs which read the list, or keeps them
/// or the VMs that they pass it on to from following it (report of other operators).
TEST_P(OddRegistryEntry, LeavesTheOtherEntriesInUse) {
    body = R"({"items":[)" + item("servers/i-1", registration_text("10.1.2.3:80")) + "," +
           GetParam().item + "," + item("servers/i-2", registration_text("10.1.2.4:80")) +
           R"(],"has_more":false,"at_revision":9})";
    const auto list = call(store_operation::list_backends);
    ASSERT_EQ(list.status, store_status::ok);
    ASSERT_EQ(list.backends.size(), 2U);
    EXPECT_EQ(list.backends.front().backend, backend_server_id{"i-1"});
    EXPECT_EQ(list.backends.back().backend, backend_server_id{"i-2"});
    EXPECT_FALSE(warnings.empty());
}

INSTANTIATE_TEST_SUITE_P(
    KvStore, OddRegistryEntry,
    ::testing::Values(
        odd_entry{"deeply_nested", item("servers/x", nested(100'000))},
        odd_entry{"deeply_nested_field",
                  item("servers/x", with_capacity("3,\"more\":" + nested(100'000)))},
        odd_entry{"number_beyond_64_bits",
                  item("servers/x", with_capacity("99999999999999999999999"))},
        odd_entry{"number_beyond_double", item("servers/x", with_capacity("1e999"))},
        odd_entry{"negative_number", item("servers/x", with_capacity("-1"))},
        odd_entry{"many_slots", item("servers/x", with_capacity("4294967295"))},
        odd_entry{"no_slots", item("servers/x", with_capacity("0"))},
        odd_entry{"port_above_range", item("servers/x", registration_text("10.1.2.3:65536"))},
        odd_entry{"port_far_above_range",
                  item("servers/x", registration_text("10.1.2.3:99999999999999999999"))},
        odd_entry{"port_zero", item("servers/x", registration_text("10.1.2.3:0"))},
        odd_entry{"negative_port", item("servers/x", registration_text("10.1.2.3:-1"))},
        odd_entry{"no_host", item("servers/x", registration_text(":80"))},
        odd_entry{"host_is_no_address", item("servers/x", registration_text("server one:80"))},
        odd_entry{"blank_in_id", item("servers/x y", registration_text("10.1.2.5:80"))},
        odd_entry{"line_end_in_id",
                  item("servers/x\\r\\nQUERY - WRITE a b", registration_text("10.1.2.5:80"))},
        odd_entry{"line_end_in_service",
                  item("servers/x", R"({"service":"s\r\nQUERY - WRITE a b","address":"10.1.2.5:8",
                       "zone":"z","capacity":3,"state":"ready","db_role":"replica"})")},
        odd_entry{"no_id", item("servers/", registration_text("10.1.2.5:80"))},
        odd_entry{"empty", item("servers/x", "")},
        odd_entry{"no_text", R"({"key":"servers/x","value":7,"revision":7})"},
        odd_entry{"no_base64", R"({"key":"servers/x","value":"%%%%","revision":7})"},
        odd_entry{"key_is_no_text", R"({"key":7,"value":"","revision":7})"},
        odd_entry{"no_object", "7"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

struct odd_answer {
    const char* name;
    store_operation operation;
    const char* body;
};

class OddStoreAnswer : public KvStore, public ::testing::WithParamInterface<odd_answer> {};

/// Guards against an answer of the store in another form that ends the process.
TEST_P(OddStoreAnswer, IsAnAnswerToTheCall) {
    body = GetParam().body;
    const auto answer = call(GetParam().operation);
    EXPECT_EQ(answer.id, request_id{calls});
}

INSTANTIATE_TEST_SUITE_P(
    KvStore, OddStoreAnswer,
    ::testing::Values(
        odd_answer{"list_is_an_array", store_operation::list_backends, "[]"},
        odd_answer{"list_is_a_text", store_operation::list_vms, R"("x")"},
        odd_answer{"items_are_a_number", store_operation::list_backends, R"({"items":7})"},
        odd_answer{"items_are_numbers", store_operation::list_vms, R"({"items":[7,"x",null]})"},
        odd_answer{"value_is_an_array", store_operation::read, "[7]"},
        odd_answer{"write_is_a_text", store_operation::compare_and_swap, R"("x")"},
        odd_answer{"lease_is_an_array", store_operation::renew_lease, "[]"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

class KvStoreEvacuations : public KvStore {
  protected:
    KvStoreEvacuations() {
        body = R"({"items":[)" + item("servers/i-1", registration_text("10.1.2.3:80")) +
               R"(],"has_more":false,"at_revision":9})";
    }
    kv_store reader{context,
                    {server.local_endpoint(), {}, milliseconds{1200}, true},
                    [this](store_answer&& each) { answers.push_back(std::move(each)); },
                    [this](log_level level, std::string text) {
                        if (level != log_level::info) {
                            warnings.push_back(std::move(text));
                        }
                    }};
};

/// Guards against one key of another form that hides the others, or is logged at each read.
TEST_F(KvStoreEvacuations, AreReadWithTheServers) {
    evacuations = R"({"items":[)" + item("op/evacuate/z1", "{}") + "," +
                  item("op/evacuate/", "{}") + "," + item("op/evacuate/z 2", "{}") + "," +
                  item("op/evacuate/z3", "no JSON") + R"(],"has_more":false,"at_revision":11})";
    for (int i = 0; i < 2; ++i) {
        const auto list = call(store_operation::list_backends, reader);
        ASSERT_EQ(list.status, store_status::ok);
        EXPECT_EQ(list.backends.size(), 1U);
        ASSERT_TRUE(list.evacuations);
        EXPECT_EQ(list.evacuations->version, 11U);
        EXPECT_EQ(
            list.evacuations->domains,
            (std::vector<failure_domain_id>{failure_domain_id{"z1"}, failure_domain_id{"z3"}}));
    }
    EXPECT_EQ(warnings.size(), 2U);
}

/// Guards against an empty list in place of the last one when the store fails partway.
TEST_F(KvStoreEvacuations, AreAbsentWhenTheirReadFails) {
    evacuations_status = 503;
    const auto list = call(store_operation::list_backends, reader);
    EXPECT_EQ(list.status, store_status::ok);
    EXPECT_EQ(list.backends.size(), 1U);
    EXPECT_FALSE(list.evacuations);
}

/// Guards against further store calls on deployments without evacuations.
TEST_F(KvStoreEvacuations, CostNoCallWhereTheyAreNotEnabled) {
    EXPECT_FALSE(call(store_operation::list_backends).evacuations);
    EXPECT_EQ(requests, 1);
}

/// Guards against reading the first page of a list for ever when its last item has no key.
TEST_F(KvStore, PageWithoutALastKeyIsAnIncompleteList) {
    body = R"({"items":[{"value":""}],"has_more":true,"at_revision":9})";
    EXPECT_EQ(call(store_operation::list_backends).status, store_status::unavailable);
    EXPECT_EQ(requests, 1);
}

} // namespace
} // namespace jackdawvane::platform
