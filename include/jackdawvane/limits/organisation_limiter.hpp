#pragma once

#include "jackdawvane/limits/admission_queue.hpp"
#include "jackdawvane/limits/limiter_context.hpp"
#include "jackdawvane/limits/share_group.hpp"
#include "jackdawvane/limits/token_bucket.hpp"
#include "jackdawvane/limits/token_donors.hpp"
#include "jackdawvane/node/peer.hpp"

#include <utility>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Admits the requests of one organisation at this VM.
///
/// A request takes a token of this VM's share, or waits for tokens of other holders. The bucket's
/// limits are updated from the ledger before every use, so its capacity never exceeds this VM's
/// part.
///
/// With `queues_by_class`, requests for which no token is left wait at a holder, ordered by an
/// `admission_queue`, and those that can't get a token in time are refused at once.
class organisation_limiter {
  public:
    /// @param group parts of the rate that this VM and the others hold; outlives this object
    /// @param context outlives this object
    /// @param started time since which this VM has had the organisation's configuration row
    organisation_limiter(organisation_id organisation, share_group& group, limiter_context& context,
                         time_point started);

    /// @brief Sets the organisation's rate and burst over the whole fleet.
    void configure(time_point now, share_limits fleet_limits, actions& out);
    /// @brief The organisation was removed from the configuration: refuses the waiting requests.
    void retire(time_point now);
    /// @brief Called after this VM's part or the other holders have changed.
    void share_changed(time_point now, actions& out);

    [[nodiscard]] admission admit(time_point now, const admission_request& request, actions& out);
    /// @brief Drops the pending request @a handle without a decision.
    void withdraw(request_id handle);

    void on_peer(time_point now, const vm_id& from, const token_request& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_grant& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_acknowledgement& message,
                 actions& out);
    /// @brief Fraction of the fleet-wide rate that this VM can spare.
    [[nodiscard]] double spare_fraction(time_point now) const;
    /// @brief Fraction of the fleet-wide rate that the sender of @a message lacks.
    [[nodiscard]] double lacking_fraction(const share_request& message) const noexcept;

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline(time_point now) const;

    [[nodiscard]] const share_ledger& ledger() const noexcept { return group_.ledger(); }
    [[nodiscard]] const token_bucket& bucket() const noexcept { return bucket_; }
    /// @brief Rate and burst that this VM may use while its share is verified.
    [[nodiscard]] share_limits usable() const noexcept;
    /// @brief Requests per second that arrive at this VM, averaged over some seconds.
    [[nodiscard]] double demand(time_point now) const noexcept;
    [[nodiscard]] Json::Value describe(time_point now) const;

  private:
    struct waiting_request {
        request_id handle;
        time_point deadline;
    };
    struct reservation {
        double amount{0};
        time_point expiry;
    };
    /// Fraction of a token, granted to a VM that cannot store it. The donor keeps the capacity
    /// reserved until the fractions that make up a token are acknowledged.
    struct partial_grant {
        vm_id donor;
        request_id id;
        double amount{0};
        time_point expiry;
    };

    /// Request of a caller of this VM that waits by class.
    struct class_wait {
        std::uint32_t priority{0};
        time_point arrived;
        time_point deadline;
        request_id queued;     ///< Entry in this VM's queue; 0 if there is none.
        request_id asked;      ///< Open token request; 0 if there is none.
        std::set<vm_id> tried; ///< Holders that can't grant a token in time or don't answer.
        std::optional<duration> retry_after; ///< As calculated by the last holder that refused.
    };
    /// Token request that this VM has sent for a `class_wait`.
    struct open_request {
        request_id handle; ///< The wait may have ended, or may wait for another request by now.
        vm_id donor;
        std::uint32_t priority{0};
        time_point sent;
        time_point expiry;
    };
    /// What this VM knows of another holder.
    struct holder_view {
        std::array<duration, admission_queue::classes> wait{}; ///< Expected, by class.
        std::array<time_point, admission_queue::classes> wait_at{};
        double left{0}; ///< Tokens at `heard_at`, less the requests sent since.
        bool known{false};
        time_point heard_at{time_point::min()};
        duration backoff{0};
        time_point ask_at{time_point::min()};
    };
    /// Owner of an entry of this VM's queue.
    struct queue_origin {
        vm_id from; ///< Empty for a request of this VM's callers.
        request_id id;
        time_point arrived;
        duration validity{0};
        double prefetch{0};
        bool legacy{false}; ///< The sender does not know the fields for queueing.
    };

    [[nodiscard]] bool queues_by_class() const;
    [[nodiscard]] bool holds_whole_tokens() const noexcept;
    [[nodiscard]] admission admit_by_class(time_point now, const admission_request& request,
                                           time_point deadline, actions& out);
    [[nodiscard]] bool place_wait(time_point now, request_id handle, class_wait& wait,
                                  actions& out);
    [[nodiscard]] bool waits_for_holder(time_point now, const class_wait& wait) const;
    [[nodiscard]] const token_donors::candidate*
    choose_holder(time_point now, const class_wait& wait, duration& best);
    [[nodiscard]] double tokens_at(time_point now, const token_donors::candidate& holder) const;
    [[nodiscard]] duration expected_wait_at(time_point now, const token_donors::candidate& holder,
                                            std::uint32_t priority) const;
    [[nodiscard]] bool ask_holder(time_point now, request_id handle, class_wait& wait,
                                  const token_donors::candidate& holder, actions& out);
    [[nodiscard]] admission_entry entry_of(const class_wait& wait) const;
    void refuse_wait(time_point now, request_id handle, const char* reason, actions& out);
    void admit_wait(time_point now, request_id handle, actions& out);
    void end_wait(request_id handle);
    [[nodiscard]] std::optional<request_id> first_wait() const;
    [[nodiscard]] error refusal_by_class(time_point now, const class_wait& wait);
    void report_refusal(time_point now, request_id handle, const class_wait& wait,
                        const char* reason, actions& out);
    void use_grant(time_point now, const vm_id& from, const token_grant& message,
                   std::optional<request_id> handle, actions& out);
    [[nodiscard]] bool is_candidate(const vm_id& vm) const;
    void serve_queue(time_point now, actions& out);
    void flush_queue(time_point now, actions& out);
    void expire_requests(time_point now);
    [[nodiscard]] bool queue_request(time_point now, const vm_id& from,
                                     const token_request& message, actions& out);
    void grant_queued(time_point now, const queue_origin& origin, std::uint32_t priority,
                      actions& out);
    void send_refusal(time_point now, const queue_origin& origin, std::uint32_t priority,
                      std::optional<duration> retry_after, actions& out);
    [[nodiscard]] bool accept_by_class(time_point now, const vm_id& from,
                                       const token_grant& message, actions& out);
    void update_by_class(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline_by_class(time_point now) const;
    [[nodiscard]] double prefetch_of(time_point now) const;

    void sync_bucket_limits(time_point now);
    void credit_inherited_part(time_point now);
    void update(time_point now, actions& out);
    void serve(time_point now, actions& out);
    void spend_grant(time_point now, double amount);
    void request_tokens(time_point now, actions& out);
    void send_request(time_point now, const token_donors::candidate& donor, double missing,
                      double prefetch, actions& out);
    void refuse_unservable(time_point now);
    void settle_expired(time_point now);
    void spend_partial_grants(time_point now, actions& out);
    void drop_partial_grants(actions& out);
    [[nodiscard]] double partial_sum() const noexcept;
    void acknowledge(const vm_id& donor, request_id id, actions& out, double unused = 0) const;
    void maybe_request_share(time_point now, actions& out);
    void record_arrival(time_point now);
    void record_decision(admission_state state, request_id handle, time_point now);
    [[nodiscard]] bool take(time_point now);
    [[nodiscard]] double free_tokens(time_point now) const;
    [[nodiscard]] error refusal(time_point now) const;
    [[nodiscard]] bool uses_share() const noexcept;
    [[nodiscard]] time_point local_tokens_at(time_point now) const;
    [[nodiscard]] time_point latest_deadline() const noexcept;

    organisation_id organisation_;
    share_group& group_;
    limiter_context& context_;
    share_limits fleet_limits_;
    token_bucket bucket_;
    token_donors donors_;
    token_bucket request_budget_;          ///< Bounds the token requests that yield no tokens.
    std::vector<waiting_request> waiting_; ///< Oldest first.
    std::map<std::pair<vm_id, request_id>, reservation> reservations_;
    std::vector<partial_grant> partial_grants_;

    admission_queue queue_{admission_queue_settings{}};
    std::map<request_id, queue_origin> origins_;           ///< Of the entries in `queue_`.
    std::set<std::pair<vm_id, request_id>> queued_remote_; ///< Token requests in `queue_`.
    std::uint64_t last_queue_id_{0};
    std::map<request_id, class_wait> waits_;    ///< By handle.
    std::map<request_id, open_request> opened_; ///< By id of the token request.
    std::map<vm_id, holder_view> holders_;
    time_point next_log_at_{time_point::min()};
    int unlogged_{0}; ///< Refusals since the last log line.

    time_point started_;
    bool inherited_part_credited_{false};
    double demand_{0};
    time_point demand_at_{};
    bool short_of_tokens_{false}; ///< A token request was sent since the last share check.
    /// When a request last found no local token.
    time_point last_shortage_{-std::chrono::hours{1}};
    time_point share_request_at_{};
};

} // namespace jackdawvane
