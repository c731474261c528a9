#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/failover/group_view.hpp"
#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/time.hpp"

#include <optional>

namespace jackdawvane {

/// @brief Decides when a write may start and when it counts as acknowledged.
class fencing_policy {
  public:
    fencing_policy() = default;
    fencing_policy(const fencing_policy&) = delete;
    fencing_policy(fencing_policy&&) = delete;
    fencing_policy& operator=(const fencing_policy&) = delete;
    fencing_policy& operator=(fencing_policy&&) = delete;
    virtual ~fencing_policy() = default;

    /// @brief Checks whether a write may start now.
    /// @param remaining time until the write's deadline
    /// @return an error with a retry delay, or nothing when the write may start
    [[nodiscard]] virtual std::optional<error> refuse_write(const group_view& view, time_point now,
                                                            duration remaining) const = 0;

    /// @brief Whether a write that the primary has answered may be acknowledged.
    /// @param written_term term of the write's log entry
    /// @param position position of that entry
    [[nodiscard]] virtual bool acknowledged(const group_view& view, term written_term,
                                            log_position position) const = 0;
};

/// @brief Acknowledges once a majority has the write in the primary's term.
class majority_fencing final : public fencing_policy {
  public:
    [[nodiscard]] std::optional<error> refuse_write(const group_view& view, time_point now,
                                                    duration remaining) const override;
    [[nodiscard]] bool acknowledged(const group_view& view, term written_term,
                                    log_position position) const override;
};

/// @brief Acknowledges on the primary's answer alone; a failover may lose the write.
///
/// Writes to a primary whose term is not confirmed are refused, so that a failover loses at most
/// the writes of one confirmation limit.
class primary_alone_fencing final : public fencing_policy {
  public:
    [[nodiscard]] std::optional<error> refuse_write(const group_view& view, time_point now,
                                                    duration remaining) const override;
    [[nodiscard]] bool acknowledged(const group_view& view, term written_term,
                                    log_position position) const override;
};

/// @brief Acknowledges while a lease in the platform's store is held; used for comparison only.
class store_lease_fencing final : public fencing_policy {
  public:
    /// @brief The store granted or extended the lease.
    void lease_renewed() noexcept { held_ = true; }
    /// @brief The lease expired, also because the store did not answer in time.
    void lease_expired() noexcept { held_ = false; }

    [[nodiscard]] std::optional<error> refuse_write(const group_view& view, time_point now,
                                                    duration remaining) const override;
    [[nodiscard]] bool acknowledged(const group_view& view, term written_term,
                                    log_position position) const override;

  private:
    bool held_{false};
};

/// @brief Returns the policy for @a mode, an object with static storage duration.
[[nodiscard]] const fencing_policy& fencing_policy_for(fencing_mode mode);

} // namespace jackdawvane
