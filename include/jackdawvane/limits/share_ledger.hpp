#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/share_record.hpp"
#include "jackdawvane/node/peer.hpp"
#include "jackdawvane/node/ports.hpp"
#include "jackdawvane/node/store.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Intervals and delays of the share ledger.
struct share_settings {
    duration refresh{std::chrono::seconds{90}}; ///< Mean time between record reads.
    /// Joins are spread at random over this time to avoid conflicts.
    duration join_spread{std::chrono::milliseconds{300}};
    /// A VM without an entry in the record joins once the targets have not changed for this time.
    duration join_settle{0};
    /// It joins after this time even if they keep changing, for example while VMs restart in turn.
    duration join_settle_limit{std::chrono::seconds{3}};
    duration takeover_step{std::chrono::seconds{2}}; ///< Delay per rank before shared work is done.
    /// A VM that is no longer a target releases its part after this time. Other VMs do not ask it
    /// for tokens, so its part is unused until then.
    duration release_delay{std::chrono::seconds{90}};
    /// Time from the last use of a part until another VM may hold it: tokens in transit settle
    /// first.
    duration settle{std::chrono::milliseconds{500}};
    duration shortest_retry{std::chrono::milliseconds{500}};
    duration longest_retry{std::chrono::seconds{15}};

    static constexpr auto fields() {
        return std::tuple{field("refresh_us", &share_settings::refresh),
                          field("join_spread_us", &share_settings::join_spread),
                          field("join_settle_us", &share_settings::join_settle),
                          field("join_settle_limit_us", &share_settings::join_settle_limit),
                          field("takeover_step_us", &share_settings::takeover_step),
                          field("return_after_us", &share_settings::release_delay),
                          field("settle_us", &share_settings::settle),
                          field("shortest_retry_us", &share_settings::shortest_retry),
                          field("longest_retry_us", &share_settings::longest_retry)};
    }
};

/// @brief State common to the ledgers of all share groups at one VM.
struct share_context {
    vm_id self;
    vm_incarnation incarnation;
    share_settings settings;
    id_sequence<request_id>& ids;
    random_engine& random;
    std::map<vm_id, vm_entry> live; ///< VMs that are considered alive.
    std::set<vm_id> gone;   ///< VMs that were listed once, are no longer, and reach no peer.
    bool lease_held{false}; ///< The store keeps this VM's lease, by this VM's clock.
};

/// @brief This VM's view of one group's share record, and its changes to it.
///
/// The parts in use never exceed the whole: the parts in the record sum to at most the whole. A
/// holder uses at most its part in the last record that it has seen, and at most its part in each
/// of its own changes whose answer is outstanding or lost. Other VMs only raise a holder's part, or
/// remove a holder that is gone. So each holder uses at most its part in the current record.
///
/// A reclaimed part is not used by its former holder: a holder uses its part only while its lease
/// runs by its own clock, whose margin makes that end before the lease expires in the store. A
/// reclaimer finds the lease expired after it has seen version v of the record, and its write
/// succeeds on version v only. A holder whose lease has lapsed renews the lease, then writes the
/// record unchanged, and only then uses its part. If that write comes first, the reclaimer's write
/// fails and its next read of the lease finds it renewed. A read instead of the holder's write is
/// not enough: the reclaimer's write could follow it. For the same reason a VM joins the record
/// only once it has a lease.
///
/// The rates in use never exceed the configured rate: a holder uses its part of the rate in the
/// newest configuration that it has seen. As the parts sum to at most the whole, the sum of the
/// rates is at most the highest rate among the revisions that some holder still considers the
/// newest.
class share_ledger {
  public:
    /// @param context outlives this object
    share_ledger(share_group_id group, share_context& context);

    /// @brief Called when the group gets its first organisation in the configuration.
    void activate(time_point now, actions& out);

    /// @brief Sets the VMs that should hold shares; the fleet in the context may have changed as
    /// well.
    void set_targets(time_point now, std::vector<vm_id> targets, actions& out);

    /// @brief Handles another VM's notice of a new version of the record.
    void on_notice(time_point now, const share_notice& notice, actions& out);

    /// @return whether the answer belongs to a call of this ledger
    bool on_store(time_point now, const store_answer& answer, actions& out);

    /// @brief Starts to transfer @a part of this VM's share to @a receiver; lowers this VM's
    /// part at once.
    /// @return whether the transfer was started
    bool start_transfer(time_point now, const vm_id& receiver, std::uint32_t part, actions& out);

    /// @brief The VM's lease has lapsed: its part is unusable until its entry is confirmed.
    void on_lease_lapsed(time_point now, actions& out);
    /// @brief The VM has a lease again, or its first one: the store answers, so nothing waits for
    /// the next retry.
    void on_lease_renewed(time_point now, actions& out);

    /// @brief Releases this VM's part.
    void leave(time_point now, actions& out);

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const noexcept;

    /// @brief Part that this VM may use while `verified`.
    [[nodiscard]] std::uint32_t usable_part() const noexcept;
    /// @brief `usable_part` as a fraction of the whole.
    [[nodiscard]] double usable_fraction() const noexcept;

    /// @brief Whether this VM is a holder in the last record that it has seen.
    [[nodiscard]] bool holder() const noexcept;
    /// @brief Whether the share may be used: this VM holds no part, or holds it under a lease that
    /// has not lapsed since its entry was confirmed.
    [[nodiscard]] bool verified() const noexcept;
    /// @brief Whether this VM's part is unusable because its lease has lapsed.
    [[nodiscard]] bool lapsed() const noexcept;
    /// @brief Whether this VM needs a lease: it holds a part or is about to join.
    [[nodiscard]] bool needs_lease() const noexcept;
    /// @brief Whether this VM's part was that of an earlier incarnation.
    [[nodiscard]] bool inherited() const noexcept { return inherited_; }
    /// @brief Whether this VM should hold a share.
    [[nodiscard]] bool target() const noexcept;
    /// @brief Whether `leave` has finished.
    [[nodiscard]] bool left() const noexcept;
    [[nodiscard]] const share_record& record() const noexcept { return record_; }
    [[nodiscard]] const std::vector<vm_id>& targets() const noexcept { return targets_; }

  private:
    enum class call_kind { none, read, swap, read_lease };
    /// Change whose outcome is unknown: it may still be applied to version `base` of the record.
    struct proposal {
        std::uint64_t base{0};
        std::uint32_t own_part{0};
        std::vector<vm_id> notify; ///< VMs to notify if the change took effect.
    };
    struct transfer {
        vm_id receiver;
        std::uint32_t part{0};
        int attempts{0};
    };

    void advance(time_point now, actions& out);
    void start_read(actions& out);
    void start_swap(const share_record& next, actions& out);
    void start_lease_read(const share_holder& subject, actions& out);
    void call(call_kind kind, store_request request, actions& out);

    void finish_read(time_point now, const store_answer& answer, actions& out);
    void finish_swap(time_point now, const store_answer& answer, actions& out);
    void finish_lease_read(time_point now, const store_answer& answer, actions& out);
    void observe(time_point now, share_record record, std::uint64_t version, actions& out);
    void observe_text(time_point now, const store_answer& answer, actions& out);
    void resolve_proposals(actions& out);
    void retry_later(time_point now);
    void abandon_call();
    void drop_outdated(time_point now);

    [[nodiscard]] std::optional<share_record> desired(time_point now) const;
    [[nodiscard]] bool update_own_entry(time_point now, share_record& next) const;
    [[nodiscard]] bool remove_reclaimed(share_record& next) const;
    [[nodiscard]] bool apply_transfer(share_record& next) const;
    [[nodiscard]] bool all_targets_joined(const share_record& record) const;
    [[nodiscard]] bool superseded() const noexcept;
    [[nodiscard]] bool should_hold_part(time_point now) const noexcept;
    [[nodiscard]] bool waits_to_join() const noexcept;
    [[nodiscard]] bool record_not_needed() const noexcept;
    [[nodiscard]] bool distribution_due(time_point now, const share_record& next) const;
    [[nodiscard]] const share_holder* own_entry() const noexcept;
    [[nodiscard]] const share_holder* lease_to_check() const;
    [[nodiscard]] std::vector<vm_id> affected_by(const share_record& next) const;
    [[nodiscard]] std::vector<vm_id> non_target_holders() const;
    [[nodiscard]] duration takeover_delay();
    [[nodiscard]] duration random_delay(duration longest);
    void schedule_shared_work(time_point now);
    void notify(const std::vector<vm_id>& vms, actions& out) const;
    void report(actions& out, std::string text, log_level level = log_level::info) const;

    share_group_id group_;
    share_context& context_;

    bool active_{false};
    std::vector<vm_id> targets_;
    bool leaving_{false};

    share_record record_;
    share_record proposed_;             ///< Record of the swap in flight.
    std::uint64_t version_{0};          ///< Version of `record_`.
    std::uint64_t notified_version_{0}; ///< Highest version that another VM reported.
    bool read_needed_{true};            ///< The current record is not known.
    bool verified_{false};              ///< This VM's entry is confirmed.
    bool inherited_{false};
    bool confirm_needed_{false}; ///< This VM's entry has to be written again before it is used.
    std::vector<proposal> unresolved_;
    std::optional<transfer> transfer_;
    std::vector<share_holder> expired_; ///< Gone holders whose lease was found expired.

    call_kind call_kind_{call_kind::none};
    request_id call_id_;
    share_holder lease_subject_;     ///< Holder whose lease the call in flight reads.
    std::set<request_id> abandoned_; ///< Calls whose answers are ignored.

    time_point retry_at_{};
    duration retry_delay_{0};
    time_point refresh_at_{no_deadline};
    time_point join_at_{};
    time_point first_join_at_{}; ///< As `join_at_`, for a VM that has no entry in the record.
    time_point drained_at_{no_deadline}; ///< When an unused part may be released.
    time_point targeted_since_{};
    time_point untargeted_since_{no_deadline};
    time_point incomplete_since_{no_deadline}; ///< Since when a target is missing in the record.
    time_point shared_work_at_{no_deadline};   ///< When to distribute the unassigned part.
    time_point non_target_notice_at_{no_deadline}; ///< When to notify holders that are not targets.
    time_point lease_check_at_{no_deadline};
};

} // namespace jackdawvane
