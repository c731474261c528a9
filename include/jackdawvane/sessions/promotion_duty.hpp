#pragma once

#include "jackdawvane/sessions/duty_lease.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Times of a promotion.
struct promotion_duty_settings {
    /// A primary that no VM has heard for this long is replaced.
    duration primary_silence{std::chrono::milliseconds{600}};
    /// Time for the VMs of other failure domains to say whether they hear the primary: their
    /// status interval and the round trips.
    duration second_opinion{std::chrono::milliseconds{260}};
    /// How long replicas may take to answer a hold before the promotion goes on without them.
    duration hold_limit{std::chrono::milliseconds{1500}};
    /// As `hold_limit`, when the old primary cannot serve any more.
    duration short_hold_limit{std::chrono::milliseconds{300}};
    /// Proofs of the old primary are used up after this; see `leadership_settings`.
    duration proof_validity{std::chrono::milliseconds{800}};
    /// Longest wait for a replica to receive all of a primary that has stepped down.
    duration catch_up_limit{std::chrono::milliseconds{1500}};
    duration status_step{std::chrono::milliseconds{25}};
    duration call_limit{std::chrono::milliseconds{1200}};
    /// How long the promoted server may take to lead.
    duration lead_limit{std::chrono::seconds{4}};
    duration retry_delay{std::chrono::milliseconds{200}};
    /// A registration that is missing for this long is that of a server that has gone.
    duration absence{std::chrono::milliseconds{2300}};
    /// A group without a known primary is given one after this long.
    duration no_primary{std::chrono::milliseconds{1500}};
};

/// @brief Replaces primaries that have failed or leave, while this VM holds the duty.
///
/// Steps of a replacement: hold all replicas for the next term, so that none of them proves the
/// old primary any more; wait until the old primary cannot serve or all proofs have run out;
/// promote the replica with the longest log; let the others go on. A primary that leaves steps
/// down first and a replica receives the rest of its log, so no commit is lost.
class promotion_duty {
  public:
    promotion_duty(fleet_state& state, group_observer& observer, duty_lease& lease,
                   promotion_duty_settings settings = {});

    void tick(time_point now, proxy_output& out);
    void on_control(time_point now, const control_answer& answer, proxy_output& out);
    void on_promotion(time_point now, const promotion_answered& answer, proxy_output& out);

    /// @brief Whether a replacement is under way in some group.
    [[nodiscard]] bool busy() const noexcept { return !attempts_.empty(); }

  private:
    enum class phase { confirm, step_down, catch_up, hold, fence, promote, await };
    struct attempt {
        phase step{phase::confirm};
        std::string reason;
        bool planned{false};
        std::optional<backend_server_id> old_primary;
        term old_term;
        term target; ///< Replicas are held for this one.
        time_point started{};
        time_point step_until{no_deadline};
        time_point next_status{};
        time_point held_at{};
        bool old_is_down{false};
        std::optional<log_point> wanted; ///< End of the log of the old primary.
        std::map<backend_server_id, std::optional<log_point>> replicas; ///< Held at this point.
        std::set<backend_server_id> refused; ///< Not running, according to the platform.
        backend_server_id candidate;
    };

    [[nodiscard]] duration silence_of(const group_leadership& leadership) const;
    [[nodiscard]] std::optional<std::string> reason_for(time_point now, const group_id& group,
                                                        bool& planned);
    void start(time_point now, const group_id& group, std::string reason, bool planned,
               proxy_output& out);
    void advance(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_confirm(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_step_down(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_catch_up(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void begin_hold(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_hold(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_fence(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void call_promote(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void advance_await(time_point now, const group_id& group, attempt& own, proxy_output& out);
    void end(time_point now, const group_id& group, const char* outcome, proxy_output& out);
    void settle_members(time_point now, proxy_output& out);
    [[nodiscard]] bool enough_held(const group_id& group, const attempt& own) const;
    [[nodiscard]] std::optional<backend_server_id> best_candidate(const attempt& own) const;
    bool send(time_point now, const backend_server_id& backend, command_kind kind, term at,
              proxy_output& out);

    fleet_state& state_;
    group_observer& observer_;
    duty_lease& lease_;
    promotion_duty_settings settings_;
    time_point judges_since_{}; ///< Since when this VM asks all servers as holder of the duty.
    std::map<group_id, attempt> attempts_;
    std::set<group_id> finished_;                ///< Attempts to erase after the present round.
    std::map<group_id, time_point> unled_since_; ///< Groups without a known primary.
    std::map<group_id, time_point> not_before_;  ///< After a failed attempt.
    std::map<backend_server_id, time_point> settled_at_;
    std::map<backend_server_id, member_status> last_status_;
};

} // namespace jackdawvane
