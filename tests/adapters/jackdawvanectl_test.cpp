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

/// Serves the store and the VMs on one loopback port, with one request per connection.
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
    std::atomic<int> lost_writes{0}; ///< Number of writes to apply without an answer.
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
            // Has the keys that node_impl, owned_backends and backend_owner of the daemon write.
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

struct ctl_fixture {
    fake_platform platform;
    operator_session session{platform.address(), "ana"};
    std::ostringstream out;
    commands runner{session, out};
};

/// Guards against a key that is stored in plain text, shown twice, or still accepted when
/// withdrawn.
TEST(Jackdawvanectl, KeyIsGivenOnceAndWithdrawn) {
    ctl_fixture fixture;
    ASSERT_EQ(fixture.runner.issue_key("depot", "office"), done) << fixture.out.str();
    const auto text = fixture.out.str();
    const auto key = text.substr(text.find("jdv-"), 52);
    const auto document = parse_document(fixture.platform.value).value();
    EXPECT_EQ(key_registry{document}.authenticate(key).value(), organisation_id{"depot"});
    EXPECT_EQ(fixture.platform.value.find(key), std::string::npos);
    EXPECT_EQ(fixture.runner.revoke_key(key), done);
    EXPECT_EQ(fixture.runner.revoke_key(key), not_accepted);
    const auto after = parse_document(fixture.platform.value).value();
    EXPECT_EQ(key_registry{after}.authenticate(key).error().kind, error_kind::unknown_key);
    EXPECT_EQ(fixture.runner.undo(revision{3}), done);
    EXPECT_EQ(fixture.runner.issue_key("nobody", ""), not_accepted);
}

/// Guards against reporting an accepted edit as failed when the store's answer to it is lost.
TEST(Jackdawvanectl, LostAnswerIsSettledByReadingBack) {
    ctl_fixture fixture;
    fixture.platform.lost_writes = 1;
    EXPECT_EQ(fixture.runner.issue_key("depot", ""), done) << fixture.out.str();
    EXPECT_EQ(parse_document(fixture.platform.value).value().recent_edits.size(), 1U);
    EXPECT_EQ(fixture.runner.settle("e1-0"), not_accepted);
}

/// Guards against errors in an edit file that are reported without their line.
TEST(Jackdawvanectl, EveryMistakeIsReportedWithItsLine) {
    const auto edit = read_edit("// note\n{\"routes\": {\n\"r\": {\"pool\":\n\"none\"}},\n"
                                "\"organisations\": {\"depot\": {\"rate\": 1,\n\"burst\": 0}}}",
                                sample_document());
    ASSERT_TRUE(edit);
    ASSERT_EQ(edit.value().problems.size(), 2U);
    EXPECT_EQ(edit.value().problems[0].line, 4U);
    EXPECT_EQ(edit.value().problems[1].line, 6U);
}

/// Guards against an edit file that is applied in part, and against edits that change nothing.
TEST(Jackdawvanectl, FileIsAppliedAsAWholeOrNotAtAll) {
    ctl_fixture fixture;
    const auto path = testing::TempDir() + "jackdawvanectl_test.json";
    std::ofstream{path} << R"({"organisations":{"depot":{"rate":7,"burst":5},"x":{"rate":0}}})";
    EXPECT_EQ(fixture.runner.apply_file(path), invalid_input);
    EXPECT_EQ(fixture.platform.version, 1U);
    std::ofstream{path} << R"({"organisations":{"depot":{"rate":7,"burst":5},"harbour":null}})";
    EXPECT_EQ(fixture.runner.check(path), done);
    EXPECT_EQ(fixture.platform.version, 1U);
    EXPECT_EQ(fixture.runner.apply_file(path), done) << fixture.out.str();
    EXPECT_EQ(fixture.runner.apply_file(path), done);
    EXPECT_EQ(fixture.platform.version, 2U);
    std::remove(path.c_str());
}

/// Guards against counting a revision as in force at a VM that did not confirm it.
TEST(Jackdawvanectl, WhereAndStatusNameSilentVms) {
    ctl_fixture fixture;
    fixture.platform.vms = {{vm_id{"vm-1"}, {"127.0.0.1", 1}, fixture.platform.address(), {}, {}}};
    EXPECT_EQ(fixture.runner.where(revision{1}), done) << fixture.out.str();
    EXPECT_EQ(fixture.runner.where(revision{2}), not_everywhere);
    fixture.platform.vms.push_back({vm_id{"vm-2"}, {"127.0.0.1", 1}, {"127.0.0.1", 1}, {}, {}});
    EXPECT_EQ(fixture.runner.where(revision{1}), not_everywhere);
    EXPECT_NE(fixture.out.str().find("vm-2: not confirmed"), std::string::npos);
    EXPECT_EQ(fixture.runner.status(), done);
    EXPECT_NE(fixture.out.str().find("primary, term 3, position 9, lag 0, owner vm-1"),
              std::string::npos);
}

} // namespace
} // namespace jackdawvane::ctl
