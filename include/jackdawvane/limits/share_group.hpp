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

/// @brief Part of a group of organisations' rates that this VM holds, and who holds the others.
///
/// The parts apply to every organisation of the group alike, so one store record serves them all.
class share_group {
  public:
    /// @param context outlives this object
    share_group(share_group_id id, limiter_context& context);

    /// @brief The group has organisations in the configuration.
    void activate(time_point now, actions& out);
    /// @brief The fleet in the context has changed.
    void fleet_changed(time_point now, actions& out);
    /// @return whether the answer belongs to a call of this group
    bool on_store(time_point now, const store_answer& answer, actions& out);
    void on_notice(time_point now, const share_notice& notice, actions& out);
    void paused(time_point now, actions& out);
    /// @brief Gives the own part back.
    void leave(time_point now, actions& out);
    void tick(time_point now, actions& out);

    /// @brief Moves @a part of the own share to @a receiver, at most once in some seconds.
    /// @return whether the move was started
    bool give(time_point now, const vm_id& receiver, std::uint32_t part, actions& out);

    /// @brief Whether the own part or the other holders have changed since the last call.
    [[nodiscard]] bool take_changed();

    [[nodiscard]] time_point next_deadline() const noexcept { return ledger_.next_deadline(); }
    [[nodiscard]] const share_ledger& ledger() const noexcept { return ledger_; }
    /// @brief Other VMs that hold parts or shall hold them.
    [[nodiscard]] std::span<const token_donors::candidate> candidates() const noexcept {
        return candidates_;
    }

  private:
    [[nodiscard]] std::vector<vm_id> chosen_holders() const;
    [[nodiscard]] std::vector<token_donors::candidate> find_candidates() const;

    share_group_id id_;
    limiter_context& context_;
    share_ledger ledger_;
    std::vector<token_donors::candidate> candidates_;
    std::uint32_t part_{0}; ///< Usable part at the last `take_changed`.
    bool verified_{false};  ///< As `part_`.
    bool holder_{false};    ///< As `part_`.
    time_point last_gift_{-std::chrono::hours{1}};
};

} // namespace jackdawvane
