#pragma once

#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <utility>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawvane {

/// @brief Settings of an admission queue.
struct admission_queue_settings {
    /// Entries that one organisation may have queued in one class.
    std::size_t limit{256};
    /// Share of the service that each class below the highest one gets while it has entries.
    double lower_class_share{0.1};
    duration longest_retry{std::chrono::seconds{10}};
};

/// @brief Request that waits for a token or a slot.
struct admission_entry {
    request_id id;
    organisation_id organisation;
    std::uint32_t priority{0};        ///< 0 is the highest class.
    std::uint32_t weight{1};          ///< Of the organisation within the class.
    time_point deadline{no_deadline}; ///< The entry is of no use from this time on.
};

/// @brief Decides which waiting request is served next, which can be served in time, and when a
/// refused one should come back.
///
/// Designed for overload: more requests than tokens or slots for longer than they may wait. The
/// highest class is served first; each lower class with entries gets `lower_class_share` of the
/// service, so none starves. Within a class organisations are served by deficit round robin, within
/// an organisation the entry with the earliest deadline goes first.
///
/// It has neither a clock nor I/O; every call is passed the time.
class admission_queue {
  public:
    /// @brief Number of classes; lower priorities count as the lowest class.
    static constexpr std::size_t classes = 4;

    explicit admission_queue(admission_queue_settings settings) : settings_{settings} {}

    /// @brief Class of a request of priority @a priority.
    [[nodiscard]] static std::size_t class_of(std::uint32_t priority) noexcept;

    /// @brief Sets the rate (entries per second) at which entries can be served; 0 if unknown.
    void set_service_rate(double per_second) noexcept { service_rate_ = per_second; }

    /// @brief Expected time until a new request of the class and organisation of @a entry is
    /// served; 0 if the service rate is unknown.
    [[nodiscard]] duration expected_wait(time_point now, const admission_entry& entry) const;
    /// @brief Whether the queue has room for @a entry and can serve it before its deadline.
    [[nodiscard]] bool can_serve(time_point now, const admission_entry& entry) const;

    /// @brief Queues @a entry, also if it can't be served in time.
    /// @return false if the organisation's queue of this class is full or the id is queued already
    /// @complexity O(log n)
    [[nodiscard]] bool push(const admission_entry& entry);

    /// @brief Removes and returns the next entry whose deadline is after @a now.
    ///
    /// Expired entries are kept for `expire`.
    /// @complexity O(log n) amortised
    [[nodiscard]] std::optional<admission_entry> pop(time_point now);

    /// @brief Removes the entries whose deadline is at or before @a now, to be answered as not run.
    [[nodiscard]] std::vector<admission_entry> expire(time_point now);

    /// @brief Removes entry @a id, for example when its caller has disconnected.
    [[nodiscard]] std::optional<admission_entry> remove(request_id id);

    /// @brief Records that a request of @a priority was served without having been queued.
    void record_served(time_point now, std::uint32_t priority);

    /// @brief Time after which the refused request @a entry should come back.
    ///
    /// At least the time to serve what waits before it, plus random jitter of the same size, up to
    /// the longest retry time. Refused requests of the class that are due earlier count as waiting:
    /// otherwise all of them would come back into the same full queue.
    [[nodiscard]] duration retry_after(time_point now, const admission_entry& entry,
                                       random_engine& random);

    /// @brief Earliest deadline of an entry; `time_point::min()` while `expire` has entries ready.
    [[nodiscard]] time_point next_deadline() const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return index_.size(); }
    [[nodiscard]] bool empty() const noexcept { return index_.empty(); }
    /// @brief Entries of class @a index.
    [[nodiscard]] std::size_t size_of_class(std::size_t index) const noexcept;

  private:
    using order = std::pair<time_point, request_id>;
    struct organisation_queue {
        std::map<order, admission_entry> entries; ///< Earliest deadline first.
        std::uint32_t weight{1};
        std::uint64_t credit{0};
        std::list<organisation_id>::iterator turn;
    };
    struct class_queue {
        std::unordered_map<organisation_id, organisation_queue> organisations;
        std::list<organisation_id> turns; ///< Front: the organisation whose turn it is.
        double credit{0};                 ///< Service that the class was promised and did not get.
        double served{0};                 ///< Decaying number of served requests.
        time_point served_at{};
        time_point returns_until{}; ///< When the refused requests could all have been served.
    };
    struct place {
        std::size_t index;
        organisation_id organisation;
        time_point deadline;
    };

    [[nodiscard]] std::size_t next_class() const noexcept;
    void settle_credits(std::size_t served) noexcept;
    void count_served(time_point now, std::size_t index) noexcept;
    [[nodiscard]] double served_rate(time_point now, std::size_t index) const noexcept;
    [[nodiscard]] double entries_ahead(const class_queue& own, const admission_entry& entry) const;
    [[nodiscard]] double rate_of_class(time_point now, std::size_t index) const noexcept;
    void collect_expired(time_point now);
    admission_entry take_next(std::size_t index);
    admission_entry extract(std::size_t index, const organisation_id& organisation, order key);

    admission_queue_settings settings_;
    double service_rate_{0};
    std::array<class_queue, classes> classes_;
    std::array<std::size_t, classes> sizes_{};
    std::map<request_id, place> index_;
    std::set<order> deadlines_;
    std::vector<admission_entry> expired_; ///< Found by `pop`, not yet returned by `expire`.
};

} // namespace jackdawvane
