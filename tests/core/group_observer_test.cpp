#include "jackdawvane/membership/placement.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

#include <utility>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "session_fixture.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using testing::at;
using testing::point;
using testing::primary_status;
using testing::registration;
using testing::replica_status;

constexpr std::size_t vm_count = 60;
constexpr std::size_t group_count = 20;

std::string two_digits(std::size_t value) {
    return std::to_string(value / 10) + std::to_string(value % 10);
}

group_id group_at(std::size_t index) {
    return group_id{"g" + two_digits(index)};
}

/// Live VMs of one region.
std::vector<vm_entry> region() {
    std::vector<vm_entry> live;
    for (std::size_t i = 0; i < vm_count; ++i) {
        live.push_back({vm_id{"vm" + two_digits(i)},
                        {"10.0.0." + std::to_string(i), 1},
                        {"10.0.0." + std::to_string(i), 2},
                        {region_id{"r"}, failure_domain_id{"d" + std::to_string(i % 3)}},
                        vm_state::live});
    }
    return live;
}

std::vector<backend_registration> registry() {
    std::vector<backend_registration> all;
    for (std::size_t i = 0; i < group_count; ++i) {
        for (const char* server : {"a", "b", "c"}) {
            auto entry = registration((group_at(i).str() + server).c_str());
            entry.group = group_at(i);
            entry.domain = failure_domain_id{"d0"};
            all.push_back(entry);
        }
    }
    return all;
}

/// One VM with only its observer.
struct observing_vm {
    explicit observing_vm(std::size_t index) : observer{state, {}, connections, requests} {
        state.live = region();
        state.self = state.live[index];
        state.fleet_version = 1;
        for (const char* domain : {"d0", "d1", "d2"}) {
            state.regions[failure_domain_id{domain}] = region_id{"r"};
        }
        auto document = std::make_shared<configuration_document>();
        document->organisations[organisation_id{"o"}] = {};
        state.configuration = document;
        state.directory.update(at(0), at(0), 1, registry());
        state.update_group_members();
    }

    proxy_output tick(time_point now) {
        proxy_output out;
        observer.tick(now, out);
        observer.query_awaited_groups(now, out);
        return out;
    }

    static std::vector<send_to_peer> queries(const proxy_output& out) {
        std::vector<send_to_peer> found;
        for (const auto& each : out.common) {
            const auto* sent = std::get_if<send_to_peer>(&each);
            if (sent != nullptr && std::holds_alternative<observation_query>(sent->message)) {
                found.push_back(*sent);
            }
        }
        return found;
    }
    static std::size_t opened(const proxy_output& out) {
        return static_cast<std::size_t>(
            std::count_if(out.sessions.begin(), out.sessions.end(), [](const auto& each) {
                return std::holds_alternative<open_server_connection>(each);
            }));
    }

    fleet_state state;
    id_sequence<connection_id> connections;
    id_sequence<request_id> requests;
    group_observer observer;
};

/// Guards against connections and status requests whose number grows with the fleet, and against
/// one VM that observes all groups.
TEST(GroupObserver, EachGroupHasOneObserverInARegion) {
    std::size_t connections = 0;
    std::size_t most = 0;
    for (std::size_t i = 0; i < vm_count; ++i) {
        observing_vm vm{i};
        const auto opened = observing_vm::opened(vm.tick(at(10)));
        connections += opened;
        most = std::max(most, opened);
    }
    EXPECT_EQ(connections, group_count * 3);
    EXPECT_LE(most, 4U * 3U);
}

/// Guards against unnecessary queries: a VM with few callers would send more queries than it
/// serves statements.
TEST(GroupObserver, AsksOnlyAboutGroupsThatStatementsWaitFor) {
    observing_vm vm{7};
    std::size_t query_count = 0;
    for (int ms = 0; ms < 10'000; ms += 25) {
        for (const auto& sent : observing_vm::queries(vm.tick(at(ms)))) {
            const auto& query = std::get<observation_query>(sent.message);
            EXPECT_TRUE(query.groups.empty());
            ++query_count;
            proxy_output out;
            observation_reply reply;
            reply.number = query.number;
            reply.directory_version = 1;
            reply.directory_read_version = 1;
            vm.observer.on_answer(at(ms), sent.vm, reply, out);
        }
    }
    EXPECT_LE(query_count, 12U);
    vm.state.groups_awaiting_evidence = {group_at(3), group_at(4)};
    std::set<group_id> asked;
    for (const auto& sent : observing_vm::queries(vm.tick(at(10'000)))) {
        const auto& groups = std::get<observation_query>(sent.message).groups;
        asked.insert(groups.begin(), groups.end());
    }
    EXPECT_EQ(asked, (std::set<group_id>{group_at(3), group_at(4)}));
    vm.state.groups_awaiting_evidence = {group_at(3)};
    EXPECT_TRUE(observing_vm::queries(vm.tick(at(10'010))).empty())
        << "queried again before query_interval had passed";
}

/// Guards against a group that all VMs begin to observe, because the VM that they query does not
/// regard itself as its observer.
TEST(GroupObserver, VmThatIsAskedBeginsToObserve) {
    observing_vm vm{7};
    const auto other = vm.state.live[8].vm;
    const auto own = observing_vm::opened(vm.tick(at(0)));
    proxy_output out;
    vm.observer.on_query(at(10), other, {1, 1, {group_at(3)}}, out);
    EXPECT_EQ(observing_vm::opened(vm.tick(at(10))), own == 0 ? 3U : 0U);
    const auto later = vm.tick(at(4'000));
    const auto closed =
        std::count_if(later.sessions.begin(), later.sessions.end(), [](const auto& each) {
            return std::holds_alternative<close_server_connection>(each);
        });
    EXPECT_GE(closed, own == 0 ? 3 : 0);
}

/// Guards against a hold on behalf of the failover coordinator that never reaches the replica.
TEST(GroupObserver, HoldsAReplicaOnBehalfOfAnotherVm) {
    observing_vm vm{7};
    const auto other = vm.state.live[8].vm;
    proxy_output out;
    vm.observer.on_query(at(0), other, {1, 1, {group_at(3)}}, out);
    const auto opened = vm.tick(at(10));
    for (const auto& each : opened.sessions) {
        if (const auto* start = std::get_if<open_server_connection>(&each)) {
            vm.observer.on_ready(at(11), {start->connection, {}}, out);
        }
    }
    out.sessions.clear();
    vm.observer.on_query(at(20), other, {2, 1, {group_at(3)}, {backend_server_id{"g03b"}}, term{2}},
                         out);
    ASSERT_EQ(out.sessions.size(), 1U);
    const auto& command = std::get<send_to_server>(out.sessions.front()).commands.front();
    EXPECT_EQ(command.kind, command_kind::hold);
    EXPECT_EQ(command.term, term{2});
}

/// Guards against a first answer that does not yet allow a read: the log position of the primary is
/// recorded only with a proof, and the answer may list the primary before the replicas.
TEST(GroupObserver, OneAnswerProvesThePrimaryAndItsPosition) {
    observing_vm vm{7};
    vm.state.groups_awaiting_evidence = {group_at(3)};
    const auto sent = observing_vm::queries(vm.tick(at(100)));
    const auto asked = std::find_if(sent.begin(), sent.end(), [](const auto& each) {
        return !std::get<observation_query>(each.message).groups.empty();
    });
    ASSERT_NE(asked, sent.end());
    observation_reply reply;
    reply.number = std::get<observation_query>(asked->message).number;
    const auto g = group_at(3);
    reply.members = {{backend_server_id{"g03a"}, g, primary_status(1, point(1, 5)), duration{0}},
                     {backend_server_id{"g03b"}, g, replica_status(1, point(1, 5)), duration{0}}};
    proxy_output out;
    vm.observer.on_answer(at(101), asked->vm, reply, out);
    EXPECT_TRUE(vm.state.leadership(g).confirmed(at(101)));
    EXPECT_TRUE(vm.state.leadership(g).point_covering(at(100)));
}

/// Guards against a VM that keeps querying an observer that does not answer.
TEST(GroupObserver, SilentObserverIsPassedOver) {
    observing_vm vm{7};
    std::set<vm_id> asked;
    for (int ms = 0; ms < 1'000; ms += 25) {
        vm.state.groups_awaiting_evidence = {group_at(3)};
        for (const auto& sent : observing_vm::queries(vm.tick(at(ms)))) {
            if (!std::get<observation_query>(sent.message).groups.empty()) {
                asked.insert(sent.vm);
            }
        }
    }
    EXPECT_GE(asked.size(), 3U);
}

/// Guards against an old status that counts as new: the row of a status answer that was cut off
/// came before that of the next one (issue 31).
TEST(GroupObserver, AnswerWithRowsOfAnotherOneIsNoEvidence) {
    observing_vm vm{7};
    const auto g = group_at(3);
    proxy_output out;
    vm.observer.on_query(at(0), vm.state.live[8].vm, {1, 1, {g}}, out);
    const auto opened = vm.tick(at(10));
    for (const auto& each : opened.sessions) {
        if (const auto* start = std::get_if<open_server_connection>(&each)) {
            vm.observer.on_ready(at(11), {start->connection, {}}, out);
        }
    }
    std::size_t answered = 0;
    const auto later = vm.tick(at(300));
    for (const auto* from : {&opened, &later}) {
        for (const auto& each : from->sessions) {
            const auto* sent = std::get_if<send_to_server>(&each);
            if (sent == nullptr) {
                continue;
            }
            ++answered;
            server_replied reply{sent->connection, {}, replica_status(1, point(1, 5))};
            reply.reply.rows = {"old", "own"};
            vm.observer.on_reply(at(301), reply, out);
        }
    }
    ASSERT_GT(answered, 0U);
    EXPECT_EQ(vm.observer.heard(), time_point{});
    const auto answers = vm.observer.take_answers();
    EXPECT_FALSE(answers.empty());
    EXPECT_TRUE(std::none_of(answers.begin(), answers.end(),
                             [](const auto& each) { return each.status.has_value(); }));
}

/// Guards against a status that counts as newer than it is: the second answer to a question was
/// taken for the answer to the next one (issue 37).
TEST(GroupObserver, EvidenceOfAConnectionIsWithdrawnAfterASecondAnswer) {
    observing_vm vm{7};
    const auto g = group_at(3);
    const backend_server_id primary{g.str() + "a"};
    const backend_server_id doubling{g.str() + "b"};
    std::map<connection_id, backend_server_id> servers;
    proxy_output out;
    vm.observer.on_query(at(0), vm.state.live[8].vm, {1, 1, {g}}, out);
    const auto status_of = [&](const backend_server_id& server) {
        return server == primary ? primary_status(1, point(1, 5)) : replica_status(1, point(1, 5));
    };
    const auto run = [&](std::int64_t from, std::int64_t until) {
        for (auto time = from; time < until; time += 25) {
            for (const auto& each : vm.tick(at(time)).sessions) {
                if (const auto* start = std::get_if<open_server_connection>(&each)) {
                    servers[start->connection] = start->expected;
                    vm.observer.on_ready(at(time), {start->connection, {}}, out);
                } else if (const auto* sent = std::get_if<send_to_server>(&each)) {
                    vm.observer.on_reply(
                        at(time), {sent->connection, {}, status_of(servers.at(sent->connection))},
                        out);
                }
            }
        }
    };
    run(25, 1000);
    auto& leadership = vm.state.leadership(g);
    ASSERT_TRUE(leadership.confirmed(at(1000)));
    for (const auto& [connection, server] : std::map{servers}) {
        if (server == doubling) {
            vm.observer.on_reply(at(1000), {connection, {}, status_of(server)}, out);
        }
    }
    EXPECT_FALSE(leadership.confirmed(at(1000)));
    out = {};
    vm.observer.on_query(at(1000), vm.state.live[8].vm, {2, 1, {g}}, out);
    for (const auto& each : out.common) {
        const auto* sent = std::get_if<send_to_peer>(&each);
        const auto* reply =
            sent == nullptr ? nullptr : std::get_if<observation_reply>(&sent->message);
        if (reply != nullptr) {
            EXPECT_TRUE(std::none_of(reply->members.begin(), reply->members.end(),
                                     [&](const auto& own) { return own.backend == doubling; }));
        }
    }
    run(1025, 1500);
    EXPECT_TRUE(leadership.confirmed(at(1500))) << "all servers have been asked again";
}

/// VMs of one region and the store, with instant delivery of messages and answers.
class observing_fleet {
  public:
    observing_fleet() {
        for (std::size_t i = 0; i < vm_count; ++i) {
            vms_.push_back(std::make_unique<observing_vm>(i));
        }
    }

    /// Makes the store unavailable for the first @a count VMs that are ranked as reader.
    void set_store_unavailable_for_readers(std::size_t count) {
        const auto& state = vms_.front()->state;
        const auto readers =
            region_delegates(group_observer::task, region_id{"r"}, state.live, count);
        store_unavailable_for_ = {readers.begin(), readers.end()};
    }
    void set_leaving(std::size_t server) { list_[server].leaving = true; }
    void run(int from_ms, int until_ms) {
        for (int ms = from_ms; ms < until_ms; ms += 25) {
            ++version_; // As by the heartbeats of the servers.
            for (auto& vm : vms_) {
                carry_out(at(ms), *vm, vm->tick(at(ms)));
            }
        }
    }
    /// Number of VMs that do not know that @a server is leaving.
    [[nodiscard]] std::size_t unaware(std::size_t server) const {
        return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [&](auto& vm) {
            return !vm->state.directory.find(list_[server].backend)->registration.leaving;
        }));
    }
    void enable_evacuations() {
        for (auto& vm : vms_) {
            vm->state.evacuations = evacuation_list{{std::chrono::seconds{5}, {}}};
        }
    }
    /// The domain `d0` is evacuated from the next read of the store on.
    void evacuate() { evacuated_ = {failure_domain_id{"d0"}}; }
    /// The store answers reads of the servers, but none of the evacuations.
    void fail_evacuation_reads() { evacuation_reads_fail_ = true; }
    void restart(std::size_t vm) {
        vms_[vm] = std::make_unique<observing_vm>(vm);
        vms_[vm]->state.evacuations = evacuation_list{{std::chrono::seconds{5}, {}}};
        vms_[vm]->state.directory = backend_directory{};
    }
    /// Number of VMs that do not know that `d0` is evacuated.
    [[nodiscard]] std::size_t unaware_of_evacuation() const {
        return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](auto& vm) {
            return !vm->state.evacuations.contains(failure_domain_id{"d0"});
        }));
    }
    [[nodiscard]] std::size_t registry_reads() const { return registry_reads_; }

  private:
    void carry_out(time_point now, observing_vm& from, const proxy_output& out) {
        for (const auto& each : out.common) {
            if (const auto* call = std::get_if<store_request>(&each)) {
                answer(now, from, *call);
            } else if (const auto* sent = std::get_if<send_to_peer>(&each)) {
                deliver(now, from, *sent);
            }
        }
    }
    void answer(time_point now, observing_vm& from, const store_request& call) {
        ++registry_reads_;
        store_answer found{call.id, store_status::unavailable, {}, 0, {}};
        if (!store_unavailable_for_.contains(from.state.self.vm)) {
            found.status = store_status::ok;
            found.version = version_;
            found.backends = list_;
            if (!evacuation_reads_fail_) {
                found.evacuations = {version_, evacuated_};
            }
        }
        proxy_output out;
        from.observer.on_store(now, found, out);
        carry_out(now, from, out);
    }
    void deliver(time_point now, observing_vm& from, const send_to_peer& sent) {
        const auto to = std::find_if(vms_.begin(), vms_.end(),
                                     [&](const auto& vm) { return vm->state.self.vm == sent.vm; });
        proxy_output out;
        if (const auto* query = std::get_if<observation_query>(&sent.message)) {
            (*to)->observer.on_query(now, from.state.self.vm, *query, out);
        } else if (const auto* reply = std::get_if<observation_reply>(&sent.message)) {
            (*to)->observer.on_answer(now, from.state.self.vm, *reply, out);
        }
        carry_out(now, **to, out);
    }

    std::vector<std::unique_ptr<observing_vm>> vms_;
    std::vector<backend_registration> list_{registry()};
    std::set<vm_id> store_unavailable_for_;
    std::vector<failure_domain_id> evacuated_;
    bool evacuation_reads_fail_{false};
    std::uint64_t version_{1};
    std::size_t registry_reads_{0};
};

class RegistryReadersTurnedAway : public ::testing::TestWithParam<std::size_t> {};

/// Guards against lists of unbounded age: when the store rejected the requests of a region's
/// reader, no VM of the region learned that a server was leaving.
TEST_P(RegistryReadersTurnedAway, AllVmsLearnThatAServerLeaves) {
    // A leaving server serves for another 7 s; a statement may wait for 1 s at the VM that owns the
    // connections.
    constexpr int bound_ms = 6'000;
    observing_fleet fleet;
    fleet.run(0, 3'000);
    fleet.set_store_unavailable_for_readers(GetParam());
    fleet.set_leaving(7);
    fleet.run(3'000, 3'000 + bound_ms);
    EXPECT_EQ(fleet.unaware(7), 0U);
    const auto before = fleet.registry_reads();
    fleet.run(9'000, 19'000);
    // Each VM for which the store is unavailable may retry all the time; few of the others read.
    EXPECT_LE(fleet.registry_reads() - before, 12 * (GetParam() + 4));
}

/// Guards against VMs that learn of an evacuation too late: requests end 4 s after the operator's.
TEST_P(RegistryReadersTurnedAway, AllVmsLearnOfAnEvacuation) {
    observing_fleet fleet;
    fleet.enable_evacuations();
    fleet.run(0, 3'000);
    fleet.set_store_unavailable_for_readers(GetParam());
    fleet.evacuate();
    fleet.run(3'000, 3'000 + 4'000);
    EXPECT_EQ(fleet.unaware_of_evacuation(), 0U);
}

/// Guards against an evacuation that is forgotten when the store fails partway, and that a VM which
/// starts then never learns of.
TEST(GroupObserver, LastEvacuationsStayKnownWhileTheStoreFailsPartway) {
    observing_fleet fleet;
    fleet.enable_evacuations();
    fleet.evacuate();
    fleet.run(0, 3'000);
    fleet.fail_evacuation_reads();
    fleet.restart(9);
    fleet.run(3'000, 6'000);
    EXPECT_EQ(fleet.unaware_of_evacuation(), 0U);
    fleet.set_store_unavailable_for_readers(vm_count);
    fleet.restart(10);
    fleet.run(6'000, 12'000);
    EXPECT_EQ(fleet.unaware_of_evacuation(), 0U);
}

INSTANTIATE_TEST_SUITE_P(GroupObserver, RegistryReadersTurnedAway,
                         ::testing::Values(0U, 1U, 2U, 5U));

/// Guards against refusals that confirm a primary, or that leave no line and no metric.
TEST(GroupObserver, RefusalsAreLoggedAndCountedAndConfirmNothing) {
    observing_vm vm{7};
    const auto g = group_at(3);
    proxy_output out;
    vm.observer.on_query(at(0), vm.state.live[8].vm, {1, 1, {g}}, out);
    const auto opened = vm.tick(at(10));
    vm.state.leadership(g).on_status(at(11), at(11), backend_server_id{"g03a"},
                                     primary_status(1, point(1, 5)));
    for (const auto& each : opened.sessions) {
        const auto* start = std::get_if<open_server_connection>(&each);
        if (start != nullptr && start->group == g && start->expected != backend_server_id{"g03a"}) {
            vm.observer.on_closed(at(12), {start->connection, close_reason::refused}, out);
        }
    }
    EXPECT_EQ(vm.state.leadership(g).confirmed_by(), proof_kind::none);
    EXPECT_FALSE(vm.state.leadership(g).confirmed(at(40)));
    const auto ticked = vm.tick(at(40));
    out.common.insert(out.common.end(), ticked.common.begin(), ticked.common.end());
    std::string lines;
    std::string counted;
    for (const auto& each : out.common) {
        if (const auto* line = std::get_if<log_record>(&each)) {
            lines += line->text + "\n";
        } else if (const auto* value = std::get_if<measurement>(&each)) {
            counted += std::string{value->name} + " " + value->label_value + "\n";
        }
    }
    EXPECT_NE(lines.find("refused backend=g03b attempt_age_ms=2 ended_age_ms=never\n"),
              std::string::npos)
        << lines;
    EXPECT_EQ(lines.find("proof group=g03"), std::string::npos) << lines;
    EXPECT_NE(counted.find("server_refusals_total g03c"), std::string::npos) << counted;
    EXPECT_EQ(counted.find("primary_confirmations_total"), std::string::npos) << counted;
}

} // namespace
} // namespace jackdawvane
