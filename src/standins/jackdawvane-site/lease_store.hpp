#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"

namespace jackdawvane::standin {

/// @brief Value of a key in the store with its metadata.
struct stored_item {
    std::string value; ///< Base64 text, as written.
    std::uint64_t revision{0};
    std::uint64_t created_revision{0};
    std::uint64_t lease{0}; ///< 0: none.
};

/// @brief Change of a key; without an item, the key was removed.
struct item_change {
    std::string key;
    std::uint64_t revision{0};
    std::optional<stored_item> item;
};

/// @brief Atomic change with preconditions on the revisions of keys.
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

/// @brief Key-value store with one revision counter, leases and a change history. No I/O.
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

    /// @brief Grants a lease that expires after @a ttl unless it is renewed.
    /// @return number of the lease
    std::uint64_t grant(milliseconds ttl, time now);
    /// @brief Extends the lease by its time to live.
    /// @return false when the lease does not exist
    bool renew(std::uint64_t number, time now);
    void revoke(std::uint64_t number);
    /// @brief Removes the expired leases and the items attached to them.
    void expire(time now);

    /// @brief Changes of keys with @a prefix after @a revision; nothing if the history was
    /// compacted or the revision has not been given out.
    [[nodiscard]] std::optional<std::vector<item_change>> changes(const std::string& prefix,
                                                                  std::uint64_t revision) const;
    void compact_history();

    /// @brief Items, leases, history and revisions as they are at @a now.
    [[nodiscard]] lease_store copied(time now) const;
    /// @brief Continues from what @ref copied returned: revisions are given out again, and each
    /// lease has the time left that it had then.
    void restore(const lease_store& copy, time now);

  private:
    struct lease {
        milliseconds ttl{0};
        time expires_at;
    };

    std::map<std::string, stored_item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<item_change> history_;
    std::uint64_t revision_{1};
    std::uint64_t compacted_revision_{1}; ///< Newest revision that is no longer in the history.
    std::uint64_t last_lease_{0};
    time copied_at_{};
};

} // namespace jackdawvane::standin
