#include "programs/jackdawvane-limits/study.hpp"

#include "jackdawvane/limits/token_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace jackdawvane::limits {

namespace {

constexpr duration replacement_time = std::chrono::seconds{4};
/// Time in which the buckets of the reference have filled before the first request.
constexpr duration head_start = std::chrono::seconds{100};
constexpr double percent = 100;

/// @brief Global bucket that notes what was admitted, even when that is too much.
class overshoot_meter {
  public:
    explicit overshoot_meter(share_limits limits) : limits_{limits}, level_{limits.burst} {}

    void admitted(time_point now) {
        const auto passed = static_cast<double>((now - filled_).count()) / 1e6;
        level_ = std::min(limits_.burst, level_ + passed * limits_.rate) - 1;
        filled_ = now;
        lowest_ = std::min(lowest_, level_);
    }
    [[nodiscard]] double overshoot() const noexcept { return std::max(0.0, -lowest_); }

  private:
    share_limits limits_;
    double level_;
    double lowest_{0};
    time_point filled_{};
};

struct tally {
    std::uint64_t allowed{0};
    std::uint64_t admitted{0};
};

/// @brief One run: feeds the arrivals in and counts the verdicts.
class run {
  public:
    run(const scenario& chosen, const mechanism_entry& subject, std::uint64_t seed)
        : scenario_{chosen}, world_{chosen, seed}, subject_{subject.make(world_)},
          arrivals_{make_arrivals(chosen, seed)}, tallies_(organisation_limits().size()) {
        for (const auto& limits : organisation_limits()) {
            meters_.emplace_back(limits);
            reference_.emplace_back();
            reference_.back().set_limits(time_point{} - head_start, limits.rate, limits.burst);
        }
        result_.scenario = chosen.name;
        result_.mechanism = subject.name;
        result_.seed = seed;
    }

    measurement execute() {
        subject_->start();
        feed(0);
        if (scenario_.replacement.count() > 0) {
            world_.after(scenario_.replacement, [this] { replace(); });
        }
        world_.after(scenario_.warm_up, [this] {
            world_.store_calls = 0;
            world_.messages = 0;
            world_.bytes = 0;
        });
        world_.run();
        summarise();
        return result_;
    }

  private:
    void feed(std::size_t index) {
        if (index >= arrivals_.size()) {
            return;
        }
        world_.after(arrivals_[index].at - world_.now(), [this, index] {
            arrive(arrivals_[index]);
            feed(index + 1);
        });
    }

    void arrive(const arrival& each) {
        const auto at = world_.now();
        const bool allowed = reference_[each.organisation].take(at, 1);
        const bool measured = at >= time_point{scenario_.warm_up};
        auto& counts = tallies_[each.organisation];
        if (measured) {
            ++result_.offered;
            counts.allowed += allowed ? 1 : 0;
        }
        subject_->request(world_.balanced(each.slot), each.organisation,
                          [this, each, at, allowed, measured](bool admitted) {
                              decided(each, at, allowed, measured, admitted);
                          });
    }

    void decided(const arrival& each, time_point asked, bool allowed, bool measured,
                 bool admitted) {
        if (admitted) {
            meters_[each.organisation].admitted(world_.now());
        }
        if (!measured) {
            return;
        }
        waited_ += world_.now() > asked ? 1 : 0;
        tallies_[each.organisation].admitted += admitted ? 1 : 0;
        if (allowed && !admitted && !overloaded(each.organisation)) {
            ++result_.wrongful;
        }
    }

    void replace() {
        const auto slot = world_.random()() % vm_count;
        subject_->killed(slot);
        world_.set_present(slot, false);
        world_.after(replacement_time, [this, slot] {
            world_.set_present(slot, true);
            subject_->replaced(slot);
        });
        world_.after(scenario_.replacement, [this] { replace(); });
    }

    [[nodiscard]] bool overloaded(std::size_t organisation) const noexcept {
        return organisation == 0 && scenario_.overload > 1;
    }

    void summarise() {
        std::uint64_t allowed{0};
        result_.worst_served = 1;
        for (std::size_t i = 0; i < tallies_.size(); ++i) {
            const auto served =
                static_cast<double>(tallies_[i].admitted) /
                static_cast<double>(std::max<std::uint64_t>(1, tallies_[i].allowed));
            if (overloaded(i)) {
                result_.overloaded_served = served;
            } else {
                allowed += tallies_[i].allowed;
                result_.worst_served = std::min(result_.worst_served, served);
            }
            result_.overshoot = std::max(result_.overshoot, meters_[i].overshoot());
        }
        const auto length = static_cast<double>((scenario_.length - scenario_.warm_up).count());
        result_.wrongful_percent =
            percent * static_cast<double>(result_.wrongful) / static_cast<double>(allowed);
        result_.waited_percent =
            percent * static_cast<double>(waited_) / static_cast<double>(result_.offered);
        result_.store_calls_per_second = static_cast<double>(world_.store_calls) / length;
        result_.messages_per_second = static_cast<double>(world_.messages) / length / vm_count;
        result_.bytes_per_second = static_cast<double>(world_.bytes) / length / vm_count;
    }

    const scenario& scenario_;
    world world_;
    std::unique_ptr<mechanism> subject_;
    std::vector<arrival> arrivals_;
    std::vector<token_bucket> reference_;
    std::vector<overshoot_meter> meters_;
    std::vector<tally> tallies_;
    std::uint64_t waited_{0};
    measurement result_;
};

} // namespace

measurement run_study(const scenario& chosen, const mechanism_entry& subject, std::uint64_t seed) {
    return run{chosen, subject, seed}.execute();
}

} // namespace jackdawvane::limits
