#pragma once

#include "jackdawvane/configuration/configuration.hpp"

#include <map>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief In which regions a request may run, and which VMs may have its text.
///
/// Handles the load condition that the servers and VMs of a region must not be used however much
/// load there is elsewhere. A region without a name, as that of an unknown domain, is never
/// allowed by a restriction.
class region_policy {
  public:
    /// @brief No restriction.
    region_policy() = default;
    /// @param organisation null if the organisation has no row
    region_policy(const route_row& route, const organisation_row* organisation);

    [[nodiscard]] bool restricted() const noexcept {
        return !route_.empty() || !organisation_.empty();
    }
    /// @brief Whether backend servers in @a region may run the request.
    [[nodiscard]] bool allows(const region_id& region) const;
    /// @brief Whether a VM in @a region may have the text of a request whose caller is connected to
    /// a VM in the region @a entry.
    [[nodiscard]] bool may_have_text(const region_id& region, const region_id& entry) const;

  private:
    std::vector<region_id> route_;
    std::vector<region_id> organisation_;
};

/// @brief Describes each name in `allowed_regions` of @a document that is no region of @a regions.
[[nodiscard]] std::vector<std::string>
unknown_regions(const configuration_document& document,
                const std::map<failure_domain_id, region_id>& regions);

} // namespace jackdawvane
