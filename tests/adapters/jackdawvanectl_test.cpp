#include "jackdawvane/configuration/key_registry.hpp"

#include <utility>

#include <fstream>
#include <sstream>
#include <thread>

#include "core/configuration_samples.hpp"
#include "programs/jackdawvanectl/commands.hpp"
#include "programs/jackdawvanectl/edit_file.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace jackdawvane::ctl {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Store and VMs on one loopback port, for one request per connection.
class fake_platform {
  public:
    fake_platform() : thread_{[this] { serve(); }} {}
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;
    ~fake_platform() {
        stopping = true;
        tcp::socket{context_}.connect(acceptor_.local_endpoint());
        thread_.join();
    }
    [[nodiscard]] endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    std::atomic<bool> stopping{false};
    std::atomic<int> lost_writes{0}; ///< Writes that take effect without an answer.
    std::string value{document_text(sample_document())};
    std::uint64_t version{1};
    std::vector<vm_entry> vms;

  private:
    void serve() {
        while (!stopping) {
            tcp::socket socket{context_};
            acceptor_.accept(socket);
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            boost::beast::error_code failed;
            http::read(socket, buffer, request, failed);
            if (failed) {
                continue;
            }
            const auto body = answer_to(request);
            if (body) {
                http::response<http::string_body> answer{http::status::ok, 11};
                answer.body() = *body;
                answer.prepare_payload();
                http::write(socket, answer, failed);
            }
        }
    }
    std::optional<std::string> answer_to(const http::request<http::string_body>& request) {
        if (request.target() == "/admin/status") {
            // The keys are those of the daemon: node_impl, owned_backends and backend_owner.
            return R"({"revision":1,"backend_servers":[{"backend_server":"b1","term":3,)"
                   R"("reachable":true,"status":{"role":"primary","position":9}}]})";
        }
        const auto call = from_json<store_request>(parse_json(request.body()).value()).value();
        store_answer answer{call.id, store_status::ok, value, version, vms};
        if (call.operation == store_operation::compare_and_swap) {
            if (call.version != version) {
                answer.status = store_status::conflict;
            } else {
                value = call.value;
                answer.version = ++version;
                if (lost_writes-- > 0) {
                    return std::nullopt;
                }
            }
        }
        return write_json(to_json(answer));
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_{context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

struct tool {
    fake_platform platform;
    operator_session session{platform.address(), "ana"};
    std::ostringstream out;
    commands on{session, out};
};

/// Guards against a key that is stored in clear, shown twice, or still works when withdrawn.
TEST(Jackdawvanectl, KeyIsGivenOnceAndWithdrawn) {
    tool used;
    ASSERT_EQ(used.on.give_key("depot", "office"), done) << used.out.str();
    const auto text = used.out.str();
    const auto key = text.substr(text.find("jdv-"), 52);
    const auto document = parse_document(used.platform.value).value();
    EXPECT_EQ(key_registry{document}.authenticate(key).value(), organisation_id{"depot"});
    EXPECT_EQ(used.platform.value.find(key), std::string::npos);
    EXPECT_EQ(used.on.withdraw_key(key), done);
    EXPECT_EQ(used.on.withdraw_key(key), not_accepted);
    const auto after = parse_document(used.platform.value).value();
    EXPECT_EQ(key_registry{after}.authenticate(key).error().kind, error_kind::unknown_key);
    EXPECT_EQ(used.on.undo(revision{3}), done);
    EXPECT_EQ(used.on.give_key("nobody", ""), not_accepted);
}

/// Guards against an accepted edit that is reported as lost when the store's answer is lost.
TEST(Jackdawvanectl, LostAnswerIsSettledByReadingBack) {
    tool used;
    used.platform.lost_writes = 1;
    EXPECT_EQ(used.on.give_key("depot", ""), done) << used.out.str();
    EXPECT_EQ(parse_document(used.platform.value).value().recent_edits.size(), 1U);
    EXPECT_EQ(used.on.settle("e1-0"), not_accepted);
}

/// Guards against a mistake whose place in the file the operator has to search for.
TEST(Jackdawvanectl, EveryMistakeIsReportedWithItsLine) {
    const auto edit = read_edit("// note\n{\"routes\": {\n\"r\": {\"pool\":\n\"none\"}},\n"
                                "\"organisations\": {\"depot\": {\"rate\": 1,\n\"burst\": 0}}}",
                                sample_document());
    ASSERT_TRUE(edit);
    ASSERT_EQ(edit.value().problems.size(), 2U);
    EXPECT_EQ(edit.value().problems[0].line, 4U);
    EXPECT_EQ(edit.value().problems[1].line, 6U);
}

/// Guards against a file that is applied in part, and against needless edits.
TEST(Jackdawvanectl, FileIsAppliedAsAWholeOrNotAtAll) {
    tool used;
    const auto path = testing::TempDir() + "jackdawvanectl_test.json";
    std::ofstream{path} << R"({"organisations":{"depot":{"rate":7,"burst":5},"x":{"rate":0}}})";
    EXPECT_EQ(used.on.apply_file(path), mistakes);
    EXPECT_EQ(used.platform.version, 1U);
    std::ofstream{path} << R"({"organisations":{"depot":{"rate":7,"burst":5},"harbour":null}})";
    EXPECT_EQ(used.on.check(path), done);
    EXPECT_EQ(used.platform.version, 1U);
    EXPECT_EQ(used.on.apply_file(path), done) << used.out.str();
    EXPECT_EQ(used.on.apply_file(path), done);
    EXPECT_EQ(used.platform.version, 2U);
    std::remove(path.c_str());
}

/// Guards against a revision that counts as in force at a VM that did not confirm it.
TEST(Jackdawvanectl, WhereAndStatusNameSilentVms) {
    tool used;
    used.platform.vms = {{vm_id{"vm-1"}, {"127.0.0.1", 1}, used.platform.address(), {}, {}}};
    EXPECT_EQ(used.on.where(revision{1}), done) << used.out.str();
    EXPECT_EQ(used.on.where(revision{2}), not_everywhere);
    used.platform.vms.push_back({vm_id{"vm-2"}, {"127.0.0.1", 1}, {"127.0.0.1", 1}, {}, {}});
    EXPECT_EQ(used.on.where(revision{1}), not_everywhere);
    EXPECT_NE(used.out.str().find("vm-2: not confirmed"), std::string::npos);
    EXPECT_EQ(used.on.status(), done);
    EXPECT_NE(used.out.str().find("primary, term 3, position 9, lag 0, owner vm-1"),
              std::string::npos);
}

} // namespace
} // namespace jackdawvane::ctl
