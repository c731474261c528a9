#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Item of the store.
struct stored_item {
    std::string value; ///< Base64 text, as written.
    std::uint64_t revision{0};
    std::uint64_t created{0};
    std::uint64_t lease{0}; ///< 0: none.
};

/// @brief Change of an item; removed when it has no item.
struct item_change {
    std::string key;
    std::uint64_t revision{0};
    std::optional<stored_item> item;
};

/// @brief All-or-nothing change.
struct store_transaction {
    struct write {
        std::string key;
        std::string value;
        std::uint64_t lease{0};
    };
    std::vector<std::pair<std::string, std::uint64_t>> expected; ///< Revision 0: no such key.
    std::vector<write> writes;
    std::vector<std::string> removed;
};

/// @brief Items with one revision counter, leases and a history of changes. No I/O.
class lease_store {
  public:
    using time = steady_clock::time_point;
    enum class outcome { done, conflict, no_lease };

    [[nodiscard]] const std::map<std::string, stored_item>& items() const { return items_; }
    [[nodiscard]] const stored_item* find(const std::string& key) const;
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    [[nodiscard]] outcome apply(const store_transaction& change);
    void put(const std::string& key, std::string value, std::uint64_t lease_number = 0);
    void remove(const std::string& key);

    /// @brief A new lease of @a life; its number.
    std::uint64_t grant(milliseconds life, time now);
    /// @return whether the lease exists
    bool keep(std::uint64_t number, time now);
    void end(std::uint64_t number);
    /// @brief Ends the leases that have run out, with their items.
    void expire(time now);

    /// @brief Changes of keys with @a prefix after @a revision; nothing when they are forgotten.
    [[nodiscard]] std::optional<std::vector<item_change>> changes(const std::string& prefix,
                                                                  std::uint64_t revision) const;
    void forget_history();

  private:
    struct lease {
        milliseconds life{0};
        time end;
    };

    std::map<std::string, stored_item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<item_change> history_;
    std::uint64_t revision_{1};
    std::uint64_t forgotten_{1}; ///< Newest revision that the history does not have.
    std::uint64_t last_lease_{0};
};

} // namespace jackdawvane::standin
