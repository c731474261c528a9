#include "jackdawvane/failover/promotion.hpp"
#include "jackdawvane/failover/report_exchange.hpp"
#include "jackdawvane/foundation/random.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "core/fake_backend.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

/// Candidates that propose at the same time; messages are delivered in random order, and answers
/// may be lost.
class duel {
  public:
    explicit duel(std::uint64_t seed) : random_{seed} {
        std::vector<std::size_t> lengths;
        for (auto& server : servers_) {
            backend_request follow;
            follow.operation = backend_operation::follow;
            follow.expected_term = term{1};
            server.run(follow, {});
            lengths.push_back(10 + random_() % 20);
            for (std::size_t i = 0; i < lengths.back(); ++i) {
                server.log.push_back({term{1}, i, {}});
            }
        }
        std::sort(lengths.begin(), lengths.end());
        committed_ = lengths[1]; // Two of three hold this many entries.
    }

    void run() {
        for (int round = 0; round < 4; ++round) {
            rounds_.emplace_back();
            for (int candidate = 0; candidate < 3; ++candidate) {
                start(rounds_.back().emplace_back(propose(candidate)));
            }
            for (int step = 0; step < 400; ++step) {
                advance();
            }
        }
    }

    int won{0};

  private:
    promotion propose(int candidate) {
        std::vector<promotion_server> servers;
        for (std::uint16_t i = 0; i < 3; ++i) {
            servers.push_back({backend_server_id{std::to_string(i)}, {"127.0.0.1", i}});
        }
        const vm_id name{std::to_string(candidate) + "/" + std::to_string(rounds_.size())};
        return {{group_id{"g"}, highest_.next(), 3, name}, servers, {connections_, requests_}};
    }
    void start(promotion& started) {
        actions out;
        started.start(now_, out);
        carry_out(started, out);
    }
    void advance() {
        now_ += from_milliseconds(1);
        for (auto& round : rounds_) {
            for (auto& each : round) {
                react(each, [&](actions& out) { each.tick(now_, out); });
            }
        }
        if (!messages_.empty()) {
            const auto chosen = messages_.begin() + static_cast<int>(random_() % messages_.size());
            const auto work = *chosen;
            messages_.erase(chosen);
            work();
        }
    }
    void react(promotion& each, const std::function<void(actions&)>& work) {
        const bool running = each.state() == promotion::progress::running;
        actions out;
        work(out);
        carry_out(each, out);
        if (running && each.state() == promotion::progress::won) {
            ++won;
            EXPECT_GT(servers_[std::stoi(each.chosen().str())].log.size(), committed_);
        }
    }
    void carry_out(promotion& each, const actions& out) {
        for (const auto& made : out) {
            if (const auto* open = std::get_if<open_connection>(&made)) {
                const auto id = open->connection;
                links_[id] = open->endpoint.port;
                messages_.push_back([=, this, &each] {
                    react(each, [&](actions& more) { each.on_connected(now_, id, more); });
                });
            } else if (const auto* sent = std::get_if<send_to_backend>(&made)) {
                messages_.push_back([this, &each, request = *sent] { serve(each, request); });
            }
        }
    }
    void serve(promotion& each, const send_to_backend& sent) {
        const int server = links_[sent.connection];
        backend_answer answer;
        answer.id = sent.request.id;
        const bool ran = servers_[server].run(sent.request, now_);
        answer.problem.kind = ran ? error_kind::none : error_kind::fenced;
        answer.status = servers_[server].status();
        highest_ = std::max(highest_, answer.status.accepted_term);
        if (answer.status.role == backend_role::primary) {
            auto& found = primaries_[answer.status.accepted_term];
            found.insert(server);
            EXPECT_EQ(found.size(), 1U) << "two primaries in term " << answer.status.accepted_term;
        }
        const bool lost = random_() % 8 == 0;
        messages_.push_back([=, this, &each] {
            react(each, [&](actions& out) {
                if (lost) {
                    each.on_disconnected(now_, sent.connection, "reset", out);
                } else {
                    each.on_answer(now_, sent.connection, answer, out);
                }
            });
        });
    }

    random_engine random_;
    fake_backend servers_[3];
    std::size_t committed_{0};
    std::deque<std::deque<promotion>> rounds_;
    std::vector<std::function<void()>> messages_;
    std::map<connection_id, int> links_;
    std::map<term, std::set<int>> primaries_;
    id_sequence<connection_id> connections_;
    id_sequence<request_id> requests_;
    term highest_{1};
    time_point now_{std::chrono::seconds{1}};
};

/// Guards against two primaries in one term and against a winner that lacks entries of a
/// majority, when candidates compete and answers are late or lost.
TEST(Promotion, DuellingCandidatesAgree) {
    int won{0};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE(seed);
        duel tested{seed};
        tested.run();
        won += tested.won;
    }
    EXPECT_GT(won, 300);
}

/// Guards against a promotion with a single acceptance while the other backend servers stay silent.
TEST(Promotion, OneAcceptanceIsNotAMajority) {
    id_sequence<connection_id> connections;
    id_sequence<request_id> requests;
    std::vector<promotion_server> servers;
    for (std::uint16_t i = 0; i < 3; ++i) {
        servers.push_back({backend_server_id{std::to_string(i)}, {"127.0.0.1", i}});
    }
    promotion tested{{group_id{"g"}, term{2}, 3, vm_id{"x"}}, servers, {connections, requests}};
    time_point now{std::chrono::seconds{1}};
    std::map<backend_operation, int> asked;
    actions out;
    tested.start(now, out);
    for (int step = 0; step < 1000; ++step) {
        for (const auto& made : std::exchange(out, {})) {
            if (const auto* open = std::get_if<open_connection>(&made)) {
                tested.on_connected(now, open->connection, out);
            }
            const auto* sent = std::get_if<send_to_backend>(&made);
            const bool first = sent != nullptr && asked[sent->request.operation]++ == 0;
            if (first ||
                (sent != nullptr && sent->request.operation == backend_operation::status)) {
                backend_answer answer;
                answer.id = sent->request.id;
                answer.status.accepted_term = sent->request.expected_term;
                tested.on_answer(now, sent->connection, answer, out);
            }
        }
        now += from_milliseconds(1);
        tested.tick(now, out);
    }
    EXPECT_EQ(asked[backend_operation::accept_term], 3);
    EXPECT_EQ(asked[backend_operation::promote], 0);
    EXPECT_EQ(tested.state(), promotion::progress::failed);
}

/// Guards against a delayed report that counts as fresh: its date is derived from the sending time
/// that it echoes, not from its stated age alone.
TEST(ReportExchange, DateIsProvedOnTheReceiversClock) {
    report_exchange exchange{group_id{"g"}, backend_server_id{"a"}, {}, {}};
    exchange.configure({{backend_server_id{"b"}, {}}});
    const time_point now{std::chrono::seconds{9}};
    group_report report;
    report.report.backend = backend_server_id{"b"};
    report.receiver = backend_server_id{"a"};
    report.report.age = from_milliseconds(20);
    EXPECT_EQ(exchange.receive(now, report), std::nullopt);
    report.echo_sent_at = std::chrono::seconds{5};
    report.echo_age = from_milliseconds(100);
    EXPECT_EQ(exchange.receive(now, report), time_point{from_milliseconds(5080)});
    report.echo_age = std::chrono::hours{1};
    EXPECT_EQ(exchange.receive(now, report), now);
    report.echo_sent_at = std::chrono::seconds{10};
    EXPECT_EQ(exchange.receive(now, report), std::nullopt);
}

} // namespace
} // namespace jackdawvane
