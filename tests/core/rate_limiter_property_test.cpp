#include <random>

#include "limiter_fleet.hpp"
#include <gtest/gtest.h>

namespace jackdawvane {
namespace {

constexpr double tolerance = 1e-6;
/// A lowered burst takes effect once the tokens that were in transit have settled.
constexpr duration settling = std::chrono::milliseconds{600};

rate_limiter_settings fast_settings() {
    rate_limiter_settings settings;
    settings.lease = std::chrono::seconds{2};
    settings.lease_renewal = std::chrono::milliseconds{700};
    settings.shares.refresh = std::chrono::seconds{4};
    settings.shares.takeover_step = std::chrono::milliseconds{300};
    settings.shares.shortest_retry = std::chrono::milliseconds{100};
    settings.shares.longest_retry = std::chrono::seconds{1};
    return settings;
}

/// Reference: one global bucket that is full at the start and pays for all admitted requests.
struct global_bucket {
    double level{0};
    time_point filled{};

    void refill(time_point now, share_limits bound) {
        level += bound.rate * static_cast<double>((now - filled).count()) / 1e6;
        level = std::min(level, bound.burst);
        filled = now;
    }
};

/// A fleet in which messages, store calls and VMs fail at random.
class random_schedule {
  public:
    explicit random_schedule(std::uint64_t seed) : fleet_{fast_settings(), seed} {
        fleet_.choose_message_outcome = [this](const peer_message&) {
            return choose_message_outcome();
        };
        fleet_.choose_store_outcome = [this](const store_request&) {
            return choose_store_outcome();
        };
        fleet_.on_decision = [this](auto&, const admission& each) { on_decision(each); };
        fleet_.after_event = [this] { check(); };
        rows_.push_back({uniform(20, 200), uniform(1, 60)});
        bucket_.level = rows_.back().burst;
        const auto vms = 2 + fleet_.random() % 5;
        for (std::uint64_t i = 0; i < vms; ++i) {
            start_vm("vm" + std::to_string(i), 1);
        }
    }

    void run() {
        arrive();
        inject_faults();
        fleet_.run(std::chrono::seconds{12});
    }

    std::string failure;
    int admitted{0};
    int refused{0};

  private:
    using node = limiter_fleet::node;

    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>{low, high}(fleet_.random);
    }
    bool happens(double probability) { return uniform(0, 1) < probability; }
    duration up_to(std::int64_t milliseconds) {
        return from_milliseconds(static_cast<std::int64_t>(uniform(0, 1) * double(milliseconds)));
    }

    limiter_fleet::message_outcome choose_message_outcome() {
        limiter_fleet::message_outcome outcome;
        const int copies = happens(0.1) ? 0 : happens(0.1) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            outcome.deliveries.push_back(happens(0.1) ? up_to(900) : up_to(12));
        }
        return outcome;
    }
    limiter_fleet::store_outcome choose_store_outcome() {
        const bool slow = happens(0.05);
        return {up_to(slow ? 900 : 10), up_to(slow ? 900 : 10), happens(0.05), happens(0.15)};
    }

    void start_vm(const std::string& vm, std::uint64_t incarnation) {
        auto& made = fleet_.start(vm, incarnation, "d" + std::to_string(fleet_.random() % 2));
        fleet_.configure(made, rows_.size(), rows_.back().rate, rows_.back().burst);
        fleet_.announce_fleet(gone_);
    }

    void arrive() {
        if (auto* target = any_node()) {
            // Uneven callers: the first VM gets half of all requests.
            fleet_.request(happens(0.5) ? *fleet_.nodes.front() : *target);
        }
        const double gap = uniform(0, 2) / (rows_.back().rate * 1.2);
        fleet_.at(duration{static_cast<duration::rep>(gap * 1e6) + 1}, [this] { arrive(); });
    }

    node* any_node() {
        return fleet_.nodes.empty() ? nullptr
                                    : fleet_.nodes[fleet_.random() % fleet_.nodes.size()].get();
    }

    void inject_faults() {
        fleet_.at(up_to(1200), [this] {
            inject_fault();
            inject_faults();
        });
    }

    void inject_fault() {
        auto* target = any_node();
        switch (target == nullptr ? 0 : fleet_.random() % 9) {
        case 0:
            start_vm("new" + std::to_string(++started_), 1);
            break;
        case 1:
        case 2:
            change_rate();
            break;
        case 3:
            suspend(*target);
            break;
        case 4:
            kill(*target);
            break;
        case 5:
            fleet_.on(*target,
                      [this, target](actions& out) { target->limiter->leave(fleet_.now, out); });
            break;
        case 6:
            fleet_.store.down = true;
            fleet_.at(up_to(2500), [this] { fleet_.store.down = false; });
            break;
        case 7:
            isolate(*target);
            break;
        default:
            replace(*target);
            break;
        }
    }

    /// A cut from the store and from the other VMs, which consider the VM gone after a while. Its
    /// callers still reach it.
    void isolate(node& target) {
        target.isolated = true;
        const auto vm = target.entry.vm;
        const auto incarnation = target.incarnation.value();
        delist(vm);
        fleet_.at(from_milliseconds(500) + up_to(6000), [this, vm, incarnation] {
            if (auto* same = fleet_.find(vm, incarnation)) {
                same->isolated = false;
                gone_.erase(vm);
                fleet_.announce_fleet(gone_);
            }
        });
    }

    void change_rate() {
        rows_.push_back({uniform(20, 200), uniform(1, 60)});
        for (auto& each : fleet_.nodes) {
            fleet_.at(up_to(1500), [this, vm = each->entry.vm, newer = rows_.size()] {
                if (auto* same = fleet_.find(vm)) {
                    fleet_.configure(*same, newer, rows_[newer - 1].rate, rows_[newer - 1].burst);
                }
            });
        }
    }

    /// A long suspension makes the platform replace the VM while it still exists.
    void suspend(node& target) {
        target.suspended = true;
        const auto vm = target.entry.vm;
        const auto incarnation = target.incarnation.value();
        if (happens(0.5)) {
            delist(vm);
        }
        fleet_.at(from_milliseconds(1000) + up_to(6000), [this, vm, incarnation] {
            if (auto* same = fleet_.find(vm, incarnation)) {
                fleet_.resume(*same);
            }
            fleet_.at(up_to(1000), [this, vm] { // Peers receive its messages again.
                if (fleet_.find(vm) != nullptr) {
                    gone_.erase(vm);
                    fleet_.announce_fleet(gone_);
                }
            });
        });
    }

    void kill(node& target) {
        const auto vm = target.entry.vm;
        fleet_.kill(target);
        delist(vm);
    }

    void delist(const vm_id& vm) {
        fleet_.at(up_to(1500), [this, vm] {
            if (auto* same = fleet_.find(vm);
                same != nullptr && !same->suspended && !same->isolated) {
                return; // Peers receive its messages.
            }
            gone_.insert(vm);
            fleet_.announce_fleet(gone_);
        });
    }

    /// Replaces the process at once by one with the same VM id and the next incarnation.
    void replace(node& target) {
        const auto vm = target.entry.vm;
        const auto next = target.incarnation.value() + 1;
        if (gone_.contains(vm) || target.suspended || target.isolated) {
            return;
        }
        fleet_.kill(target);
        start_vm(vm.str(), next);
    }

    /// Highest limits among the revisions that some VM has considered the newest within `settling`.
    share_limits bound() {
        auto oldest = revision{rows_.size()};
        for (const auto& each : fleet_.nodes) {
            oldest = std::min(oldest, each->known);
        }
        if (known_.empty() || known_.back().second != oldest) {
            known_.emplace_back(fleet_.now, oldest);
        }
        known_.back().first = fleet_.now;
        std::erase_if(known_, [&](const auto& each) { return each.first + settling < fleet_.now; });
        for (const auto& each : known_) {
            oldest = std::min(oldest, each.second);
        }
        share_limits highest;
        for (std::size_t i = std::max<std::size_t>(1, oldest.value()); i <= rows_.size(); ++i) {
            highest.rate = std::max(highest.rate, rows_[i - 1].rate);
            highest.burst = std::max(highest.burst, rows_[i - 1].burst);
        }
        return highest;
    }

    void check() {
        const auto limit = bound();
        share_limits used;
        for (const auto& each : fleet_.nodes) {
            const auto* limiter = each->limiter->find(fleet_.organisation);
            if (each->suspended || limiter == nullptr || !limiter->ledger().verified()) {
                continue;
            }
            used.rate += limiter->bucket().rate();
            used.burst += limiter->bucket().tokens(fleet_.now) + limiter->bucket().reserved();
        }
        bucket_.refill(fleet_.now, limit);
        expect(used.rate <= limit.rate + tolerance, "sum of the rate parts", used.rate, limit.rate);
        expect(used.burst <= limit.burst + tolerance, "tokens", used.burst, limit.burst);
    }

    void on_decision(const admission& each) {
        if (each.state != admission_state::admitted) {
            ++refused;
            return;
        }
        ++admitted;
        bucket_.refill(fleet_.now, bound());
        bucket_.level -= 1;
        expect(bucket_.level >= -tolerance, "admitted beyond one global bucket", bucket_.level, 0);
    }

    void expect(bool holds, const char* what, double value, double limit) {
        if (!holds && failure.empty()) {
            failure = std::string{what} + ": " + std::to_string(value) + " against " +
                      std::to_string(limit) + " at " +
                      std::to_string(fleet_.now.time_since_epoch().count());
        }
    }

    limiter_fleet fleet_;
    std::vector<share_limits> rows_; ///< Revision n is at index n - 1.
    std::vector<std::pair<time_point, revision>> known_;
    std::set<vm_id> gone_;
    global_bucket bucket_;
    int started_{0};
};

class RateLimiterSchedules : public testing::TestWithParam<std::uint64_t> {};

/// Guards against any sequence of faults in which the fleet admits more than rate and burst.
TEST_P(RateLimiterSchedules, NeverExceedRateAndBurst) {
    constexpr std::uint64_t seeds = 250;
    int admitted{0};
    for (auto seed = GetParam() * seeds; seed < (GetParam() + 1) * seeds; ++seed) {
        random_schedule schedule{seed};
        schedule.run();
        ASSERT_EQ(schedule.failure, "") << "seed " << seed;
        admitted += schedule.admitted;
    }
    EXPECT_GT(admitted, 10000); // Schedules that admit nothing would pass trivially.
    RecordProperty("admitted", admitted);
}

INSTANTIATE_TEST_SUITE_P(RateLimiter, RateLimiterSchedules, testing::Range<std::uint64_t>(0, 8));

} // namespace
} // namespace jackdawvane
