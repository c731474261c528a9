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

/// @brief Identity of this VM and the timing of the membership protocol.
struct membership_settings {
    vm_entry self;
    vm_incarnation incarnation{1};
    std::vector<endpoint> seeds; ///< VMs to contact at start if the store is down.

    duration probe_period{std::chrono::seconds{1}};
    duration join_probe_period{std::chrono::milliseconds{200}}; ///< Probe period while joining.
    duration join_duration{std::chrono::seconds{5}};
    duration indirect_probe_delay{std::chrono::milliseconds{200}};
    duration probe_timeout{std::chrono::milliseconds{500}};
    std::size_t indirect_probes{2};
    /// Time in which a suspect can refute, in a fleet of up to 9 VMs; grows with the logarithm of
    /// the fleet's size.
    duration suspicion_timeout{std::chrono::seconds{1}};
    /// Minimum interval between updates of the list of live VMs. Each update makes every component
    /// iterate over the fleet, and a start of all VMs causes hundreds of changes.
    duration change_interval{std::chrono::milliseconds{100}};
    /// Interval of gossip messages while updates are queued.
    duration gossip_interval{std::chrono::milliseconds{200}};
    duration list_poll_wait{std::chrono::seconds{30}};
    /// While joining, a VM reads the list again after this delay until a read returns few new VMs.
    /// When all VMs start at once, the first reads return few of them, and gossip takes many
    /// seconds to spread hundreds of VMs.
    duration list_reread_delay{std::chrono::milliseconds{1200}};
    /// Delay between a change of the list and the next read, so that VMs that start together are
    /// read as one change.
    duration list_poll_delay{std::chrono::milliseconds{250}};
    duration retry_floor{std::chrono::milliseconds{200}};
    duration retry_ceiling{std::chrono::seconds{2}};
    std::size_t delegates_per_domain{2};
    /// This VM counts as isolated after this time without any contact to the store or to another
    /// failure domain.
    duration isolation_timeout{std::chrono::seconds{5}};
    /// A longer gap between two events means that the process was paused.
    duration pause_threshold{std::chrono::seconds{1}};
};

/// @brief SWIM membership combined with the platform's VM list.
///
/// The cost per VM does not depend on the fleet's size: a VM sends one probe per second, in round
/// robin, and piggybacks each update on a number of messages that grows only logarithmically.
class membership {
  public:
    membership(membership_settings settings, id_sequence<request_id>& ids, random_engine& random);

    void on_probe(time_point now, const vm_id& from, vm_incarnation from_incarnation,
                  const membership_probe& probe, actions& out);

    /// @brief Handles an answer of the store.
    /// @return whether it answers a request of this object
    bool on_store(time_point now, const store_answer& answer, actions& out);

    /// @brief Records that the store answered a request of any component of this VM.
    void on_store_answered(time_point now);

    /// @brief Probes @a vm at once because the connection to it was lost.
    void on_disconnected(time_point now, const vm_id& vm, actions& out);

    /// @brief Announces to the fleet that this VM is leaving.
    void leave(time_point now, actions& out);

    /// @brief Sets the configuration revision that probes carry.
    void set_revision(revision present) noexcept { revision_ = present; }

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Whether more than `pause_threshold` has passed since the last event.
    ///
    /// Call it before passing any event at @a now. After a pause, probes in flight are dropped and
    /// the suspicion timeouts restart, because no answer could arrive during the pause.
    bool paused_since_last_event(time_point now);

    /// @brief VMs that count as live, sorted by id; this VM included unless it is leaving.
    ///
    /// A VM that leaves has the state `leaving` and stays in the list until it stops answering.
    [[nodiscard]] const std::vector<vm_entry>& live() const noexcept { return live_; }

    /// @brief Increases with each change of @ref live.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /// @brief VMs that were removed from the platform's list and do not count as live.
    [[nodiscard]] std::vector<vm_id> gone() const { return table_.gone(); }

    /// @brief Entry of @a vm, live or not; null if it is unknown.
    [[nodiscard]] const vm_entry* entry_of(const vm_id& vm) const;

    /// @brief Incarnation of @a vm; 0 if no VM has had a message from it.
    [[nodiscard]] vm_incarnation incarnation_of(const vm_id& vm) const;

    /// @brief Configuration revision in the last probe from @a vm; 0 if there was none.
    [[nodiscard]] revision config_revision_of(const vm_id& vm) const;

    /// @brief Whether the platform lists this VM as leaving.
    [[nodiscard]] bool listed_as_leaving() const;

    /// @brief Whether there was contact neither to the store nor to another failure domain for 5 s.
    ///
    /// In a fleet with one failure domain only the store counts. Answers of the store to other
    /// VMs count too: probes carry their age.
    [[nodiscard]] bool isolated(time_point now) const;

  private:
    /// Probe in flight.
    struct open_probe {
        vm_id target;
        time_point sent;
        bool indirect_sent{false};
        bool raises_suspicion{true};
        std::uint64_t self_version{0}; ///< Version of this VM's own record when it was sent.
    };
    /// Probe sent on behalf of another VM, to which the acknowledgement is forwarded.
    struct relayed_probe {
        vm_id requester;
        std::uint64_t sequence{0};
        time_point sent;
    };

    void start(time_point now, actions& out);
    void note_event(time_point now);
    void refresh(time_point now, actions& out);
    void apply_updates(time_point now, const std::vector<member_update>& updates, actions& out);
    void apply_update(time_point now, const member_update& update, actions& out);
    void on_ping(time_point now, const vm_id& from, const membership_probe& probe, actions& out);
    void on_ping_request(time_point now, const vm_id& from, const membership_probe& probe,
                         actions& out);
    void on_ack(const vm_id& from, const membership_probe& probe, actions& out);

    void probe_next(time_point now, actions& out);
    void reprobe_dead(time_point now, actions& out);
    void probe_seeds(actions& out);
    void ping(time_point now, const vm_id& target, bool raises_suspicion, actions& out);
    void check_probes(time_point now, actions& out);
    void request_indirect_probes(const vm_id& target, std::uint64_t sequence, actions& out);
    void probe_failed(time_point now, const vm_id& target, actions& out);
    void check_suspects(time_point now, actions& out);
    void ping_suspects(time_point now, actions& out);
    void gossip(time_point now, actions& out);
    void probe_other_domains(time_point now, actions& out);

    void send(time_point now, const vm_id& to, membership_probe probe, actions& out);
    void attach_updates(time_point now, member_record& to, membership_probe& probe);
    bool must_attach_self(time_point now, const member_record& to);
    void queue_update(member_record& record, std::uint32_t min_sends = 0);
    [[nodiscard]] vm_id next_target();
    /// Up to @a count other VMs that satisfy @a accepts, in random order.
    template <class Predicate>
    [[nodiscard]] std::vector<vm_id> choose(std::size_t count, Predicate accepts);
    [[nodiscard]] duration scaled_suspicion_timeout() const;
    [[nodiscard]] std::uint32_t send_limit() const;

    void read_list(time_point now, duration wait, actions& out);
    void list_failed(time_point now);
    void poll_list(time_point now, actions& out);
    [[nodiscard]] duration jittered(duration max_delay);
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
    std::size_t delegate_rank_{0};               ///< Rank of this VM among its domain's delegates.

    std::optional<time_point> started_;
    time_point last_event_{};
    time_point next_probe_{};
    time_point next_check_{}; ///< Next ping of suspects, seeds and other failure domains.
    time_point next_gossip_{no_deadline};
    std::uint64_t sequence_{0};
    std::map<std::uint64_t, open_probe> probes_;
    std::map<std::uint64_t, relayed_probe> relays_;
    std::set<vm_id> suspects_;
    std::set<vm_id> queued_updates_; ///< VMs whose records have `sends_left`.
    std::vector<vm_id> probe_order_;

    request_id list_id_;
    bool list_pending_{false};
    bool list_long_poll_{false}; ///< The pending request is a long poll.
    bool list_read_{false};
    std::uint64_t list_version_{0};
    time_point list_sent_at_{};
    time_point list_due_at_{}; ///< Deadline of the pending request, else time of the next one.
    time_point list_reread_at_{no_deadline};
    duration list_back_off_;
    time_point store_answered_at_{};
    time_point other_domain_heard_at_{};
    /// Version of this VM's record at `self_changed_at_`.
    std::uint64_t announced_self_version_{0};
    time_point self_changed_at_{};
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
