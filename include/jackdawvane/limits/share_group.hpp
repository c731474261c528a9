#pragma once

#include "jackdawvane/limits/share_ledger.hpp"
#include "jackdawvane/limits/token_donors.hpp"

#include <chrono>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace jackdawvane {

struct limiter_context;

/// @brief This VM's part of the rates of a group of organisations, and the holders of the other
/// parts.
///
/// The parts apply to every organisation of the group alike, so one store record serves them all.
class share_group {
  public:
    /// @param context outlives this object
    share_group(share_group_id id, limiter_context& context);

    /// @brief Called when the group gets its first organisation in the configuration.
    void activate(time_point now, actions& out);
    /// @brief Called after the fleet in the context has changed.
    void fleet_changed(time_point now, actions& out);
    /// @return whether the answer belongs to a call of this group
    bool on_store(time_point now, const store_answer& answer, actions& out);
    void on_notice(time_point now, const share_notice& notice, actions& out);
    void on_lease_lapsed(time_point now, actions& out);
    void on_lease_renewed(time_point now, actions& out);
    /// @brief Releases this VM's part.
    void leave(time_point now, actions& out);
    void tick(time_point now, actions& out);

    /// @brief Starts to transfer @a part of this VM's share to @a receiver, at most once in a few
    /// seconds.
    /// @return whether the transfer was started
    bool start_transfer(time_point now, const vm_id& receiver, std::uint32_t part, actions& out);

    /// @brief Whether this VM's part or the candidates have changed since the last call.
    [[nodiscard]] bool take_changed();

    [[nodiscard]] time_point next_deadline() const noexcept { return ledger_.next_deadline(); }
    [[nodiscard]] const share_ledger& ledger() const noexcept { return ledger_; }
    /// @brief Other live VMs that hold parts or are targets.
    [[nodiscard]] std::span<const token_donors::candidate> candidates() const noexcept {
        return candidates_;
    }

  private:
    [[nodiscard]] std::vector<vm_id> select_holders() const;
    [[nodiscard]] std::vector<token_donors::candidate> find_candidates() const;

    share_group_id id_;
    limiter_context& context_;
    share_ledger ledger_;
    std::vector<token_donors::candidate> candidates_;
    std::uint32_t part_{0}; ///< Usable part at the last `take_changed`.
    bool verified_{false};  ///< At the last `take_changed`.
    bool holder_{false};    ///< At the last `take_changed`.
    time_point last_transfer_{-std::chrono::hours{1}};
};

} // namespace jackdawvane
