#include "jackdawvane/routing/region_policy.hpp"

#include <algorithm>

namespace jackdawvane {

namespace {

bool allowed_by(const std::vector<region_id>& list, const region_id& region) {
    return list.empty() ||
           (!region.empty() && std::find(list.begin(), list.end(), region) != list.end());
}

void add_unknown(const char* table, const std::string& row, const std::vector<region_id>& list,
                 const std::map<failure_domain_id, region_id>& regions,
                 std::vector<std::string>& problems) {
    for (const auto& region : list) {
        const bool known = std::any_of(regions.begin(), regions.end(),
                                       [&](const auto& each) { return each.second == region; });
        if (!known && !region.empty()) {
            problems.push_back(std::string{"allowed_regions names no region table="} + table +
                               " row=" + row + " region=\"" + region.str() + "\"");
        }
    }
}

} // namespace

region_policy::region_policy(const route_row& route, const organisation_row* organisation)
    : route_{route.allowed_regions} {
    if (organisation != nullptr) {
        organisation_ = organisation->allowed_regions;
    }
}

bool region_policy::allows(const region_id& region) const {
    return allowed_by(route_, region) && allowed_by(organisation_, region);
}

bool region_policy::may_have_text(const region_id& region, const region_id& entry) const {
    return region == entry || allows(region);
}

std::vector<std::string> unknown_regions(const configuration_document& document,
                                         const std::map<failure_domain_id, region_id>& regions) {
    std::vector<std::string> problems;
    for (const auto& [name, row] : document.routes) {
        add_unknown("routes", name.str(), row.allowed_regions, regions, problems);
    }
    for (const auto& [name, row] : document.organisations) {
        add_unknown("organisations", name.str(), row.allowed_regions, regions, problems);
    }
    return problems;
}

} // namespace jackdawvane
