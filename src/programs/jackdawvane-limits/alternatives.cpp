#include "jackdawvane/limits/token_bucket.hpp"

#include <utility>

#include <algorithm>
#include <array>
#include <chrono>

#include "programs/jackdawvane-limits/mechanism.hpp"

/// @file
/// @brief The alternatives to moving tokens and rates between VMs.

namespace jackdawvane::limits {

namespace {

using bucket_row = std::vector<token_bucket>;

bucket_row empty_row() {
    return bucket_row(organisation_limits().size());
}

/// @brief Each VM has a fixed ninth of rate and burst.
class static_division final : public mechanism {
  public:
    explicit static_division(world& around) : world_{around} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            replaced(slot);
        }
    }
    void request(std::size_t slot, std::size_t organisation, verdict decided) override {
        decided(rows_.at(slot).at(organisation).take(world_.now(), 1));
    }
    void killed(std::size_t /*slot*/) override {}
    void replaced(std::size_t slot) override {
        rows_.at(slot) = empty_row();
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            const auto limits = organisation_limits()[i];
            rows_.at(slot).at(i).set_limits(world_.now(), limits.rate / vm_count,
                                            limits.burst / vm_count);
        }
    }

  private:
    world& world_;
    std::array<bucket_row, vm_count> rows_;
};

/// @brief One counter per organisation in the store, asked for each request.
///
/// Favourable to this mechanism: one call decides, without conflicts or a limit on calls.
class central_counter final : public mechanism {
  public:
    explicit central_counter(world& around) : world_{around}, row_{empty_row()} {}

    void start() override {
        for (std::size_t i = 0; i < row_.size(); ++i) {
            const auto limits = organisation_limits()[i];
            row_[i].set_limits(world_.now(), limits.rate, limits.burst);
        }
    }
    void request(std::size_t slot, std::size_t organisation, verdict decided) override {
        store_request asked;
        asked.key = "counters/" + organisation_name(organisation).str();
        world_.call(slot, asked,
                    [this, organisation, decided = std::move(decided)](const store_answer& answer) {
                        decided(answer.status != store_status::unavailable &&
                                row_[organisation].take(world_.now(), 1));
                    });
    }
    void killed(std::size_t /*slot*/) override {}
    void replaced(std::size_t /*slot*/) override {}

  private:
    world& world_;
    bucket_row row_;
};

/// @brief Each VM leases a part of every rate by its demand, for one second at a time.
///
/// A renewal takes a read and a write. A VM gets no more than what unexpired leases leave over.
class expiring_leases final : public mechanism {
  public:
    explicit expiring_leases(world& around) : world_{around} {}

    void start() override {
        for (std::size_t slot = 0; slot < vm_count; ++slot) {
            replaced(slot);
            world_.after(lease_time / vm_count * slot, [this, slot] { renew_all(slot); });
        }
    }
    void request(std::size_t slot, std::size_t organisation, verdict decided) override {
        auto& held = held_.at(slot).at(organisation);
        ++held.demand;
        if (held.end <= world_.now()) {
            held.bucket.set_limits(world_.now(), 0, 0);
        }
        decided(held.bucket.take(world_.now(), 1));
    }
    void killed(std::size_t /*slot*/) override {}
    void replaced(std::size_t slot) override {
        held_.at(slot) = std::vector<lease>(organisation_limits().size());
    }

  private:
    static constexpr duration lease_time = std::chrono::seconds{1};
    /// Renewals come before the end; the lease is longer by this part.
    static constexpr int overlap_divisor = 5;

    struct lease {
        token_bucket bucket;
        double demand{0};
        double asked{0};
        double part{0};
        time_point end{};
    };

    void renew_all(std::size_t slot) {
        world_.after(lease_time, [this, slot] { renew_all(slot); });
        if (!world_.present(slot)) {
            return;
        }
        for (std::size_t i = 0; i < organisation_limits().size(); ++i) {
            renew(slot, i);
        }
    }

    void renew(std::size_t slot, std::size_t organisation) {
        store_request asked;
        asked.key = "leases/" + organisation_name(organisation).str();
        world_.call(slot, asked, [this, slot, organisation, asked](const store_answer& read) {
            if (read.status == store_status::unavailable) {
                return;
            }
            world_.call(slot, asked, [this, slot, organisation](const store_answer& written) {
                if (written.status != store_status::unavailable) {
                    assign(slot, organisation);
                }
            });
        });
    }

    void assign(std::size_t slot, std::size_t organisation) {
        const auto now = world_.now();
        auto& own = held_.at(slot).at(organisation);
        own.asked = std::max(1.0, std::exchange(own.demand, 0));
        double others_asked{0};
        double others_part{0};
        for (std::size_t i = 0; i < vm_count; ++i) {
            const auto& other = held_.at(i).at(organisation);
            if (i != slot && other.end > now) {
                others_asked += other.asked;
                others_part += other.part;
            }
        }
        own.part = std::min(own.asked / (own.asked + others_asked), 1 - others_part);
        own.part = std::max(0.0, own.part);
        own.end = now + lease_time + lease_time / overlap_divisor;
        const auto limits = organisation_limits()[organisation];
        own.bucket.set_limits(now, limits.rate * own.part, limits.burst * own.part);
    }

    world& world_;
    std::array<std::vector<lease>, vm_count> held_;
};

} // namespace

std::unique_ptr<mechanism> make_static_division(world& around) {
    return std::make_unique<static_division>(around);
}

std::unique_ptr<mechanism> make_central_counter(world& around) {
    return std::make_unique<central_counter>(around);
}

std::unique_ptr<mechanism> make_expiring_leases(world& around) {
    return std::make_unique<expiring_leases>(around);
}

const std::vector<mechanism_entry>& all_mechanisms() {
    static const std::vector<mechanism_entry> entries{{"escrow", make_escrow},
                                                      {"static division", make_static_division},
                                                      {"central counter", make_central_counter},
                                                      {"expiring leases", make_expiring_leases}};
    return entries;
}

} // namespace jackdawvane::limits
