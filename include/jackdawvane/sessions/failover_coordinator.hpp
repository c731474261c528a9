#pragma once

#include "jackdawvane/sessions/coordinator_lease.hpp"
#include "jackdawvane/sessions/earlier_primaries.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Timeouts and intervals of failover.
struct failover_coordinator_settings {
    /// A primary that has not answered any VM for this long is replaced.
    duration primary_timeout{std::chrono::milliseconds{600}};
    /// Time for VMs of other failure domains to report whether they reach the primary: covers
    /// their status interval and the round trips.
    duration confirmation_timeout{std::chrono::milliseconds{260}};
    /// Longest wait for a leaving primary to step down.
    duration step_down_timeout{std::chrono::milliseconds{300}};
    /// A hold that takes longer than this is logged, and is abandoned if the primary answers again.
    duration hold_report_after{std::chrono::milliseconds{1500}};
    /// A replica that has left the registry can prove no primary after this time: VMs use it alone
    /// for `listing_validity`, and a proof is valid for `proof_validity`.
    duration departure_timeout{listing_validity + std::chrono::milliseconds{800}};
    /// Proofs of the old primary have expired after this time; see `leadership_settings`.
    duration proof_validity{std::chrono::milliseconds{800}};
    /// Longest wait for a replica to receive the whole log of a primary that has stepped down.
    duration catch_up_timeout{std::chrono::milliseconds{1500}};
    /// Between two status queries while the promotion waits for a server's progress.
    duration status_interval{std::chrono::milliseconds{25}};
    /// A promotion call to the platform without an answer for this long is repeated.
    duration call_timeout{std::chrono::milliseconds{1200}};
    /// Longest time for the promoted server to become primary.
    duration takeover_timeout{std::chrono::seconds{4}};
    duration retry_delay{std::chrono::milliseconds{200}};
    /// A server whose registration is missing for this long counts as gone.
    duration registration_timeout{std::chrono::milliseconds{2300}};
    /// A replica is promoted in a group that has had no usable primary for this long.
    duration no_primary_timeout{std::chrono::milliseconds{1500}};
};

/// @brief Failover coordinator: replaces failed and leaving primaries while this VM holds the
/// coordinator lease.
///
/// A replacement first holds all replicas for the next term, so that none of them can prove the old
/// primary any longer. It waits for each replica until it is held, by this VM or by another one on
/// its behalf, or has left the registry for so long that no VM uses it as proof. Replicas that
/// register meanwhile are held, too. It then waits until the old primary has stepped down or all
/// proofs have expired, then promotes the replica with the longest log. A refused connection starts
/// a replacement, but is no evidence that a server has ended: a cut may refuse it, and open
/// connections to the server go on. A replica that is still held after that stays so until no
/// earlier primary can act: held for the new term, it does not prove the old primary. A leaving
/// primary steps down first and a replica receives the rest of its log, so no commit is lost.
class failover_coordinator {
  public:
    failover_coordinator(fleet_state& state, group_observer& observer, coordinator_lease& lease,
                         failover_coordinator_settings settings = {});

    void tick(time_point now, proxy_output& out);
    void on_control(time_point now, const control_answer& answer, proxy_output& out);
    void on_promotion(time_point now, const promotion_answered& answer, proxy_output& out);

    /// @brief Whether a replacement is in progress in any group.
    [[nodiscard]] bool replacement_in_progress() const noexcept { return !attempts_.empty(); }

  private:
    enum class phase { confirm, step_down, catch_up, hold, fence, promote, await_takeover };
    struct attempt {
        phase step{phase::confirm};
        std::string reason;
        bool planned{false};
        std::optional<backend_server_id> old_primary;
        term old_term;
        term target_term; ///< Term that replicas are held for.
        time_point started{};
        time_point step_until{no_deadline};
        time_point next_status{};
        time_point held_at{}; ///< When the last replica was held.
        /// It has answered as replica. If none is known, other VMs may know and use one.
        bool old_primary_inactive{false};
        /// End of the old primary's log, once it has stepped down.
        std::optional<log_point> old_primary_log_end;
        /// End of each replica's log at its hold; empty until it is held.
        std::map<backend_server_id, std::optional<log_point>> replicas;
        /// Replicas that were held when the attempt began, or whose status was not known.
        std::set<backend_server_id> held_before;
        std::set<backend_server_id> not_running_servers; ///< According to the platform.
        backend_server_id candidate;
    };

    /// Whether this VM holds the lease under which its attempts began. Answers arrive before the
    /// tick after a pause or a cut, and another VM may have held the lease meanwhile.
    [[nodiscard]] bool may_act(time_point now) const noexcept;
    [[nodiscard]] duration primary_silent_for(const group_leadership& leadership) const;
    [[nodiscard]] std::optional<std::string>
    replacement_reason(time_point now, const group_id& group, bool& planned);
    /// Why the server of @a entry must not stay primary although it serves; null if it may.
    [[nodiscard]] const char* reason_to_move(const backend_directory::entry& entry) const;
    /// Whether another server of the group than @a primary can become primary and stay it.
    [[nodiscard]] bool has_successor(const group_id& group, const backend_server_id& primary) const;
    [[nodiscard]] bool is_evacuated(const backend_server_id& server) const;
    /// Whether @a server is evacuated while another server of the group can be primary.
    [[nodiscard]] bool is_passed_over(const group_id& group, const backend_server_id& server) const;
    /// Whether @a server is registered, not leaving, and outside all evacuated domains.
    [[nodiscard]] bool may_stay_primary(const backend_server_id& server) const;
    void start(time_point now, const group_id& group, std::string reason, bool planned,
               proxy_output& out);
    void advance(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void advance_confirm(time_point now, const group_id& group, attempt& current,
                         proxy_output& out);
    void advance_step_down(time_point now, const group_id& group, attempt& current,
                           proxy_output& out);
    void advance_catch_up(time_point now, const group_id& group, attempt& current,
                          proxy_output& out);
    void begin_hold(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void advance_hold(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void advance_fence(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void call_promote(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void advance_await_takeover(time_point now, const group_id& group, attempt& current,
                                proxy_output& out);
    [[nodiscard]] bool has_departed(time_point now, const backend_server_id& server) const;
    void send_hold(time_point now, const backend_server_id& server, const attempt& current,
                   proxy_output& out);
    [[nodiscard]] bool all_held(const attempt& current) const;
    void update_replicas(time_point now, const group_id& group, attempt& current,
                         proxy_output& out);
    void request_holds(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void apply_reports(attempt& current);
    [[nodiscard]] bool primary_returned(const group_id& group, const attempt& current) const;
    void abandon(time_point now, const group_id& group, const attempt& current, proxy_output& out);
    void close_term(time_point now, const group_id& group, attempt& current, proxy_output& out);
    void report_hold(time_point now, const group_id& group, const attempt& current,
                     const char* title, proxy_output& out) const;
    void resume(time_point now, const group_id& group, const backend_server_id& backend,
                proxy_output& out);
    void end(time_point now, const group_id& group, const char* outcome, proxy_output& out);
    void reconcile_servers(time_point now, proxy_output& out);
    [[nodiscard]] bool may_resume(time_point now, const group_id& group,
                                  const backend_server_id& backend, const server_status& status,
                                  proxy_output& out);
    [[nodiscard]] bool enough_replicas_held(const group_id& group, const attempt& current) const;
    [[nodiscard]] std::optional<backend_server_id> best_candidate(const attempt& current) const;
    bool send(time_point now, const backend_server_id& backend, command_kind kind,
              term command_term, proxy_output& out);

    fleet_state& state_;
    group_observer& observer_;
    coordinator_lease& lease_;
    failover_coordinator_settings settings_;
    std::uint64_t fence_{0};    ///< Fencing token of the lease under which attempts began.
    time_point holder_since_{}; ///< Since when this VM queries all servers as lease holder.
    std::map<group_id, attempt> attempts_;
    std::set<group_id> finished_groups_;              ///< Attempts to erase after the current loop.
    std::map<group_id, time_point> no_primary_since_; ///< Groups without a usable primary.
    std::map<group_id, time_point> next_attempt_at_;  ///< Earliest start of a group's next attempt.
    std::map<backend_server_id, time_point> reconciled_at_;
    std::map<backend_server_id, server_status> last_status_;
    std::map<group_id, time_point> last_call_at_; ///< Last promotion call of this VM.
    earlier_primaries earlier_primaries_;
    /// Replicas that stay held, with the server that may still act as earlier primary, as logged.
    std::map<backend_server_id, backend_server_id> awaited_;
};

} // namespace jackdawvane
