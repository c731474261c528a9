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

/// @brief What a VM knows of the VMs that it asks for tokens of one organisation.
///
/// One request is outstanding per donor. A donor that had nothing to give is left alone for a
/// time that doubles, so that an organisation without tokens causes few messages.
class token_donors {
  public:
    /// @brief VM that may be asked.
    struct candidate {
        vm_id vm;
        double fraction{0};   ///< Its part of rate and burst, as far as known.
        double preference{1}; ///< Weight of its estimate; lower for distant VMs.

        friend bool operator==(const candidate&, const candidate&) = default;
    };

    /// @brief Sets the organisation's rate and burst over the whole fleet.
    void set_limits(share_limits whole) noexcept { whole_ = whole; }

    /// @brief Candidate that is likely to have most tokens and may be asked now, or null.
    [[nodiscard]] const candidate* choose(time_point now,
                                          std::span<const candidate> candidates) const;

    /// @brief Candidate that is likely to have the emptiest demand and may be asked for rate.
    [[nodiscard]] const candidate* choose_for_rate(time_point now,
                                                   std::span<const candidate> candidates) const;

    /// @brief Earliest time at which one of @a candidates may be asked.
    [[nodiscard]] time_point next_chance(time_point now,
                                         std::span<const candidate> candidates) const;

    /// @brief Tokens that @a option is likely to have: the last hint and what has refilled since.
    [[nodiscard]] double estimate(time_point now, const candidate& option) const;

    /// @brief Notes a request for tokens.
    void asked(request_id id, const vm_id& vm, double amount, time_point expiry);
    /// @brief Notes a request for rate; @a vm is not asked again for @a pause.
    void asked_for_rate(time_point now, const vm_id& vm, duration pause);

    /// @brief Notes an answer.
    /// @return false when the request is unknown, already answered or expired; such a grant must
    ///         not be used, because the donor no longer reserves capacity for it
    [[nodiscard]] bool granted(time_point now, request_id id, const vm_id& vm, double amount,
                               double left);

    /// @brief Until when a grant of request @a id may be used; the lowest time for an unknown one.
    [[nodiscard]] time_point expiry_of(request_id id) const;

    /// @brief Gives up on requests that got no answer in time.
    void expire(time_point now);

    /// @brief Tokens asked for and not yet answered.
    [[nodiscard]] double outstanding() const noexcept;
    [[nodiscard]] std::size_t open() const noexcept { return open_.size(); }
    /// @brief Earliest expiry of an outstanding request.
    [[nodiscard]] time_point next_deadline() const noexcept;

    /// @brief Longest time for which a donor without tokens is left alone.
    static constexpr duration longest_backoff = std::chrono::seconds{2};

  private:
    struct donor_state {
        std::optional<double> left; ///< Hint of the last grant.
        time_point heard{};
        duration backoff{0};
        time_point ask_after{};
        time_point rate_after{};
        bool busy{false}; ///< A request is outstanding.
    };
    struct open_request {
        vm_id donor;
        double amount{0};
        time_point expiry;
    };

    void back_off(time_point now, donor_state& silent, duration shortest);
    [[nodiscard]] time_point askable_at(time_point now, const candidate& option) const;

    [[nodiscard]] double smallest_estimate(const candidate& option) const noexcept;

    share_limits whole_;
    std::map<vm_id, donor_state> donors_;
    std::map<request_id, open_request> open_;
};

} // namespace jackdawvane
