#include "jackdawvane/sessions/load_reporter.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace jackdawvane {

namespace {

/// A report of this age has lost about a third of its weight for queue lengths.
constexpr duration report_interval = std::chrono::milliseconds{100};
/// A change of the queue by this part of the slots changes the expected wait by this part of the
/// service time.
constexpr std::int64_t slots_part = 2;
constexpr std::int64_t service_time_part = 4;

std::int64_t statements(const server_load& load) {
    return std::int64_t{load.waiting} + load.running;
}

} // namespace

bool differs_noticeably(const server_load& left, const server_load& right) {
    const auto queue = std::abs(statements(left) - statements(right));
    const auto service = std::chrono::abs(left.service_time - right.service_time);
    const auto threshold = std::max<std::int64_t>(1, left.slots / slots_part);
    return left.slots != right.slots || queue > threshold ||
           service > left.service_time / service_time_part;
}

std::optional<server_load> load_reporter::due(time_point now, const vm_id& entry,
                                              const backend_server_id& backend,
                                              const server_load& load) {
    const auto [last, first] = sent_.try_emplace({entry, backend}, sent_load{load, now});
    if (!first && now - last->second.sent < report_interval &&
        !differs_noticeably(last->second.load, load)) {
        return {};
    }
    last->second = {load, now};
    return load;
}

void load_reporter::forget(const vm_id& entry) {
    std::erase_if(sent_, [&](const auto& each) { return each.first.first == entry; });
}

void load_reporter::prune(time_point now) {
    std::erase_if(sent_,
                  [&](const auto& each) { return now - each.second.sent >= report_interval; });
}

} // namespace jackdawvane
