#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <map>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Final result of an order as reported to its caller.
enum class order_result { unknown, acknowledged, not_run };

/// @brief Tracks the orders of a run to compare them with the backend servers' logs.
class order_book {
  public:
    using time = steady_clock::time_point;

    /// @brief Records the final result of the order @a name.
    void record(const std::string& name, order_result result) { results_[name] = result; }
    /// @brief Records an acknowledgement of @a group's primary.
    /// @param sent when the acknowledged attempt was sent
    void acknowledge(const group_id& group, time sent, time acknowledged);

    /// @brief Compares the orders with the logs of the current primaries.
    /// @param logs names in log order, per group; organisation prefixes are ignored
    /// @return counts and examples of acknowledged orders that are missing, orders that ran twice,
    /// and orders that ran although reported as "not run"
    [[nodiscard]] Json::Value check(const std::vector<std::vector<std::string>>& logs) const;
    /// @brief Time from @a fault to the next acknowledged order that was sent after it.
    /// @return milliseconds per group; null for a group without one
    [[nodiscard]] Json::Value gap_after(time fault, const group_id& group) const;
    /// @brief The longest times between two acknowledgements of each group, in milliseconds.
    [[nodiscard]] Json::Value longest_gaps() const;

  private:
    struct acknowledgement {
        time sent;
        time acknowledged;
    };

    std::map<std::string, order_result> results_;
    std::map<group_id, std::vector<acknowledgement>> acknowledged_;
};

/// @brief Prefix of all order names.
inline constexpr const char* order_prefix = "order-";

} // namespace jackdawvane::standin
