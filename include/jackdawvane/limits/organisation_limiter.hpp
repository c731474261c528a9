#pragma once

#include "jackdawvane/limits/limiter_context.hpp"
#include "jackdawvane/limits/share_group.hpp"
#include "jackdawvane/limits/token_bucket.hpp"
#include "jackdawvane/limits/token_donors.hpp"
#include "jackdawvane/node/peer.hpp"

#include <utility>

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace jackdawvane {

/// @brief Admits the requests of one organisation at this VM.
///
/// A request takes a token of the own share, or waits for tokens of other holders. The bucket's
/// capacity follows the ledger before any other use, so it never exceeds the own part.
class organisation_limiter {
  public:
    /// @param group what this VM and the others hold of the rate; outlives this object
    /// @param context outlives this object
    /// @param started since when this VM has had the organisation's row
    organisation_limiter(organisation_id organisation, share_group& group, limiter_context& context,
                         time_point started);

    /// @brief Sets the organisation's rate and burst over the whole fleet.
    void configure(time_point now, share_limits whole, actions& out);
    /// @brief The organisation has no row any more: refuses what waits.
    void retire(time_point now);
    /// @brief The own part or the other holders have changed.
    void share_changed(time_point now, actions& out);

    [[nodiscard]] admission admit(time_point now, request_id handle, time_point deadline,
                                  actions& out);
    /// @brief Forgets the pending request @a handle.
    void withdraw(request_id handle);

    void on_peer(time_point now, const vm_id& from, const token_request& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_grant& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_acknowledgement& message,
                 actions& out);
    /// @brief Part of the whole rate that the demand here leaves over.
    [[nodiscard]] double spare_fraction(time_point now) const;
    /// @brief Part of the whole rate that the asker of @a message lacks.
    [[nodiscard]] double lacking_fraction(const share_request& message) const noexcept;

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline(time_point now) const;

    [[nodiscard]] const share_ledger& ledger() const noexcept { return group_.ledger(); }
    [[nodiscard]] const token_bucket& bucket() const noexcept { return bucket_; }
    /// @brief Rate and burst that this VM may use while its share is verified.
    [[nodiscard]] share_limits usable() const noexcept;
    /// @brief Requests per second that arrive here, averaged over some seconds.
    [[nodiscard]] double demand(time_point now) const noexcept;
    [[nodiscard]] Json::Value describe(time_point now) const;

  private:
    struct waiter {
        request_id handle;
        time_point deadline;
    };
    struct transit {
        double amount{0};
        time_point expiry;
    };
    /// Less than a token, granted to a VM that cannot store it. The donor keeps the capacity
    /// reserved until the parts that make a token are acknowledged.
    struct partial_grant {
        vm_id donor;
        request_id id;
        double amount{0};
        time_point expiry;
    };

    void follow_share(time_point now);
    void take_inheritance(time_point now);
    void update(time_point now, actions& out);
    void serve(time_point now);
    void spend_grant(time_point now, double amount);
    void ask(time_point now, actions& out);
    void send_request(time_point now, const token_donors::candidate& donor, double missing,
                      double ahead, actions& out);
    void refuse_hopeless(time_point now);
    void settle_expired(time_point now);
    void spend_partial_grants(time_point now, actions& out);
    void drop_partial_grants(actions& out);
    [[nodiscard]] double partial_sum() const noexcept;
    void acknowledge(const vm_id& donor, request_id id, actions& out) const;
    void consider_share_request(time_point now, actions& out);
    void note_arrival(time_point now);
    void decide(admission_state state, request_id handle, time_point now);
    [[nodiscard]] bool take(time_point now);
    [[nodiscard]] double free_tokens(time_point now) const;
    [[nodiscard]] error refusal(time_point now) const;
    [[nodiscard]] bool uses_share() const noexcept;
    [[nodiscard]] time_point own_chance(time_point now) const;
    [[nodiscard]] time_point last_wait() const noexcept;

    organisation_id organisation_;
    share_group& group_;
    limiter_context& context_;
    share_limits whole_; ///< Over the whole fleet.
    token_bucket bucket_;
    token_donors donors_;
    token_bucket messages_;       ///< Token requests that may still be sent in vain.
    std::vector<waiter> waiting_; ///< Oldest first.
    std::map<std::pair<vm_id, request_id>, transit> transits_;
    std::vector<partial_grant> partial_grants_;

    time_point started_;
    bool inheritance_taken_{false};
    double demand_{0};
    time_point demand_at_{};
    bool short_of_tokens_{false}; ///< Asked for tokens since the last share request.
    time_point short_at_{-std::chrono::hours{1}}; ///< When a request last found no token here.
    time_point share_request_at_{};
};

} // namespace jackdawvane
