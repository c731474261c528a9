#pragma once

#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/limits/admission.hpp"
#include "jackdawvane/limits/share_ledger.hpp"
#include "jackdawvane/limits/token_bucket.hpp"
#include "jackdawvane/limits/token_donors.hpp"
#include "jackdawvane/node/peer.hpp"

#include <utility>

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace jackdawvane {

/// @brief Settings of the rate limiter.
struct rate_limiter_settings {
    duration pending{std::chrono::milliseconds{50}}; ///< Longest wait for tokens of other VMs.
    duration joining{
        std::chrono::milliseconds{50}}; ///< As `pending`, before the share is confirmed.
    /// Whether a request may also wait for the own share to refill.
    bool waits_for_own_share{false};
    duration grant_validity{std::chrono::milliseconds{150}}; ///< Grants are accepted this long.
    duration lease{std::chrono::seconds{30}};
    duration lease_renewal{std::chrono::seconds{10}};
    duration share_interval{std::chrono::seconds{1}}; ///< Between requests for more rate.
    std::uint32_t holders_per_domain{3};
    std::uint32_t most_holders{std::numeric_limits<std::uint32_t>::max()}; ///< Over all domains.
    double messages_per_second{30}; ///< Token requests in vain per organisation; bounds overload.
    share_settings shares;

    static constexpr auto fields() {
        using self = rate_limiter_settings;
        return std::tuple{field("pending_us", &self::pending),
                          field("joining_us", &self::joining),
                          field("waits_for_own_share", &self::waits_for_own_share),
                          field("grant_validity_us", &self::grant_validity),
                          field("lease_us", &self::lease),
                          field("lease_renewal_us", &self::lease_renewal),
                          field("share_interval_us", &self::share_interval),
                          field("holders_per_domain", &self::holders_per_domain),
                          field("most_holders", &self::most_holders),
                          field("messages_per_second", &self::messages_per_second),
                          field("shares", &self::shares)};
    }
};

/// @brief What the limiters of all organisations at one VM have in common.
struct limiter_context : share_context {
    location place;
    rate_limiter_settings limits;
    std::vector<admission> decisions; ///< Results of pending requests, not yet handed out.
};

/// @brief Admits the requests of one organisation at this VM.
///
/// A request takes a token of the own share, or waits for tokens of other holders. The bucket's
/// capacity follows the ledger before any other use, so it never exceeds the own part.
class organisation_limiter {
  public:
    /// @param context outlives this object
    organisation_limiter(organisation_id organisation, limiter_context& context);

    void configure(time_point now, revision newer, const organisation_row& row, actions& out);
    /// @brief The organisation has no row any more: gives the share back, refuses everything.
    void retire(time_point now, actions& out);
    /// @brief The fleet in the context has changed.
    void fleet_changed(time_point now, actions& out);

    [[nodiscard]] admission admit(time_point now, request_id handle, time_point deadline,
                                  actions& out);
    /// @brief Forgets the pending request @a handle.
    void withdraw(request_id handle);

    void on_peer(time_point now, const vm_id& from, const token_request& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_grant& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const token_acknowledgement& message,
                 actions& out);
    void on_peer(time_point now, const vm_id& from, const share_request& message, actions& out);
    void on_peer(time_point now, const vm_id& from, const share_notice& message, actions& out);
    [[nodiscard]] bool on_store(time_point now, const store_answer& answer, actions& out);

    void paused(time_point now, actions& out);
    void leave(time_point now, actions& out);
    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline(time_point now) const;

    [[nodiscard]] const share_ledger& ledger() const noexcept { return ledger_; }
    [[nodiscard]] const token_bucket& bucket() const noexcept { return bucket_; }
    [[nodiscard]] bool configured() const noexcept { return row_.has_value(); }
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

    void follow_ledger(time_point now);
    void take_inheritance(time_point now);
    void update(time_point now, actions& out);
    void serve(time_point now);
    void spend_grant(time_point now, double amount);
    void ask(time_point now, actions& out);
    void send_request(time_point now, const token_donors::candidate& donor, double missing,
                      double ahead, actions& out);
    void refuse_hopeless(time_point now);
    void settle_expired(time_point now);
    void consider_share_request(time_point now, actions& out);
    void note_arrival(time_point now);
    void decide(admission_state state, request_id handle, time_point now);
    [[nodiscard]] bool take(time_point now);
    [[nodiscard]] double free_tokens(time_point now) const;
    [[nodiscard]] std::uint32_t spare_part(time_point now, const share_request& wanted) const;
    [[nodiscard]] error refusal(time_point now) const;
    [[nodiscard]] std::vector<token_donors::candidate> candidates() const;
    [[nodiscard]] token_donors::candidate candidate(const vm_entry& vm) const;
    [[nodiscard]] bool uses_share() const noexcept;
    [[nodiscard]] std::vector<vm_id> chosen_holders() const;
    [[nodiscard]] time_point own_chance(time_point now) const;
    [[nodiscard]] time_point last_wait() const noexcept;

    organisation_id organisation_;
    limiter_context& context_;
    share_ledger ledger_;
    token_bucket bucket_;
    token_donors donors_;
    token_bucket messages_; ///< Token requests that may still be sent in vain.
    std::optional<organisation_row> row_;
    std::deque<waiter> waiting_;
    std::map<std::pair<vm_id, request_id>, transit> transits_;
    std::vector<token_donors::candidate> candidates_;

    time_point started_{}; ///< When the organisation was configured here.
    bool inheritance_taken_{false};
    double demand_{0};
    time_point demand_at_{};
    bool short_of_tokens_{false}; ///< Asked for tokens since the last share request.
    time_point short_at_{-std::chrono::hours{1}}; ///< When a request last found no token here.
    time_point share_request_at_{};
    time_point last_gift_{};
};

} // namespace jackdawvane
