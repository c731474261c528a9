#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <map>
#include <string>
#include <vector>

#include "standins/common/asio.hpp"
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief What the callers were finally told about an order.
enum class order_fate { unknown, acknowledged, not_run };

/// @brief Every order of a run, for the comparison with the backend servers' logs.
class order_book {
  public:
    using time = steady_clock::time_point;

    /// @brief Records how the order @a name ended.
    void record(const std::string& name, order_fate fate) { fates_[name] = fate; }
    /// @brief Records an acknowledgement of @a group's primary.
    /// @param sent when the acknowledged attempt was sent
    void acknowledge(const group_id& group, time sent, time acknowledged);

    /// @brief Compares the orders with the logs of the present primaries.
    /// @param logs names in log order, per group; organisation prefixes are ignored
    /// @return counts and examples of orders that are missing, ran twice or ran although told
    /// "not run"
    [[nodiscard]] Json::Value check(const std::vector<std::vector<std::string>>& logs) const;
    /// @brief Time from @a fault to the next acknowledged order that was sent after it.
    /// @return milliseconds per group; null when there was none
    [[nodiscard]] Json::Value gap_after(time fault, const group_id& group) const;
    /// @brief The longest times between two acknowledgements of each group, in milliseconds.
    [[nodiscard]] Json::Value longest_gaps() const;

  private:
    struct acknowledgement {
        time sent;
        time acknowledged;
    };

    std::map<std::string, order_fate> fates_;
    std::map<group_id, std::vector<acknowledgement>> acknowledged_;
};

/// @brief Start of all order names of the load tool.
inline constexpr const char* order_prefix = "order-";

} // namespace jackdawvane::standin
