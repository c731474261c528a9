#include "programs/jackdawvanectl/edit_file.hpp"

#include <utility>

#include <algorithm>

namespace jackdawvane::ctl {

namespace {

std::size_t line_at_offset(const std::string& text, std::ptrdiff_t offset) {
    const auto end =
        text.begin() + std::min<std::ptrdiff_t>(offset, static_cast<std::ptrdiff_t>(text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

/// Returns the value at @a path or, when the file lacks it, its nearest existing ancestor.
const Json::Value& deepest_value(const Json::Value& from, const std::string& path) {
    const Json::Value* at = &from;
    std::string rest = path;
    while (!rest.empty() && at->isObject()) {
        // Ids may contain dots, so whole keys are matched instead of splitting the path at dots.
        const Json::Value* next = nullptr;
        for (const auto& name : at->getMemberNames()) {
            if (rest == name || rest.rfind(name + ".", 0) == 0) {
                next = &(*at)[name];
                rest = rest.size() == name.size() ? "" : rest.substr(name.size() + 1);
                break;
            }
        }
        if (next == nullptr) {
            break;
        }
        at = next;
    }
    return *at;
}

std::size_t line_of_problem(const std::string& text, const Json::Value& file, const problem& what) {
    if (!file.isMember(what.table) || !file[what.table].isObject() ||
        !file[what.table].isMember(what.row)) {
        return 0;
    }
    const auto& at = deepest_value(file[what.table][what.row], what.key);
    return line_at_offset(text, at.getOffsetStart());
}

} // namespace

result<file_edit> read_edit(const std::string& text, const configuration_document& current) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    const auto& file = parsed.value();
    if (!file.isObject()) {
        return error{error_kind::malformed_request, "the file must hold an object of tables", {}};
    }
    auto edited = current;
    std::vector<problem> problems;
    file_edit edit;
    for (const auto& table : file.getMemberNames()) {
        if (!file[table].isObject()) {
            problems.push_back({table, "", "", "must be an object of rows", "correct the file"});
            continue;
        }
        for (const auto& row : file[table].getMemberNames()) {
            set_row(edited, table, row, file[table][row], problems);
            const auto before = row_value(current, table, row);
            const auto after = row_value(edited, table, row);
            const auto json_text = [](const auto& value) {
                return value ? write_json(*value) : "";
            };
            if (json_text(before) != json_text(after)) {
                edit.changes.push_back({table, row, before, after});
            }
        }
    }
    const auto found = validate(edited);
    problems.insert(problems.end(), found.begin(), found.end());
    for (auto& what : problems) {
        const auto line = line_of_problem(text, file, what);
        edit.problems.push_back({line, std::move(what)});
    }
    return edit;
}

} // namespace jackdawvane::ctl
