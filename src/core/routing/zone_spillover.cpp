#include "jackdawvane/routing/zone_spillover.hpp"

#include <algorithm>

namespace jackdawvane {

namespace {

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

const char* to_string(read_reach reach) noexcept {
    switch (reach) {
    case read_reach::domain:
        return "domain";
    case read_reach::region:
        return "region";
    case read_reach::remote:
        return "remote";
    }
    return "";
}

void zone_spillover::update(time_point now, const spillover_input& input) {
    const auto elapsed = updated_ ? std::max(duration{0}, now - *updated_) : duration{0};
    updated_ = now;
    domain_share_ =
        changed(domain_share_, settings_.domain, input.own_domain, input.own_zones, elapsed);
    region_share_ =
        changed(region_share_, settings_.region, input.own_region, input.remote, elapsed);
}

double zone_spillover::changed(double share, const spillover_limit& limit,
                               const std::optional<zone_cost>& near,
                               const std::optional<zone_cost>& far, duration elapsed) const {
    const auto fallen = std::max(0.0, share - limit.fall * seconds(elapsed));
    if (!near || !far || near->evidence_age > settings_.evidence_ttl) {
        return fallen;
    }
    const auto gain = near->expected - far->expected;
    if (gain > limit.margin) {
        const auto step = limit.rise * seconds(std::min(elapsed, settings_.max_step));
        return std::min(settings_.max_share, share + step);
    }
    // Between half of the margin and the margin the share stays, so that it does not swing.
    return gain < limit.margin / 2 ? fallen : share;
}

read_reach zone_spillover::reach(const spillover_input& input, double draw) const {
    if (!input.own_region || draw < region_share_) {
        return read_reach::remote;
    }
    return !input.own_domain || draw < domain_share_ ? read_reach::region : read_reach::domain;
}

} // namespace jackdawvane
