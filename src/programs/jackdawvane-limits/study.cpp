#include "programs/jackdawvane-limits/study.hpp"

#include "jackdawvane/limits/token_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace jackdawvane::limits {

namespace {

constexpr duration replacement_delay = std::chrono::seconds{4};
/// The reference buckets fill for this time before the first request, so that they start full.
constexpr duration reference_fill_time = std::chrono::seconds{100};
constexpr double percent = 100;

/// @brief Global token bucket whose level may go negative; its lowest level gives the overshoot.
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

struct admission_counts {
    std::uint64_t allowed{0};
    std::uint64_t admitted{0};
};

/// @brief One run of the study: feeds the arrivals to a mechanism and counts its decisions.
class run {
  public:
    run(const scenario& chosen, const mechanism_entry& subject, std::uint64_t seed)
        : scenario_{chosen}, simulation_{chosen, seed}, subject_{subject.make(simulation_)},
          arrivals_{make_arrivals(chosen, seed)}, counts_(organisation_limits().size()) {
        for (const auto& limits : organisation_limits()) {
            meters_.emplace_back(limits);
            reference_.emplace_back();
            reference_.back().set_limits(time_point{} - reference_fill_time, limits.rate,
                                         limits.burst);
        }
        result_.scenario = chosen.name;
        result_.mechanism = subject.name;
        result_.seed = seed;
    }

    measurement execute() {
        subject_->start();
        schedule_arrival(0);
        if (scenario_.replacement_interval.count() > 0) {
            simulation_.after(scenario_.replacement_interval, [this] { replace(); });
        }
        simulation_.after(scenario_.warm_up, [this] {
            simulation_.store_calls = 0;
            simulation_.messages = 0;
            simulation_.bytes = 0;
        });
        simulation_.run();
        summarise();
        return result_;
    }

  private:
    void schedule_arrival(std::size_t index) {
        if (index >= arrivals_.size()) {
            return;
        }
        simulation_.after(arrivals_[index].at - simulation_.now(), [this, index] {
            handle_arrival(arrivals_[index]);
            schedule_arrival(index + 1);
        });
    }

    void handle_arrival(const arrival& each) {
        const auto at = simulation_.now();
        const bool allowed = reference_[each.organisation].take(at, 1);
        const bool measured = at >= time_point{scenario_.warm_up};
        auto& counts = counts_[each.organisation];
        if (measured) {
            ++result_.offered;
            counts.allowed += allowed ? 1 : 0;
        }
        subject_->request(simulation_.serving_slot(each.slot), each.organisation,
                          [this, each, at, allowed, measured](bool admitted) {
                              on_decision(each, at, allowed, measured, admitted);
                          });
    }

    void on_decision(const arrival& each, time_point requested_at, bool allowed, bool measured,
                     bool admitted) {
        if (admitted) {
            meters_[each.organisation].admitted(simulation_.now());
        }
        if (!measured) {
            return;
        }
        waited_ += simulation_.now() > requested_at ? 1 : 0;
        counts_[each.organisation].admitted += admitted ? 1 : 0;
        if (allowed && !admitted && !overloaded(each.organisation)) {
            ++result_.wrongful;
        }
    }

    void replace() {
        const auto slot = simulation_.random()() % vm_count;
        subject_->on_vm_killed(slot);
        simulation_.set_present(slot, false);
        simulation_.after(replacement_delay, [this, slot] {
            simulation_.set_present(slot, true);
            subject_->on_vm_replaced(slot);
        });
        simulation_.after(scenario_.replacement_interval, [this] { replace(); });
    }

    [[nodiscard]] bool overloaded(std::size_t organisation) const noexcept {
        return organisation == 0 && scenario_.overload_factor > 1;
    }

    void summarise() {
        std::uint64_t allowed{0};
        result_.worst_served = 1;
        for (std::size_t i = 0; i < counts_.size(); ++i) {
            const auto served = static_cast<double>(counts_[i].admitted) /
                                static_cast<double>(std::max<std::uint64_t>(1, counts_[i].allowed));
            if (overloaded(i)) {
                result_.overloaded_served = served;
            } else {
                allowed += counts_[i].allowed;
                result_.worst_served = std::min(result_.worst_served, served);
            }
            result_.overshoot = std::max(result_.overshoot, meters_[i].overshoot());
        }
        const auto length = static_cast<double>((scenario_.length - scenario_.warm_up).count());
        result_.wrongful_percent =
            percent * static_cast<double>(result_.wrongful) / static_cast<double>(allowed);
        result_.waited_percent =
            percent * static_cast<double>(waited_) / static_cast<double>(result_.offered);
        result_.store_calls_per_second = static_cast<double>(simulation_.store_calls) / length;
        result_.messages_per_second = static_cast<double>(simulation_.messages) / length / vm_count;
        result_.bytes_per_second = static_cast<double>(simulation_.bytes) / length / vm_count;
    }

    const scenario& scenario_;
    simulation simulation_;
    std::unique_ptr<mechanism> subject_;
    std::vector<arrival> arrivals_;
    std::vector<token_bucket> reference_;
    std::vector<overshoot_meter> meters_;
    std::vector<admission_counts> counts_;
    std::uint64_t waited_{0};
    measurement result_;
};

} // namespace

measurement run_study(const scenario& chosen, const mechanism_entry& subject, std::uint64_t seed) {
    return run{chosen, subject, seed}.execute();
}

} // namespace jackdawvane::limits
