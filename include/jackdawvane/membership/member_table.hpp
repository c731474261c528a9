#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <vector>

/// @file
/// @brief One VM's records of all VMs, and the rules that order conflicting updates.

namespace jackdawvane {

/// @brief Record of one VM of the fleet, as seen by this VM.
struct member_record {
    vm_entry entry;             ///< `state` comes from the platform's VM list.
    vm_incarnation incarnation; ///< 0 until this VM or another has had a message from it.
    std::uint64_t refutation{0};
    member_health health{member_health::alive};

    bool presumed_live{false}; ///< Counts as live before its first message; set from the list.
    bool listed{false};        ///< On the platform's list, as of `list_version`.
    bool was_listed{false};    ///< Has been on the list at any time.
    std::uint64_t list_version{0};

    time_point suspect_until{no_deadline};
    bool own_suspicion{false}; ///< A probe from this VM failed.
    time_point known_since{};  ///< When this incarnation became known here.
    revision configuration;    ///< Revision in the last probe from the VM.
    /// Version of this VM's own record that the other VM has acknowledged.
    std::uint64_t acknowledged_self_version{0};
    std::uint32_t sends_left{0}; ///< Number of messages that it is still to be attached to.

    /// @brief Whether the VM counts as live: it can be given work and may still be doing some.
    [[nodiscard]] bool is_up() const noexcept {
        return health != member_health::dead && (incarnation.value() > 0 || presumed_live);
    }
};

/// @brief Effect of merging an update into a record.
enum class merge_result {
    unchanged,
    stale,   ///< Older than the record.
    changed, ///< The record changed.
    refuted, ///< Wrongly reported the health of this VM, which refuted it.
};

/// @brief Records of all VMs, this one included.
///
/// Health updates are ordered by incarnation, then refutation number, then severity, so that all
/// VMs converge to the same record in any order of arrival. The facts of the platform's VM list
/// are ordered separately, by list version.
class member_table {
  public:
    member_table(const vm_entry& self, vm_incarnation incarnation);

    /// @brief Merges an update about a VM.
    merge_result merge(time_point now, const member_update& update);

    /// @brief Records that a message arrived from incarnation @a incarnation of a VM.
    /// @return `stale` for an unknown VM or an earlier incarnation, `changed` for a later one that
    /// is not just the first message of a VM that was presumed live
    merge_result observe_incarnation(time_point now, const vm_id& vm, vm_incarnation incarnation);

    /// @brief Applies the platform's VM list.
    /// @param presume whether its VMs count as live before their first message
    /// @return VMs whose listing changed; empty for a list older than the last one
    std::vector<vm_id> apply_list(time_point now, const std::vector<vm_entry>& list,
                                  std::uint64_t version, bool presume);

    /// @brief Sets the health of a VM within its incarnation.
    static void set_health(member_record& record, member_health health);

    /// @brief Marks this VM as leaving in its own record.
    void leave_self();

    [[nodiscard]] member_update update_about(const member_record& record) const;
    [[nodiscard]] member_record* find(const vm_id& vm);
    [[nodiscard]] const member_record* find(const vm_id& vm) const;
    [[nodiscard]] member_record& self() { return *self_; }
    [[nodiscard]] const member_record& self() const { return *self_; }
    /// @brief Increases with each change that this VM makes to its own record.
    [[nodiscard]] std::uint64_t self_version() const noexcept { return self_version_; }
    [[nodiscard]] std::map<vm_id, member_record>& records() noexcept { return records_; }
    [[nodiscard]] const std::map<vm_id, member_record>& records() const noexcept {
        return records_;
    }

    /// @brief VMs that count as live; `leaving` if either the VM or the platform says so.
    [[nodiscard]] std::vector<vm_entry> live() const;

    /// @brief VMs that were removed from the list and do not count as live.
    [[nodiscard]] std::vector<vm_id> gone() const;

  private:
    merge_result merge_self(const member_update& update);
    bool merge_listing(member_record& record, const member_update& update);
    member_record& add(time_point now, const member_update& update);

    std::map<vm_id, member_record> records_;
    member_record* self_{nullptr};
    std::uint64_t self_version_{1};
    std::uint64_t list_version_{0};
};

} // namespace jackdawvane
