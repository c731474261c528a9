#include "jackdawvane/limits/token_bucket.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <chrono>

#include "programs/jackdawvane-limits/mechanism.hpp"

/// @file
/// @brief Mechanisms that the study compares with the escrow of rate shares.

namespace jackdawvane::limits {

namespace {

using bucket_list = std::vector<token_bucket>;

bucket_list make_buckets() {
    return bucket_list(organisation_limits().size());
}

/// @brief Gives each VM a fixed ninth of every rate and burst.
class static_division final : public mechanism {
  public:
    explicit static_division(simulation& sim) : simulation_{sim} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            on_vm_replaced(slot);
        }
    }
    void request(std::size_t slot, std::size_t organisation,
                 decision_callback on_decision) override {
        on_decision(buckets_.at(slot).at(organisation).take(simulation_.now(), 1));
    }
    void on_vm_killed(std::size_t /*slot*/) override {}
    void on_vm_replaced(std::size_t slot) override {
        buckets_.at(slot) = make_buckets();
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            const auto limits = organisation_limits()[i];
            buckets_.at(slot).at(i).set_limits(simulation_.now(), limits.rate / vm_count,
                                               limits.burst / vm_count);
        }
    }

  private:
    simulation& simulation_;
    std::array<bucket_list, vm_count> buckets_;
};

/// @brief Keeps one counter per organisation in the store and queries it for each request.
///
/// The model favours this mechanism: one call decides, and the store has no write conflicts and no
/// limit on calls.
class central_counter final : public mechanism {
  public:
    explicit central_counter(simulation& sim) : simulation_{sim}, buckets_{make_buckets()} {}

    void start() override {
        for (std::size_t i = 0; i < buckets_.size(); ++i) {
            const auto limits = organisation_limits()[i];
            buckets_[i].set_limits(simulation_.now(), limits.rate, limits.burst);
        }
    }
    void request(std::size_t slot, std::size_t organisation,
                 decision_callback on_decision) override {
        store_request store_call;
        store_call.key = "counters/" + organisation_name(organisation).str();
        simulation_.call(
            slot, store_call,
            [this, organisation, on_decision = std::move(on_decision)](const store_answer& answer) {
                on_decision(answer.status != store_status::unavailable &&
                            buckets_[organisation].take(simulation_.now(), 1));
            });
    }
    void on_vm_killed(std::size_t /*slot*/) override {}
    void on_vm_replaced(std::size_t /*slot*/) override {}

  private:
    simulation& simulation_;
    bucket_list buckets_;
};

/// @brief Leases each VM a fraction of every rate in proportion to its demand, for one second.
///
/// A renewal takes a read and a write. The fraction is limited to what the unexpired leases of the
/// other VMs leave.
class expiring_leases final : public mechanism {
  public:
    explicit expiring_leases(simulation& sim) : simulation_{sim} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            on_vm_replaced(slot);
            simulation_.after(lease_time / vm_count * slot, [this, slot] { renew_all(slot); });
        }
    }
    void request(std::size_t slot, std::size_t organisation,
                 decision_callback on_decision) override {
        auto& held = held_.at(slot).at(organisation);
        ++held.demand;
        if (held.end <= simulation_.now()) {
            held.bucket.set_limits(simulation_.now(), 0, 0);
        }
        on_decision(held.bucket.take(simulation_.now(), 1));
    }
    void on_vm_killed(std::size_t /*slot*/) override {}
    void on_vm_replaced(std::size_t slot) override {
        held_.at(slot) = std::vector<lease>(organisation_limits().size());
    }

  private:
    static constexpr duration lease_time = std::chrono::seconds{1};
    /// Leases outlast the renewal interval by `lease_time / overlap_divisor`, so that they are
    /// renewed before they expire.
    static constexpr int overlap_divisor = 5;

    struct lease {
        token_bucket bucket;
        double demand{0};
        double reported_demand{0};
        double fraction{0};
        time_point end{};
    };

    void renew_all(std::size_t slot) {
        simulation_.after(lease_time, [this, slot] { renew_all(slot); });
        if (!simulation_.present(slot)) {
            return;
        }
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            renew(slot, i);
        }
    }

    void renew(std::size_t slot, std::size_t organisation) {
        store_request store_call;
        store_call.key = "leases/" + organisation_name(organisation).str();
        simulation_.call(
            slot, store_call, [this, slot, organisation, store_call](const store_answer& read) {
                if (read.status == store_status::unavailable) {
                    return;
                }
                simulation_.call(slot, store_call,
                                 [this, slot, organisation](const store_answer& written) {
                                     if (written.status != store_status::unavailable) {
                                         assign(slot, organisation);
                                     }
                                 });
            });
    }

    void assign(std::size_t slot, std::size_t organisation) {
        const auto now = simulation_.now();
        auto& own = held_.at(slot).at(organisation);
        own.reported_demand = std::max(1.0, std::exchange(own.demand, 0));
        double others_demand{0};
        double others_fraction{0};
        for (std::size_t i = 0; i < vm_count; ++i) {
            const auto& other = held_.at(i).at(organisation);
            if (i != slot && other.end > now) {
                others_demand += other.reported_demand;
                others_fraction += other.fraction;
            }
        }
        own.fraction = std::min(own.reported_demand / (own.reported_demand + others_demand),
                                1 - others_fraction);
        own.fraction = std::max(0.0, own.fraction);
        own.end = now + lease_time + lease_time / overlap_divisor;
        const auto limits = organisation_limits()[organisation];
        own.bucket.set_limits(now, limits.rate * own.fraction, limits.burst * own.fraction);
    }

    simulation& simulation_;
    std::array<std::vector<lease>, vm_count> held_;
};

} // namespace

std::unique_ptr<mechanism> make_static_division(simulation& sim) {
    return std::make_unique<static_division>(sim);
}

std::unique_ptr<mechanism> make_central_counter(simulation& sim) {
    return std::make_unique<central_counter>(sim);
}

std::unique_ptr<mechanism> make_expiring_leases(simulation& sim) {
    return std::make_unique<expiring_leases>(sim);
}

const std::vector<mechanism_entry>& all_mechanisms() {
    static const std::vector<mechanism_entry> entries{{"escrow", make_escrow},
                                                      {"static division", make_static_division},
                                                      {"central counter", make_central_counter},
                                                      {"expiring leases", make_expiring_leases}};
    return entries;
}

} // namespace jackdawvane::limits
