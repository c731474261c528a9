#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <vector>

/// @file
/// @brief What one VM knows about the others, and the rules that order contradicting news.

namespace jackdawvane {

/// @brief One VM of the fleet as this VM knows it.
struct member_record {
    vm_entry entry;             ///< `state` is the platform list's view.
    vm_incarnation incarnation; ///< 0 until the VM was heard, by this VM or another.
    std::uint64_t refutation{0};
    member_health health{member_health::alive};

    bool presumed{false};   ///< Counts as live before it was heard; set from the first list.
    bool listed{false};     ///< On the platform's list, as of `list_version`.
    bool was_listed{false}; ///< Was on the list at some time.
    std::uint64_t list_version{0};

    time_point suspect_until{no_deadline};
    bool own_suspicion{false};  ///< This VM's own probe failed.
    time_point known_since{};   ///< When this incarnation was first heard of.
    revision configuration;     ///< Revision in the last probe from the VM.
    std::uint64_t told_self{0}; ///< Version of this VM's own entry that the VM has acknowledged.
    std::uint32_t sends_left{0};

    /// @brief Whether work can be given to or expected from the VM.
    [[nodiscard]] bool is_up() const noexcept {
        return health != member_health::dead && (incarnation.value() > 0 || presumed);
    }
};

/// @brief How an update compares with what was known.
enum class merge_result {
    unchanged,
    stale,  ///< Older than what is known here.
    news,   ///< Changed the record.
    itself, ///< About this VM and contradicting it; has been refuted.
};

/// @brief Records of all VMs, this one included.
///
/// Health is ordered by incarnation, then refutation number, then severity, so that all VMs
/// settle on the same record in any order of arrival. The platform list's facts are ordered by
/// list version on their own.
class member_table {
  public:
    member_table(const vm_entry& self, vm_incarnation incarnation);

    /// @brief Takes news about a VM.
    merge_result merge(time_point now, const member_update& update);

    /// @brief Takes a direct message of incarnation @a incarnation of a known VM.
    /// @return `stale` for an earlier incarnation, `news` for a later one
    merge_result hear(time_point now, const vm_id& vm, vm_incarnation incarnation);

    /// @brief Takes the platform's list.
    /// @param presume whether its VMs count as live before they are heard
    /// @return VMs whose facts have changed; empty for a list older than the last one
    std::vector<vm_id> take_list(time_point now, const std::vector<vm_entry>& list,
                                 std::uint64_t version, bool presume);

    /// @brief Sets the health of a VM within its incarnation.
    static void judge(member_record& record, member_health health);

    /// @brief Announces that this VM leaves.
    void leave_self();

    [[nodiscard]] member_update update_about(const member_record& record) const;
    [[nodiscard]] member_record* find(const vm_id& vm);
    [[nodiscard]] const member_record* find(const vm_id& vm) const;
    [[nodiscard]] member_record& self() { return *self_; }
    [[nodiscard]] const member_record& self() const { return *self_; }
    /// @brief Rises with each change that this VM makes to its own record.
    [[nodiscard]] std::uint64_t self_version() const noexcept { return self_version_; }
    [[nodiscard]] std::map<vm_id, member_record>& records() noexcept { return records_; }
    [[nodiscard]] const std::map<vm_id, member_record>& records() const noexcept {
        return records_;
    }

    /// @brief VMs that count as live, with the state `leaving` where either source says so.
    [[nodiscard]] std::vector<vm_entry> live() const;

    /// @brief VMs that were listed, are not any more, and do not answer.
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
