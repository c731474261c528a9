#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace jackdawvane {

/// @brief An organisation's full rate and burst, in the unit of `share_holder::part`.
///
/// Parts are integers, so their sum stays exact after any number of transfers.
inline constexpr std::uint32_t whole_share = 1'000'000;

/// @brief VM incarnation that holds a part of the rates and bursts of a group's organisations.
struct share_holder {
    vm_id vm;
    vm_incarnation incarnation;
    std::uint32_t part{0}; ///< Millionths of the rate and of the burst, which move together.

    static constexpr auto fields() {
        return std::tuple{field("vm", &share_holder::vm),
                          field("incarnation", &share_holder::incarnation),
                          field("part", &share_holder::part)};
    }
    friend bool operator==(const share_holder&, const share_holder&) = default;
};

/// @brief Rate and burst of an organisation over the whole fleet.
struct share_limits {
    double rate{0};  ///< Requests per second.
    double burst{0}; ///< Tokens.

    friend bool operator==(const share_limits&, const share_limits&) = default;
};

/// @brief Store record `shares/<group>`: the holders of a group and their parts.
///
/// It lists no organisations, so the numbers of records and of store calls do not depend on how
/// many there are.
struct share_record {
    std::vector<share_holder> holders;

    static constexpr auto fields() { return std::tuple{field("holders", &share_record::holders)}; }
    friend bool operator==(const share_record&, const share_record&) = default;

    /// @brief Part that is not assigned to any holder.
    [[nodiscard]] std::uint32_t unassigned() const noexcept;
    /// @brief Entry of @a vm in any incarnation, or null.
    [[nodiscard]] const share_holder* find(const vm_id& vm) const noexcept;
    [[nodiscard]] share_holder* find(const vm_id& vm) noexcept;
    /// @brief Removes the entry of @a vm; its part becomes unassigned.
    void remove(const vm_id& vm);
    /// @brief Divides the unassigned part equally among all holders.
    void distribute();
};

/// @brief Group that @a organisation belongs to, out of @a groups.
///
/// The id contains the number of groups, so VMs that are configured with different numbers use
/// separate records.
[[nodiscard]] share_group_id share_group_of(const organisation_id& organisation,
                                            std::uint32_t groups);

/// @brief Store key of the share record of @a group.
[[nodiscard]] std::string share_key(const share_group_id& group);

/// @brief Store key of the lease of @a vm; the value is the incarnation in decimal digits.
[[nodiscard]] std::string lease_key(const vm_id& vm);

} // namespace jackdawvane
