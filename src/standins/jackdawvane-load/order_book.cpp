#include "standins/jackdawvane-load/order_book.hpp"

#include <algorithm>
#include <functional>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t reported_gaps = 5;
constexpr Json::ArrayIndex reported_examples = 10;

double to_ms(steady_clock::duration value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// @brief Collects violations of one kind.
class violation_list {
  public:
    void add(const std::string& name) {
        ++count_;
        if (examples_.size() < reported_examples) {
            examples_.append(name);
        }
    }
    [[nodiscard]] Json::Value json() const {
        Json::Value json;
        json["count"] = Json::UInt64{count_};
        json["examples"] = examples_;
        return json;
    }

  private:
    std::uint64_t count_{0};
    Json::Value examples_{Json::arrayValue};
};

std::map<std::string, unsigned> count_runs(const std::vector<std::vector<std::string>>& logs) {
    std::map<std::string, unsigned> runs;
    for (const auto& log : logs) {
        for (const auto& name : log) {
            const auto start = name.find(order_prefix);
            if (start != std::string::npos) {
                ++runs[name.substr(start)];
            }
        }
    }
    return runs;
}

} // namespace

void order_book::acknowledge(const group_id& group, time sent, time acknowledged) {
    acknowledged_[group].push_back({sent, acknowledged});
}

Json::Value order_book::check(const std::vector<std::vector<std::string>>& logs) const {
    const auto runs = count_runs(logs);
    std::map<order_result, std::uint64_t> totals;
    violation_list missing;
    violation_list refused_but_run;
    violation_list run_twice;
    for (const auto& [name, result] : results_) {
        ++totals[result];
        const bool ran = runs.contains(name);
        if (result == order_result::acknowledged && !ran) {
            missing.add(name);
        }
        if (result == order_result::not_run && ran) {
            refused_but_run.add(name);
        }
    }
    for (const auto& [name, count] : runs) {
        if (count > 1) {
            run_twice.add(name);
        }
    }
    Json::Value json;
    json["acknowledged"] = Json::UInt64{totals[order_result::acknowledged]};
    json["not_run"] = Json::UInt64{totals[order_result::not_run]};
    json["unknown"] = Json::UInt64{totals[order_result::unknown]};
    json["acknowledged_but_missing"] = missing.json();
    json["not_run_but_run"] = refused_but_run.json();
    json["run_twice"] = run_twice.json();
    return json;
}

Json::Value order_book::gap_after(time fault, const group_id& group) const {
    Json::Value gaps{Json::objectValue};
    for (const auto& [name, list] : acknowledged_) {
        if (!group.empty() && name != group) {
            continue;
        }
        // An attempt that was sent before the fault may have been answered by the old primary.
        const auto next = std::find_if(list.begin(), list.end(),
                                       [&](const auto& entry) { return entry.sent >= fault; });
        gaps[name.str()] =
            next == list.end() ? Json::Value{} : Json::Value{to_ms(next->acknowledged - fault)};
    }
    return gaps;
}

Json::Value order_book::longest_gaps() const {
    Json::Value json{Json::objectValue};
    for (const auto& [group, list] : acknowledged_) {
        std::vector<double> gaps;
        for (std::size_t i = 1; i < list.size(); ++i) {
            gaps.push_back(to_ms(list[i].acknowledged - list[i - 1].acknowledged));
        }
        std::sort(gaps.begin(), gaps.end(), std::greater<>{});
        gaps.resize(std::min(gaps.size(), reported_gaps));
        auto& target = json[group.str()] = Json::arrayValue;
        for (const auto gap : gaps) {
            target.append(gap);
        }
    }
    return json;
}

} // namespace jackdawvane::standin
