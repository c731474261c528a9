#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <utility>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jackdawvane {

/// @brief Bounded queue that serves organisations by deficit round robin.
///
/// An organisation whose turn comes gains credit of `weight * quantum` and is served while its
/// credit covers the cost of its oldest entry. An organisation without entries keeps no credit.
/// @tparam Item type of the queued items; movable
template <class Item>
class fair_queue {
  public:
    /// @brief Credit that an organisation of weight 1 gains per turn.
    static constexpr std::uint32_t quantum = 1;

    /// @brief Entry as `pop`, `expire` and `remove` return it.
    struct entry {
        request_id id;
        organisation_id organisation;
        time_point deadline;
        Item item;
    };

    /// @param limit entries that one organisation may have queued
    explicit fair_queue(std::size_t limit) : limit_{limit} {}

    /// @brief Queues @a item.
    /// @param weight weight of the organisation from now on, at least 1
    /// @param cost cost in units of `quantum`
    /// @return false if the organisation's queue is full (`queue_full`) or the id is already queued
    /// @complexity O(log n) for the deadline index, else O(1)
    [[nodiscard]] bool push(request_id id, const organisation_id& organisation,
                            std::uint32_t weight, std::uint32_t cost, time_point deadline,
                            Item item) {
        auto& own = queues_[organisation];
        if (own.entries.size() >= limit_ || index_.contains(id)) {
            drop_if_empty(organisation);
            return false;
        }
        own.weight = std::max(1U, weight);
        if (own.entries.empty()) {
            turns_.push_back(organisation);
            own.turn = std::prev(turns_.end());
        }
        own.entries.push_back({{id, organisation, deadline, std::move(item)}, cost});
        index_.emplace(id, std::prev(own.entries.end()));
        deadlines_.emplace(deadline, id);
        return true;
    }

    /// @brief Removes and returns the next entry whose deadline is after @a now.
    ///
    /// Expired entries are kept for `expire`, which the caller runs first.
    /// @complexity O(1) amortised when no cost exceeds the weight, plus the deadline index
    [[nodiscard]] std::optional<entry> pop(time_point now) {
        while (!turns_.empty()) {
            auto& own = queues_.at(turns_.front());
            const auto& oldest = own.entries.front();
            if (oldest.value.deadline <= now) {
                expired_.push_back(extract(index_.at(oldest.value.id)));
                continue;
            }
            if (!own.in_turn) {
                own.in_turn = true;
                own.credit += std::uint64_t{own.weight} * quantum;
            }
            if (own.credit < oldest.cost) {
                own.in_turn = false;
                turns_.splice(turns_.end(), turns_, turns_.begin());
                continue;
            }
            own.credit -= oldest.cost;
            return extract(index_.at(oldest.value.id));
        }
        return std::nullopt;
    }

    /// @brief Removes the entries whose deadline is at or before @a now.
    /// @return the removed entries, to be answered as not run
    /// @complexity O(k log n) for k expired entries
    [[nodiscard]] std::vector<entry> expire(time_point now) {
        auto removed = std::exchange(expired_, {});
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            removed.push_back(extract(index_.at(deadlines_.begin()->second)));
        }
        return removed;
    }

    /// @brief Removes the entry @a id, for example when its caller has disconnected.
    [[nodiscard]] std::optional<entry> remove(request_id id) {
        const auto found = index_.find(id);
        return found == index_.end() ? std::nullopt : std::optional{extract(found->second)};
    }

    /// @brief Removes an entry whose item @a matches, for example one of a caller that has gone.
    /// @complexity O(n)
    template <class Predicate>
    [[nodiscard]] std::optional<entry> remove_matching(Predicate matches) {
        const auto found = std::find_if(index_.begin(), index_.end(), [&](const auto& each) {
            return matches(each.second->value.item);
        });
        return found == index_.end() ? std::nullopt : std::optional{extract(found->second)};
    }

    /// @brief Earliest deadline of a queued entry; `time_point::min()` while `expire` has entries
    /// ready.
    [[nodiscard]] time_point next_deadline() const noexcept {
        if (!expired_.empty()) {
            return time_point::min();
        }
        return deadlines_.empty() ? no_deadline : deadlines_.begin()->first;
    }

    [[nodiscard]] std::size_t size() const noexcept { return index_.size(); }
    [[nodiscard]] bool empty() const noexcept { return index_.empty(); }

    /// @brief Entries of @a organisation.
    [[nodiscard]] std::size_t size_of(const organisation_id& organisation) const {
        const auto found = queues_.find(organisation);
        return found == queues_.end() ? 0 : found->second.entries.size();
    }

  private:
    struct queued {
        entry value;
        std::uint32_t cost;
    };
    using position = typename std::list<queued>::iterator;

    struct organisation_queue {
        std::list<queued> entries; ///< Oldest first.
        std::uint32_t weight{1};
        std::uint64_t credit{0};
        bool in_turn{false}; ///< Whether the credit of the current turn was added.
        std::list<organisation_id>::iterator turn;
    };

    entry extract(position at) {
        auto taken = std::move(at->value);
        auto& own = queues_.at(taken.organisation);
        index_.erase(taken.id);
        deadlines_.erase({taken.deadline, taken.id});
        own.entries.erase(at);
        if (own.entries.empty()) {
            turns_.erase(own.turn);
            queues_.erase(taken.organisation);
        }
        return taken;
    }

    void drop_if_empty(const organisation_id& organisation) {
        const auto found = queues_.find(organisation);
        if (found != queues_.end() && found->second.entries.empty()) {
            queues_.erase(found);
        }
    }

    std::size_t limit_;
    /// Organisations with entries.
    std::unordered_map<organisation_id, organisation_queue> queues_;
    std::list<organisation_id> turns_; ///< Front: the organisation whose turn it is.
    std::unordered_map<request_id, position> index_;
    std::set<std::pair<time_point, request_id>> deadlines_;
    std::vector<entry> expired_; ///< Found by `pop`, not yet returned by `expire`.
};

} // namespace jackdawvane
