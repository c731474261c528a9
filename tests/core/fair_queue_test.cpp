#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/limits/fair_queue.hpp"

#include <utility>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr time_point start{};
const organisation_id big{"big"};
const organisation_id small{"small"};

/// Guards against a weight or cost that is ignored.
TEST(FairQueue, ServesByWeightAndCost) {
    fair_queue<int> queue{100};
    for (std::uint64_t i = 1; i <= 40; ++i) {
        ASSERT_TRUE(queue.push(request_id{i}, big, 3, 1, no_deadline, 0));
        ASSERT_TRUE(queue.push(request_id{100 + i}, small, 1, 2, no_deadline, 0));
    }
    std::map<organisation_id, int> served;
    for (int i = 0; i < 35; ++i) {
        ++served[queue.pop(start)->organisation];
    }
    EXPECT_EQ(served[big], 30);
    EXPECT_EQ(served[small], 5);
}

/// Guards against one organisation that fills the queue for the others.
TEST(FairQueue, BoundsEachOrganisation) {
    fair_queue<int> queue{2};
    EXPECT_TRUE(queue.push(request_id{1}, big, 1, 1, no_deadline, 0));
    EXPECT_TRUE(queue.push(request_id{2}, big, 1, 1, no_deadline, 0));
    EXPECT_FALSE(queue.push(request_id{3}, big, 1, 1, no_deadline, 0));
    EXPECT_TRUE(queue.push(request_id{4}, small, 1, 1, no_deadline, 0));
    EXPECT_FALSE(queue.push(request_id{4}, organisation_id{"other"}, 1, 1, no_deadline, 0));
    EXPECT_EQ(queue.size_of(big), 2U);
}

/// Guards against an expired entry that is served or never answered.
TEST(FairQueue, ReturnsExpiredEntriesOnce) {
    fair_queue<int> queue{10};
    const auto later = start + from_milliseconds(10);
    ASSERT_TRUE(queue.push(request_id{1}, big, 1, 1, start, 7));
    ASSERT_TRUE(queue.push(request_id{2}, small, 1, 1, later, 8));
    EXPECT_EQ(queue.next_deadline(), start);
    EXPECT_EQ(queue.pop(start)->item, 8);
    const auto expired = queue.expire(start);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().item, 7);
    EXPECT_TRUE(queue.expire(later).empty());
    EXPECT_EQ(queue.next_deadline(), no_deadline);
}

/// Guards against a removed entry that is still served or still expires.
TEST(FairQueue, RemovesById) {
    fair_queue<int> queue{10};
    ASSERT_TRUE(queue.push(request_id{1}, big, 1, 1, start, 7));
    EXPECT_EQ(queue.remove(request_id{1})->item, 7);
    EXPECT_FALSE(queue.remove(request_id{1}));
    EXPECT_FALSE(queue.pop(start));
    EXPECT_TRUE(queue.expire(start).empty());
}

/// Baseline: a single bounded queue in order of arrival.
class global_fifo {
  public:
    bool push(request_id id, const organisation_id& organisation, std::uint32_t /*weight*/,
              std::uint32_t /*cost*/, time_point /*deadline*/, int /*item*/) {
        if (waiting_.size() >= 80) {
            return false;
        }
        waiting_.push_back({id, organisation, no_deadline, 0});
        return true;
    }
    std::optional<fair_queue<int>::entry> pop(time_point /*now*/) {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        auto first = waiting_.front();
        waiting_.pop_front();
        return first;
    }

  private:
    std::deque<fair_queue<int>::entry> waiting_;
};

/// Served fraction of the offered requests of the worst-served of 7 organisations, while an eighth
/// sends @a factor times its share of a server with one slot.
template <class Queue>
double worst_service(Queue queue, double factor) {
    constexpr int organisations = 8;
    random_engine random{11};
    std::uniform_real_distribution<double> chance;
    std::map<organisation_id, double> offered;
    std::map<organisation_id, double> served;
    std::uint64_t id{0};
    for (int step = 0; step < 40000; ++step) {
        for (int i = 0; i < organisations; ++i) {
            const organisation_id organisation{std::to_string(i)};
            double expected = (i == 0 ? factor : 0.9) / organisations;
            if (chance(random) < expected) {
                ++offered[organisation];
                std::ignore = queue.push(request_id{++id}, organisation, 1, 1, no_deadline, 0);
            }
        }
        if (const auto next = queue.pop(start)) {
            ++served[next->organisation];
        }
    }
    double worst{1};
    for (int i = 1; i < organisations; ++i) {
        const organisation_id organisation{std::to_string(i)};
        worst = std::min(worst, served[organisation] / offered[organisation]);
    }
    return worst;
}

/// Guards against an organisation at 5 times its share that reduces the service of the others; the
/// single queue shows that this load can do so.
TEST(FairQueue, KeepsTheServiceOfOthersUnderOverloadUnlikeOneGlobalQueue) {
    const double fair =
        worst_service(fair_queue<int>{10}, 5) / worst_service(fair_queue<int>{10}, 0.9);
    const double naive = worst_service(global_fifo{}, 5) / worst_service(global_fifo{}, 0.9);
    RecordProperty("fair", std::to_string(fair));
    RecordProperty("naive", std::to_string(naive));
    EXPECT_GE(fair, 0.99);
    EXPECT_LT(naive, 0.9);
}

} // namespace
} // namespace jackdawvane
