#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/membership/member_table.hpp"
#include "jackdawvane/node/ports.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief This VM's place in the fleet and the intervals of the membership protocol.
struct membership_settings {
    vm_entry self;
    vm_incarnation incarnation{1};
    std::vector<endpoint> seeds; ///< VMs to ask at start when the store is down.

    duration probe_period{std::chrono::seconds{1}};
    duration join_period{std::chrono::milliseconds{200}}; ///< Probe period in the first seconds.
    duration joining_for{std::chrono::seconds{5}};
    duration indirect_after{std::chrono::milliseconds{200}};
    duration probe_timeout{std::chrono::milliseconds{500}};
    std::size_t indirect_probes{2};
    /// Suspicion time of a fleet of up to 9 VMs; it grows with the logarithm of the size.
    duration suspicion{std::chrono::seconds{1}};
    /// Changes of the live VMs that follow each other are put in force this far apart at least:
    /// each costs every part a pass over the fleet, and a start of all VMs brings hundreds.
    duration change_interval{std::chrono::milliseconds{100}};
    /// Interval of extra messages while there is news to spread.
    duration gossip_interval{std::chrono::milliseconds{200}};
    duration list_wait{std::chrono::seconds{30}};
    /// A VM that has started reads the list again after this until a reading brings little new.
    /// In a start of all VMs the first readings show few of them, and news of hundreds of VMs
    /// takes many seconds from VM to VM.
    duration list_reread{std::chrono::milliseconds{1200}};
    /// Between a change of the list and the next call: VMs that start together are one change.
    duration list_pause{std::chrono::milliseconds{250}};
    duration retry_floor{std::chrono::milliseconds{200}};
    duration retry_ceiling{std::chrono::seconds{2}};
    std::size_t delegates_per_domain{2};
    /// Without store and other failure domains for this long, this VM counts as isolated.
    duration isolation{std::chrono::seconds{5}};
    /// A longer gap between events means that this VM was paused.
    duration pause_gap{std::chrono::seconds{1}};
};

/// @brief SWIM membership joined with the platform's VM list.
///
/// The cost per VM does not depend on the fleet's size: one probe a second in round robin, and
/// news that rides on probes and is sent a logarithmic number of times.
class membership {
  public:
    membership(membership_settings settings, id_sequence<request_id>& ids, random_engine& random);

    void on_probe(time_point now, const vm_id& from, vm_incarnation from_incarnation,
                  const membership_probe& probe, actions& out);

    /// @brief Takes a store answer.
    /// @return whether the answer belongs to this part
    bool on_store(time_point now, const store_answer& answer, actions& out);

    /// @brief Any part of this VM had an answer from the store.
    void on_store_heard(time_point now);

    /// @brief The channel to @a vm failed: probes it at once.
    void on_disconnected(time_point now, const vm_id& vm, actions& out);

    /// @brief Announces that this VM leaves; it then counts as leaving everywhere.
    void leave(time_point now, actions& out);

    /// @brief Sets the configuration revision that probes carry.
    void set_revision(revision present) noexcept { revision_ = present; }

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Whether more than the pause gap has passed since the last event.
    ///
    /// Call it before handing over any event at @a now. After a pause this VM's own probes and
    /// suspicions start anew, as nothing could be heard meanwhile.
    bool paused_since_last_event(time_point now);

    /// @brief VMs that count as live, sorted by id; this VM included unless it is leaving.
    ///
    /// A VM that leaves has the state `leaving` and stays in the list until it is silent.
    [[nodiscard]] const std::vector<vm_entry>& live() const noexcept { return live_; }

    /// @brief Rises with each change of @ref live.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /// @brief VMs that were listed, are not any more, and do not answer.
    [[nodiscard]] std::vector<vm_id> gone() const { return table_.gone(); }

    /// @brief Entry of @a vm, live or not; null when it was never heard of.
    [[nodiscard]] const vm_entry* entry_of(const vm_id& vm) const;

    /// @brief Incarnation of @a vm; 0 when it was never heard.
    [[nodiscard]] vm_incarnation incarnation_of(const vm_id& vm) const;

    /// @brief Configuration revision in the last probe from @a vm; 0 when there was none.
    [[nodiscard]] revision config_revision_of(const vm_id& vm) const;

    /// @brief Whether the platform lists this VM as leaving.
    [[nodiscard]] bool listed_as_leaving() const;

    /// @brief Whether neither the store nor a VM of another failure domain was heard for 5 s.
    ///
    /// In a fleet with one failure domain only the store counts. An answer of the store to
    /// another VM counts too, by the age that probes carry.
    [[nodiscard]] bool isolated(time_point now) const;

  private:
    /// Probe that waits for its acknowledgement.
    struct open_probe {
        vm_id target;
        time_point sent;
        bool indirect_sent{false};
        bool raises_suspicion{true};
        std::uint64_t told_self{0};
    };
    /// Probe for another VM; its acknowledgement is passed on.
    struct relayed_probe {
        vm_id asker;
        std::uint64_t sequence{0};
        time_point sent;
    };

    void start(time_point now, actions& out);
    void event(time_point now);
    void refresh(time_point now, actions& out);
    void take_updates(time_point now, const std::vector<member_update>& updates, actions& out);
    void take_update(time_point now, const member_update& update, actions& out);
    void on_ping(time_point now, const vm_id& from, const membership_probe& probe, actions& out);
    void on_ping_request(time_point now, const vm_id& from, const membership_probe& probe,
                         actions& out);
    void on_ack(const vm_id& from, const membership_probe& probe, actions& out);

    void probe_next(time_point now, actions& out);
    void reprobe_dead(time_point now, actions& out);
    void probe_seeds(actions& out);
    void ping(time_point now, const vm_id& target, bool raises_suspicion, actions& out);
    void check_probes(time_point now, actions& out);
    void ask_others(const vm_id& target, std::uint64_t sequence, actions& out);
    void probe_failed(time_point now, const vm_id& target, actions& out);
    void check_suspects(time_point now, actions& out);
    void suspect_again(time_point now, actions& out);
    void gossip(time_point now, actions& out);
    void seek_other_domains(time_point now, actions& out);

    void send(time_point now, const vm_id& to, membership_probe probe, actions& out);
    void attach_updates(time_point now, member_record& to, membership_probe& probe);
    bool introduces_itself(time_point now, const member_record& to);
    void spread(member_record& record, std::uint32_t least = 0);
    [[nodiscard]] vm_id next_target();
    /// Up to @a count other VMs that @a accepts, in random order.
    template <class Predicate>
    [[nodiscard]] std::vector<vm_id> choose(std::size_t count, Predicate accepts);
    [[nodiscard]] duration suspicion_time() const;
    [[nodiscard]] std::uint32_t send_limit() const;

    void read_list(time_point now, duration wait, actions& out);
    void list_failed(time_point now);
    void poll_list(time_point now, actions& out);
    [[nodiscard]] duration jittered(duration longest);
    [[nodiscard]] std::size_t find_delegate_rank() const;
    [[nodiscard]] bool needs_store_evidence(time_point now) const;

    membership_settings settings_;
    id_sequence<request_id>& ids_;
    random_engine& random_;
    member_table table_;
    std::vector<vm_entry> live_;
    std::uint64_t version_{0};
    revision revision_;
    bool changed_{true};
    time_point refreshed_at_{time_point::min()}; ///< When `live_` last changed.
    std::size_t delegate_rank_{0};               ///< Of this VM among the delegates for `live_`.

    std::optional<time_point> started_;
    time_point last_event_{};
    time_point next_probe_{};
    time_point next_check_{}; ///< Next repeated ping of suspects and of other failure domains.
    time_point next_gossip_{no_deadline};
    std::uint64_t sequence_{0};
    std::map<std::uint64_t, open_probe> probes_;
    std::map<std::uint64_t, relayed_probe> relays_;
    std::set<vm_id> suspects_;
    std::set<vm_id> news_; ///< VMs whose records have sends left.
    std::vector<vm_id> order_;

    request_id list_id_;
    bool list_pending_{false};
    bool list_held_{false}; ///< The pending call is a long poll.
    bool list_read_{false};
    std::uint64_t list_version_{0};
    time_point list_sent_{};
    time_point list_at_{};
    time_point list_reread_at_{no_deadline};
    duration list_back_off_;
    time_point store_heard_{};
    time_point foreign_heard_{};
    std::uint64_t self_sent_{0}; ///< Version of the own record at `self_changed_`.
    time_point self_changed_{};
};

template <class Predicate>
std::vector<vm_id> membership::choose(std::size_t count, Predicate accepts) {
    std::vector<const vm_id*> candidates;
    candidates.reserve(table_.records().size());
    for (const auto& [vm, record] : table_.records()) {
        if (&record != &table_.self() && accepts(record)) {
            candidates.push_back(&vm);
        }
    }
    std::vector<vm_id> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
        auto& picked = candidates[any(random_)];
        chosen.push_back(*picked);
        picked = candidates.back();
        candidates.pop_back();
    }
    return chosen;
}

} // namespace jackdawvane
