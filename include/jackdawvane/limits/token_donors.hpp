#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/share_record.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace jackdawvane {

/// @brief Selects the VMs to ask for tokens of one organisation and tracks the requests in flight.
///
/// At most one request per donor is in flight. A donor that had no tokens is asked again with
/// exponential backoff, so that an organisation without tokens causes few messages.
class token_donors {
  public:
    /// @brief VM that can be asked for tokens or rate.
    struct candidate {
        vm_id vm;
        double fraction{0};   ///< Its last known fraction of rate and burst.
        double preference{1}; ///< Weight of its estimate; lower for distant VMs.

        friend bool operator==(const candidate&, const candidate&) = default;
    };

    /// @brief Sets the organisation's rate and burst over the whole fleet.
    void set_limits(share_limits fleet_limits) noexcept { fleet_limits_ = fleet_limits; }

    /// @brief Available candidate with the highest estimate of tokens, weighted by preference, or
    /// null.
    [[nodiscard]] const candidate* choose(time_point now,
                                          std::span<const candidate> candidates) const;

    /// @brief Available candidate that is likely to have the most unused rate, or null.
    [[nodiscard]] const candidate* choose_for_rate(time_point now,
                                                   std::span<const candidate> candidates) const;

    /// @brief Earliest time at which one of @a candidates may be asked.
    [[nodiscard]] time_point next_request_time(time_point now,
                                               std::span<const candidate> candidates) const;

    /// @brief Estimated tokens of @a option: the number that it last reported and the refill since.
    [[nodiscard]] double estimate(time_point now, const candidate& option) const;

    /// @brief Records a token request.
    void request_sent(request_id id, const vm_id& vm, double amount, time_point expiry);
    /// @brief Records a request for rate; @a vm is not asked for rate again for @a pause.
    void rate_request_sent(time_point now, const vm_id& vm, duration pause);

    /// @brief Records the answer to a token request.
    /// @return false if the request is unknown, already answered or expired; its grant must not be
    /// used, because the donor no longer reserves capacity for it
    [[nodiscard]] bool accept_grant(time_point now, request_id id, const vm_id& vm, double amount,
                                    double left);

    /// @brief Time until which a grant for request @a id may be used; `time_point::min()` if
    /// unknown.
    [[nodiscard]] time_point expiry_of(request_id id) const;

    /// @brief Drops requests that timed out, and backs off from their donors.
    void expire(time_point now);

    /// @brief Tokens in requests that are in flight.
    [[nodiscard]] double outstanding() const noexcept;
    [[nodiscard]] std::size_t open() const noexcept { return open_.size(); }
    /// @brief When `expire` is due for the earliest request in flight.
    [[nodiscard]] time_point next_deadline() const noexcept;

    /// @brief Longest time for which a donor without tokens or without an answer is not asked.
    static constexpr duration longest_backoff = std::chrono::seconds{2};

  private:
    struct donor_state {
        std::optional<double> left; ///< Tokens that the donor reported with its last grant.
        time_point updated_at{};
        duration backoff{0};
        time_point next_request_at{};
        time_point next_rate_request_at{};
        bool request_open{false};
    };
    struct open_request {
        vm_id donor;
        double amount{0};
        time_point expiry;
    };

    void back_off(time_point now, donor_state& donor, duration shortest);
    [[nodiscard]] time_point available_at(time_point now, const candidate& option) const;

    [[nodiscard]] double smallest_useful_estimate(const candidate& option) const noexcept;

    share_limits fleet_limits_;
    std::map<vm_id, donor_state> donors_;
    std::map<request_id, open_request> open_;
};

} // namespace jackdawvane
