#include "jackdawvane/adapters/settings_reader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace jackdawvane {

namespace {

/// @brief Value at the dotted path @a path, or its nearest parent that exists.
const Json::Value& value_at(const Json::Value& json, std::string_view path) {
    const auto* current = &json;
    while (!path.empty() && current->isObject()) {
        const auto end = std::min(path.find('.'), path.size());
        const auto name = path.substr(0, std::min(path.find('['), end));
        const auto* member = current->find(name.data(), name.data() + name.size());
        if (member == nullptr) {
            break;
        }
        current = member;
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return *current;
}

std::size_t line_of(std::string_view text, std::ptrdiff_t offset) {
    const auto length = std::min(text.size(), static_cast<std::size_t>(offset));
    const auto before = text.substr(0, length);
    return 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
}

} // namespace

std::string describe_problems(const std::string& file, const settings_problems& problems) {
    std::string text;
    for (const auto& problem : problems) {
        text += file + ":" + std::to_string(problem.line) + ": ";
        text += problem.key.empty() ? problem.message : problem.key + " " + problem.message;
        text += '\n';
    }
    return text;
}

std::optional<std::string> read_file(const std::string& file, settings_problems& problems) {
    std::ifstream input{file, std::ios::binary};
    if (!input) {
        problems.push_back({0, "", "cannot be read; check the path and its permissions"});
        return {};
    }
    return std::string{std::istreambuf_iterator<char>{input}, {}};
}

settings_problems detail::place_problems(std::string_view text, const Json::Value& json,
                                         const decode_problems& problems) {
    settings_problems placed;
    placed.reserve(problems.size());
    for (const auto& problem : problems) {
        const auto offset =
            problem.offset != 0 ? problem.offset : value_at(json, problem.path).getOffsetStart();
        placed.push_back({line_of(text, offset), problem.path, problem.message});
    }
    std::stable_sort(placed.begin(), placed.end(),
                     [](const auto& left, const auto& right) { return left.line < right.line; });
    return placed;
}

void detail::report_missing(const Json::Value& json, const std::vector<const char*>& required,
                            decode_problems& problems) {
    for (const auto* const key : required) {
        if (!json.isMember(key)) {
            add_problem(problems, key, "is missing; add it", json);
        }
    }
}

} // namespace jackdawvane
