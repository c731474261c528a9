#include "jackdawvane/backends/backend_owner.hpp"
#include "jackdawvane/routing/transaction_handle.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "support/fake_backend.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr std::uint32_t slots = 3;

bool is_status(const backend_request& request) {
    return request.operation == backend_operation::status;
}

backend_owner_settings owner_settings() {
    backend_owner_settings settings;
    settings.self = vm_id{"vm1"};
    settings.incarnation = vm_incarnation{5};
    return settings;
}

/// An owner with its monitor for one backend server, which is the whole group.
class BackendOwner : public testing::Test {
  protected:
    BackendOwner() {
        row_.endpoint = endpoint{"127.0.0.1", 1};
        row_.slots = slots;
        group_row group;
        group.backend_servers[backend_] = row_;
        vm_entry self;
        self.vm = vm_id{"vm1"};
        monitor_.configure(group, {{backend_, self}});
        owner_.configure(row_);
        monitor_.start(now_, out_);
        for (int i = 0; i < 2000 && monitor_.view().primary().empty(); ++i) {
            step();
        }
        EXPECT_EQ(monitor_.view().primary(), backend_);
    }

    /// Advances the clock by 1 ms, opens connections and answers all requests but data requests.
    void step() {
        now_ += from_milliseconds(1);
        exchange(is_status_or_promotion);
        monitor_.tick(now_, out_);
        owner_.on_view_change(now_, out_);
        owner_.tick(now_, out_);
        collect();
    }

    static bool is_status_or_promotion(const backend_request& request) {
        return is_status(request) || request.operation == backend_operation::accept_term ||
               request.operation == backend_operation::promote ||
               request.operation == backend_operation::follow;
    }
    static bool is_data(const backend_request& request) { return !is_status_or_promotion(request); }

    /// Answers the requests that @a wanted selects.
    void exchange(bool (*wanted)(const backend_request&)) {
        server_.take(out_);
        out_.clear();
        for (const auto connection : std::exchange(server_.opening, {})) {
            server_.open.insert(connection);
            if (!monitor_.on_connected(now_, connection, out_)) {
                owner_.on_connected(now_, connection, out_);
            }
        }
        auto requests = std::exchange(server_.received, {});
        for (const auto& sent : requests) {
            if (!wanted(sent.request)) {
                server_.received.push_back(sent);
                continue;
            }
            deliver(sent.connection, server_.answer(sent.request));
        }
        server_.take(out_);
        out_.clear();
        collect();
    }

    void deliver(connection_id connection, const backend_answer& answer) {
        if (monitor_.on_answer(now_, connection, answer, out_)) {
            owner_.on_view_change(now_, out_);
        } else {
            owner_.on_answer(now_, connection, answer, out_);
        }
    }

    void run_for(int milliseconds) {
        for (int i = 0; i < milliseconds; ++i) {
            step();
        }
    }

    void serve_all() {
        for (int i = 0; i < 20; ++i) {
            exchange(is_data);
            step();
        }
    }

    forward_request make(request_kind kind, access_mode mode, const char* organisation = "bar") {
        forward_request request;
        request.id = request_id{++last_id_};
        request.kind = kind;
        request.organisation = organisation_id{organisation};
        request.group = group_id{"g"};
        request.backend = backend_;
        request.mode = mode;
        if (mode == access_mode::write) {
            request.name = request_name{"n" + std::to_string(last_id_)};
        }
        return request;
    }

    std::uint64_t submit(const forward_request& request, int deadline_ms = 1000) {
        owner_.submit(now_, {request, vm_id{"vm2"}, now_ + from_milliseconds(deadline_ms), now_},
                      out_);
        collect();
        return request.id.value();
    }

    void collect() {
        for (const auto& reply : owner_.take_replies()) {
            EXPECT_FALSE(replies_.contains(reply.reply.id.value())) << "answered twice";
            replies_[reply.reply.id.value()] = reply.reply;
        }
    }

    transaction_id begin(access_mode mode) {
        const auto id = submit(make(request_kind::begin, mode));
        serve_all();
        return replies_[id].transaction;
    }

    /// The data request that the backend server received first and has not answered.
    send_to_backend data_request() {
        EXPECT_GE(pending_data_requests(), 1U);
        return *std::find_if(server_.received.begin(), server_.received.end(),
                             [](const auto& sent) { return is_data(sent.request); });
    }

    std::size_t pending_data_requests() {
        server_.take(out_);
        out_.clear();
        return static_cast<std::size_t>(
            std::count_if(server_.received.begin(), server_.received.end(),
                          [](const auto& sent) { return is_data(sent.request); }));
    }

    const backend_server_id backend_{"b1"};
    time_point now_{std::chrono::seconds{100}};
    random_engine random_{7};
    id_sequence<connection_id> connections_;
    id_sequence<request_id> requests_;
    actions out_;
    backend_server_row row_;
    test_support::fake_backend server_;
    group_monitor monitor_{
        {vm_id{"vm1"}, {}, group_id{"g"}, backend_}, {}, random_, {connections_, requests_}};
    backend_owner owner_{group_id{"g"}, backend_,  monitor_,
                         connections_,  requests_, owner_settings()};
    std::map<std::uint64_t, forward_reply> replies_;
    std::uint64_t last_id_{0};
};

/// Guards against a write that is acknowledged with a wrong position or none.
TEST_F(BackendOwner, WriteIsDoneWithItsOwnPosition) {
    const auto id = submit(make(request_kind::single, access_mode::write));
    serve_all();
    ASSERT_EQ(replies_.count(id), 1U);
    EXPECT_EQ(replies_[id].result, outcome::done);
    EXPECT_EQ(replies_[id].seen->position, server_.status.position);
}

/// Guards against more statements in flight than the backend server has slots.
TEST_F(BackendOwner, KeepsToTheSlots) {
    for (int i = 0; i < 20; ++i) {
        submit(make(request_kind::single, access_mode::read));
    }
    run_for(5);
    EXPECT_EQ(pending_data_requests(), slots);
}

/// Guards against an organisation that fills the queue and delays all others.
TEST_F(BackendOwner, ServesOrganisationsInTurn) {
    for (int i = 0; i < 60; ++i) {
        submit(make(request_kind::single, access_mode::read, "large"));
    }
    const auto small = submit(make(request_kind::single, access_mode::read, "small"));
    run_for(5);
    for (int round = 0; round < 3 && !replies_.contains(small); ++round) {
        exchange(is_data);
        step();
    }
    EXPECT_TRUE(replies_.contains(small));
}

struct doubt_case {
    const char* name;
    request_kind kind;
    access_mode mode;
    outcome expected;
};

class Doubt : public BackendOwner, public testing::WithParamInterface<doubt_case> {
  protected:
    std::uint64_t send_one() {
        auto request = make(GetParam().kind, GetParam().mode);
        const bool follow_up = GetParam().kind != request_kind::single;
        if (follow_up) {
            request.transaction = begin(GetParam().mode);
        }
        const auto id = submit(request, 400);
        for (int i = 0; i < 5 && pending_data_requests() == 0; ++i) {
            step();
        }
        EXPECT_EQ(pending_data_requests(), 1U);
        return id;
    }
};

/// Guards against the outcome `not_run` for a write that was sent, and against the reuse of a
/// connection whose state is unknown.
TEST_P(Doubt, LostConnection) {
    const auto id = send_one();
    const auto sent = data_request();
    owner_.on_disconnected(now_, sent.connection, out_);
    collect();
    ASSERT_TRUE(replies_.contains(id));
    EXPECT_EQ(replies_[id].result, GetParam().expected);
}

TEST_P(Doubt, SilentConnection) {
    const auto id = send_one();
    const auto sent = data_request();
    run_for(500);
    ASSERT_TRUE(replies_.contains(id));
    EXPECT_EQ(replies_[id].result, GetParam().expected);
    EXPECT_FALSE(server_.open.contains(sent.connection));
}

TEST_P(Doubt, CrossedAnswer) {
    const auto id = send_one();
    const auto sent = data_request();
    auto crossed = server_.answer(sent.request);
    crossed.id = request_id{999999};
    owner_.on_answer(now_, sent.connection, crossed, out_);
    server_.take(out_);
    collect();
    ASSERT_TRUE(replies_.contains(id));
    EXPECT_EQ(replies_[id].result, GetParam().expected);
    EXPECT_FALSE(server_.open.contains(sent.connection));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Doubt,
    testing::Values(
        doubt_case{"write", request_kind::single, access_mode::write, outcome::unknown},
        doubt_case{"read", request_kind::single, access_mode::read, outcome::unknown},
        doubt_case{"commit", request_kind::commit, access_mode::write, outcome::unknown},
        doubt_case{"statements", request_kind::statements, access_mode::write, outcome::not_run}),
    [](const auto& tested) { return std::string{tested.param.name}; });

/// Guards against statements of two transactions on one connection.
TEST_F(BackendOwner, TransactionKeepsItsConnectionToItself) {
    const auto transaction = begin(access_mode::write);
    ASSERT_FALSE(transaction.empty());
    auto statements = make(request_kind::statements, access_mode::write);
    statements.transaction = transaction;
    submit(statements);
    const auto pinned = data_request().connection;
    serve_all();
    for (int i = 0; i < 10; ++i) {
        submit(make(request_kind::single, access_mode::read));
    }
    for (int i = 0; i < 20; ++i) {
        server_.take(out_);
        for (const auto& sent : server_.received) {
            EXPECT_TRUE(is_status(sent.request) || sent.connection != pinned);
        }
        exchange(is_data);
        step();
    }
}

/// Guards against the use of a transaction by another organisation that knows its id.
TEST_F(BackendOwner, TransactionBelongsToItsOrganisation) {
    auto foreign = make(request_kind::commit, access_mode::write, "thief");
    foreign.transaction = begin(access_mode::write);
    const auto id = submit(foreign);
    EXPECT_EQ(replies_[id].problem.kind, error_kind::unknown_transaction);
}

/// Guards against a transaction that keeps its connection after its caller is gone.
TEST_F(BackendOwner, IdleTransactionIsRolledBack) {
    begin(access_mode::write);
    EXPECT_FALSE(owner_.idle());
    run_for(5100);
    EXPECT_TRUE(owner_.idle());
}

/// Guards against `not_run` for a repeated commit whose first attempt may have run, and against
/// `unknown` for a commit that arrives after the rollback.
TEST_F(BackendOwner, CommitOfAnEndedTransactionTellsWhatIsKnown) {
    auto commit = make(request_kind::commit, access_mode::write);
    commit.transaction = begin(access_mode::write);
    submit(commit);
    serve_all();
    auto repeated = make(request_kind::commit, access_mode::write);
    repeated.transaction = commit.transaction;
    EXPECT_EQ(replies_[submit(repeated)].result, outcome::unknown);

    auto late = make(request_kind::commit, access_mode::write);
    late.transaction = begin(access_mode::write);
    run_for(5100);
    EXPECT_EQ(replies_[submit(late)].result, outcome::not_run);
}

/// Guards against a read of an older state than the session has seen.
TEST_F(BackendOwner, ReadWaitsForItsPositionAndThenGoesElsewhere) {
    auto request = make(request_kind::single, access_mode::read);
    const auto ahead = log_position{server_.status.position.value() + 5};
    request.session = {{group_id{"g"}, server_.status.last_entry_term, ahead}};
    const auto id = submit(request);
    run_for(10);
    EXPECT_EQ(pending_data_requests(), 0U);
    run_for(100);
    ASSERT_TRUE(replies_.contains(id));
    EXPECT_EQ(replies_[id].result, outcome::not_run);
}

/// Guards against queued requests that are lost or run after the backend server changed owners.
TEST_F(BackendOwner, RetireHandsBackTheQueueAndFinishesWhatRuns) {
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < 10; ++i) {
        ids.push_back(submit(make(request_kind::single, access_mode::write)));
    }
    run_for(5);
    owner_.retire(now_, out_);
    collect();
    EXPECT_EQ(replies_.size(), 10U - slots);
    serve_all();
    EXPECT_TRUE(owner_.idle());
    for (const auto id : ids) {
        ASSERT_TRUE(replies_.contains(id));
        const bool ran = server_.executed["n" + std::to_string(id)] == 1;
        EXPECT_EQ(replies_[id].result, ran ? outcome::done : outcome::not_run);
    }
}

} // namespace
} // namespace jackdawvane
