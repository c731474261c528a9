#include "jackdawvane/limits/admission_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point begin{seconds{1}};

/// Requests that arrive at random, with the same class, organisation and zone.
struct source {
    std::uint32_t priority;
    std::string organisation;
    int zone;
    double rate; ///< Requests per second.
    duration room;
    time_point until{time_point::max()};
};

struct counts {
    int arrived{0};
    int served{0};
    int refused{0};
    int expired{0};
};

/// Plays sources against the queue and one server whose rate the test knows.
class admission_play {
  public:
    explicit admission_play(std::vector<source> sources)
        : sources_{std::move(sources)}, next_(sources_.size()) {
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            next_[i] = begin + gap(sources_[i]);
        }
    }

    void run(time_point end, const std::function<double(time_point)>& rate) {
        for (; now < end; now += milliseconds{1}) {
            queue.set_service_rate(rate(now));
            credit_ = std::min(1.0, credit_) + rate(now) / 1000;
            for (const auto& each : queue.expire(now)) {
                ++count(each.id).expired;
            }
            arrive();
            for (; credit_ >= 1 && !queue.empty(); --credit_) {
                const auto entry = *queue.pop(now);
                EXPECT_GT(entry.deadline, now);
                ++count(entry.id).served;
            }
        }
    }

    /// Sum over the sources for which @a matches holds.
    counts sum(const std::function<bool(const source&)>& matches) const {
        counts all;
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            if (matches(sources_[i])) {
                all.arrived += counts_[i].arrived;
                all.served += counts_[i].served;
                all.refused += counts_[i].refused;
                all.expired += counts_[i].expired;
            }
        }
        return all;
    }
    counts of_class(std::uint32_t priority) const {
        return sum([=](const source& each) { return each.priority == priority; });
    }

    admission_queue queue{admission_queue_settings{}};
    time_point now{begin};
    std::vector<duration> retries;

  private:
    counts& count(request_id id) { return counts_[id.value() % sources_.size()]; }

    void arrive() {
        for (std::size_t i = 0; i < sources_.size(); ++i) {
            const auto& from = sources_[i];
            for (; next_[i] <= now && now < from.until; next_[i] += gap(from)) {
                ++counts_[i].arrived;
                const admission_entry entry{request_id{++ids_ * sources_.size() + i},
                                            organisation_id{from.organisation}, from.priority, 1,
                                            now + from.room};
                if (queue.can_serve(now, entry)) {
                    EXPECT_TRUE(queue.push(entry));
                } else {
                    ++counts_[i].refused;
                    retries.push_back(queue.retry_after(now, entry, random_));
                }
            }
        }
    }
    duration gap(const source& from) {
        const double next = std::exponential_distribution<double>{from.rate}(random_);
        return duration{static_cast<duration::rep>(next * 1e6)};
    }

    random_engine random_{1};
    std::vector<source> sources_;
    std::vector<time_point> next_;
    std::array<counts, 64> counts_{};
    double credit_{0};
    std::uint64_t ids_{0};
};

/// What each class gets of @a rate: the highest first, and each lower one at least its share.
std::array<double, 3> oracle(const std::array<double, 3>& demand, double rate) {
    std::array<double, 3> gets{};
    double rest = rate;
    for (std::size_t i = 1; i < 3; ++i) {
        gets[i] = std::min(demand[i], rate * admission_queue_settings{}.lower_class_share);
        rest -= gets[i];
    }
    for (std::size_t i = 0; i < 3; ++i) {
        const double more = std::min(demand[i] - gets[i], rest);
        gets[i] += more;
        rest -= more;
    }
    return gets;
}

void expect_classes(const admission_play& play, const std::array<double, 3>& demand, double rate,
                    double length) {
    const auto expected = oracle(demand, rate);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_NEAR(play.of_class(i).served, expected[i] * length,
                    std::max(5.0, rate * length * 0.05))
            << "class " << i;
    }
}

bool is(const source& each, const char* organisation) {
    return each.organisation == organisation;
}

/// Guards against one organisation at five times its rate that takes the service of another, and
/// against a class or zone that gets less because of it.
TEST(AdmissionQueue, OneOrganisationAtFiveTimesItsRate) {
    std::vector<source> sources;
    for (int zone = 0; zone < 2; ++zone) {
        sources.push_back({0, "big", zone, 50, milliseconds{200}});
        sources.push_back({1, "big", zone, 150, milliseconds{400}});
        sources.push_back({2, "big", zone, 50, milliseconds{900}});
        sources.push_back({1, "small", zone, 10, milliseconds{400}});
    }
    admission_play play{sources};
    play.run(begin + seconds{10}, [](auto) { return 120.0; });
    expect_classes(play, {100, 320, 100}, 120, 10);
    const auto small = play.sum([](const auto& each) { return is(each, "small"); });
    const auto big =
        play.sum([](const auto& each) { return is(each, "big") && each.priority == 1; });
    // The class gets 12 per second: the organisations share them equally.
    EXPECT_NEAR(small.served, big.served, 12);
    const auto zone0 = play.sum([](const auto& each) { return each.zone == 0; });
    const auto zone1 = play.sum([](const auto& each) { return each.zone == 1; });
    EXPECT_NEAR(zone0.served, zone1.served, 0.1 * zone0.served); // Random arrivals.
}

/// Guards against waits that end in a refusal: twice the load for 10 s, and the highest class,
/// which fits, is served whole; what can't be served is refused when it arrives.
TEST(AdmissionQueue, TwiceTheLoadForTenSeconds) {
    std::vector<source> sources;
    for (int zone = 0; zone < 3; ++zone) {
        sources.push_back({0, "a", zone, 20, milliseconds{190}});
        sources.push_back({1, "a", zone, 80, milliseconds{375}});
        sources.push_back({2, "a", zone, 100.0 / 3, milliseconds{900}});
    }
    admission_play play{sources};
    play.run(begin + seconds{10}, [](auto) { return 200.0; });
    expect_classes(play, {60, 240, 100}, 200, 10);
    const auto all = play.sum([](const auto&) { return true; });
    EXPECT_GE(all.served, 2000 * 0.97);
    EXPECT_EQ(play.of_class(0).refused, 0);
    EXPECT_LE(all.expired, all.arrived * 0.03);
    const auto [least, most] = std::minmax_element(play.retries.begin(), play.retries.end());
    EXPECT_GE(*least, milliseconds{100});
    EXPECT_LE(*most, seconds{10});
}

/// Guards against retries that all come back at once: after a power loss, 600 callers arrive within
/// 50 ms, and the refused ones are told to come back over the time that serving them takes.
TEST(AdmissionQueue, AllCallersReturnAfterAPowerLoss) {
    const auto until = begin + milliseconds{50};
    std::vector<source> sources;
    for (int zone = 0; zone < 6; ++zone) {
        sources.push_back({0, "a", zone, 400, milliseconds{190}, until});
        sources.push_back({1, "a", zone, 1600, milliseconds{375}, until});
    }
    admission_play play{sources};
    play.run(begin + seconds{2}, [](auto) { return 200.0; });
    const auto all = play.sum([](const auto&) { return true; });
    // The rate serves 85 requests in the longest room and the arrival time.
    EXPECT_NEAR(all.served, 85, 17);
    EXPECT_GE(play.of_class(0).served, 35);
    std::map<std::int64_t, int> returns;
    for (const auto each : play.retries) {
        ++returns[each / milliseconds{500}];
    }
    for (const auto& [half_second, number] : returns) {
        EXPECT_LE(number, 200) << "half second " << half_second;
    }
    EXPECT_GE(returns.size(), 6U);
}

/// Guards against estimates from before a slowdown: at a tenth of its speed, a server still serves
/// the highest class first, and refuses at arrival what it can't serve.
TEST(AdmissionQueue, ServerAtATenthOfItsSpeed) {
    std::vector<source> sources;
    for (int zone = 0; zone < 2; ++zone) {
        sources.push_back({0, "a", zone, 10, milliseconds{300}});
        sources.push_back({1, "a", zone, 60, milliseconds{500}});
        sources.push_back({2, "b", zone, 20, milliseconds{1200}});
    }
    admission_play play{sources};
    play.run(begin + seconds{5}, [](auto) { return 300.0; });
    const auto before = play.sum([](const auto&) { return true; });
    EXPECT_GE(before.served, before.arrived - 2);
    admission_play slow{sources};
    slow.run(begin + seconds{10}, [](auto) { return 30.0; });
    expect_classes(slow, {20, 120, 40}, 30, 10);
    EXPECT_GE(slow.of_class(2).served, 20); // Never starves.
    const auto all = slow.sum([](const auto&) { return true; });
    EXPECT_LE(all.expired, all.arrived * 0.05);
}

/// Guards against a weight that is ignored, and against an order within an organisation other than
/// by deadline.
TEST(AdmissionQueue, ServesByWeightAndDeadline) {
    admission_queue queue{admission_queue_settings{}};
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto deadline = time_point{seconds{100 - static_cast<int>(i)}};
        ASSERT_TRUE(queue.push({request_id{i}, organisation_id{"a"}, 1, 3, deadline}));
        ASSERT_TRUE(queue.push({request_id{100 + i}, organisation_id{"b"}, 1, 1, deadline}));
    }
    std::map<organisation_id, int> served;
    auto last = time_point::min();
    for (int i = 0; i < 40; ++i) {
        const auto entry = *queue.pop({});
        ++served[entry.organisation];
        if (entry.organisation == organisation_id{"a"}) {
            EXPECT_GT(entry.deadline, last);
            last = entry.deadline;
        }
    }
    EXPECT_EQ(served[organisation_id{"a"}], 30);
}

/// Guards against an entry that is served after its deadline or answered twice, and against a
/// queue without a limit.
TEST(AdmissionQueue, ExpiresRemovesAndBounds) {
    admission_queue_settings settings;
    settings.limit = 2;
    admission_queue queue{settings};
    const organisation_id a{"a"};
    ASSERT_TRUE(queue.push({request_id{1}, a, 0, 1, time_point{seconds{1}}}));
    ASSERT_TRUE(queue.push({request_id{2}, a, 0, 1, time_point{seconds{3}}}));
    EXPECT_FALSE(queue.push({request_id{3}, a, 0, 1, time_point{seconds{3}}}));
    EXPECT_FALSE(queue.can_serve({}, {request_id{3}, a, 0, 1, time_point{seconds{3}}}));
    EXPECT_EQ(queue.next_deadline(), time_point{seconds{1}});
    EXPECT_EQ(queue.pop(time_point{seconds{2}})->id, request_id{2});
    EXPECT_EQ(queue.next_deadline(), time_point::min());
    ASSERT_EQ(queue.expire(time_point{seconds{2}}).size(), 1U);
    EXPECT_TRUE(queue.expire(time_point{seconds{2}}).empty());
    ASSERT_TRUE(queue.push({request_id{4}, a, 9, 1, time_point{seconds{3}}}));
    EXPECT_EQ(queue.size_of_class(admission_queue::classes - 1), 1U);
    EXPECT_TRUE(queue.remove(request_id{4}));
    EXPECT_FALSE(queue.remove(request_id{4}));
    EXPECT_TRUE(queue.empty());
}

} // namespace
} // namespace jackdawvane
