#include "jackdawvane/foundation/age_text.hpp"
#include "jackdawvane/sessions/group_observer.hpp"

/// @file
/// @brief Group observer: the list of evacuated failure domains.

namespace jackdawvane {

namespace {

constexpr const char* log_component = "evacuation";

} // namespace

void group_observer::apply_evacuations(time_point now, time_point read_at,
                                       const evacuated_domains& list, const std::string& source,
                                       proxy_output& out) {
    const auto last_absent = state_.evacuations.read_at();
    for (const auto& change : state_.evacuations.update(read_at, list)) {
        const bool unknown = !state_.regions.contains(change.domain);
        log(out.common, log_component, unknown ? log_level::warning : log_level::info,
            std::string{change.evacuated ? "begins" : "ends"} + " domain=" + change.domain.str() +
                (unknown ? " problem=\"no failure domain has this name\"" : "") +
                " version=" + std::to_string(list.version) + " source=" + source + " age_ms=" +
                age_text(now, read_at) + " previous_list_age_ms=" + age_text(now, last_absent));
        count(out.common, "evacuation_changes_total", "change", change.evacuated ? "begin" : "end");
    }
}

void group_observer::report_evacuations(time_point now, proxy_output& out) const {
    const auto& list = state_.evacuations;
    if (!list.enabled() || !list.known()) {
        return;
    }
    out.common.emplace_back(measurement{metric_kind::gauge, "evacuated_domains", "", "",
                                        static_cast<double>(list.last().domains.size())});
    out.common.emplace_back(
        measurement{metric_kind::gauge, "evacuation_list_age_ms", "", "",
                    static_cast<double>(to_milliseconds(now - list.read_at()))});
}

} // namespace jackdawvane
