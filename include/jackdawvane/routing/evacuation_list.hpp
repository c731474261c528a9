#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Time limits of evacuations.
struct evacuation_settings {
    /// From the operator's request until no request may reach the domain; 0 disables evacuations.
    duration timeout{0};
    /// Requests stop this long before the timeout. Covers a message to the owner, a statement's
    /// wait of 250 ms there, and the check of idle transactions every 100 ms.
    duration margin{std::chrono::milliseconds{1000}};
};

/// @brief Start or end of the evacuation of one domain.
struct evacuation_change {
    failure_domain_id domain;
    bool evacuated{false};
};

/// @brief Failure domains that the operator has evacuated, as of the last read of the store.
///
/// Handles the load condition that a domain has to be empty of requests within a bound. All times
/// are those of this VM's clock from before the request to the store was sent. A list stays in
/// effect until a newer one is known, whatever its age: an evacuation ends only by a list that does
/// not contain it.
class evacuation_list {
  public:
    explicit evacuation_list(evacuation_settings settings = {}) : settings_{settings} {}

    /// @brief Applies a list that was read at @a read_at from the store's version @a version.
    ///
    /// Lists of older versions are ignored. An evacuation ends with the second version without it:
    /// the servers that are read with that one were read after the end, and show whether those of
    /// the domain have become cold.
    /// @return the domains whose evacuation began or ended
    std::vector<evacuation_change> update(time_point read_at, const evacuated_domains& list);

    /// @brief Whether this deployment has evacuations.
    [[nodiscard]] bool enabled() const noexcept { return settings_.timeout > duration{0}; }
    /// @brief Whether a list is known, or none is needed.
    [[nodiscard]] bool known() const noexcept { return !enabled() || known_; }
    /// @brief Whether every domain may be used.
    [[nodiscard]] bool empty() const noexcept { return known() && last_absent_.empty(); }
    /// @brief Whether the last list contains @a domain.
    [[nodiscard]] bool contains(const failure_domain_id& domain) const;
    /// @brief Whether @a domain gets no new work for which another server would do: it is
    /// evacuated, or may be, because no list is known.
    [[nodiscard]] bool excludes(const failure_domain_id& domain) const;
    /// @brief Whether no request may be sent to @a domain any longer, whatever it waits for.
    [[nodiscard]] bool blocks(time_point now, const failure_domain_id& domain) const;

    [[nodiscard]] time_point read_at() const noexcept { return read_at_; }
    /// @brief The last list, to send to another VM.
    [[nodiscard]] const evacuated_domains& last() const noexcept { return last_; }

  private:
    evacuation_settings settings_;
    evacuated_domains last_;
    /// Time of the last list without the domain; `min()` when there was none.
    std::map<failure_domain_id, time_point> last_absent_;
    /// Version of the first list without a domain whose evacuation has not ended here yet.
    std::map<failure_domain_id, std::uint64_t> ended_in_;
    time_point read_at_{time_point::min()};
    bool known_{false};
};

} // namespace jackdawvane
