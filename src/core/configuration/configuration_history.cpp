#include "jackdawvane/configuration/configuration_history.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane {

namespace {

constexpr std::size_t max_steps = 64;
constexpr std::size_t max_names = 20'000; // about 2 MB

} // namespace

void configuration_history::add(revision before, content_digest digest, std::set<row_name> rows) {
    names_ += rows.size();
    steps_.push_back({before, digest, std::move(rows)});
    while (steps_.size() > max_steps || (names_ > max_names && !steps_.empty())) {
        names_ -= steps_.front().rows.size();
        steps_.pop_front();
    }
}

std::optional<std::set<row_name>> configuration_history::rows_since(revision after,
                                                                    content_digest digest) const {
    const auto first = std::find_if(steps_.begin(), steps_.end(), [&](const step& each) {
        return each.before == after && each.digest == digest;
    });
    if (first == steps_.end()) {
        return std::nullopt;
    }
    std::set<row_name> names;
    for (auto each = first; each != steps_.end(); ++each) {
        names.insert(each->rows.begin(), each->rows.end());
    }
    return names;
}

} // namespace jackdawvane
