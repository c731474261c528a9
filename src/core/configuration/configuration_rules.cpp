#include "jackdawvane/configuration/configuration_rules.hpp"

#include "jackdawvane/foundation/compact_json.hpp"

#include <utility>

#include <algorithm>
#include <array>

namespace jackdawvane {

namespace {

/// Type-erased access to the rows of one table by name.
struct table_access {
    const char* name;
    std::optional<Json::Value> (*value)(const configuration_document&, const std::string&);
    std::optional<Json::Value> (*compact)(const configuration_document&, const std::string&);
    void (*set)(configuration_document&, const std::string&, const Json::Value&, decode_problems&);
    void (*erase)(configuration_document&, const std::string&);
};

template <auto Table>
std::optional<Json::Value> value_in(const configuration_document& document,
                                    const std::string& row) {
    const auto& rows = document.*Table;
    using key_type = typename std::decay_t<decltype(rows)>::key_type;
    const auto found = rows.find(key_type{row});
    return found == rows.end() ? std::nullopt : std::optional{to_json(found->second)};
}

template <auto Table>
std::optional<Json::Value> compact_in(const configuration_document& document,
                                      const std::string& row) {
    const auto& rows = document.*Table;
    using key_type = typename std::decay_t<decltype(rows)>::key_type;
    const auto found = rows.find(key_type{row});
    return found == rows.end() ? std::nullopt : std::optional{to_compact_json(found->second)};
}

template <auto Table>
void set_in(configuration_document& document, const std::string& row, const Json::Value& json,
            decode_problems& problems) {
    auto& rows = document.*Table;
    using table_type = std::decay_t<decltype(rows)>;
    typename table_type::mapped_type value{};
    from_json(json, value, "", problems);
    rows[typename table_type::key_type{row}] = std::move(value);
}

template <auto Table>
void erase_in(configuration_document& document, const std::string& row) {
    auto& rows = document.*Table;
    rows.erase(typename std::decay_t<decltype(rows)>::key_type{row});
}

template <auto Table>
constexpr table_access access(const char* name) {
    return {name, &value_in<Table>, &compact_in<Table>, &set_in<Table>, &erase_in<Table>};
}

constexpr std::array tables{access<&configuration_document::routes>("routes"),
                            access<&configuration_document::pools>("pools"),
                            access<&configuration_document::organisations>("organisations"),
                            access<&configuration_document::keys>("keys")};

const table_access* find_table(const std::string& name) {
    const auto* const found =
        std::find_if(tables.begin(), tables.end(),
                     [&](const table_access& table) { return table.name == name; });
    return found == tables.end() ? nullptr : &*found;
}

std::string row_text(const std::optional<Json::Value>& value) {
    return value ? write_json(*value) : std::string{"absent"};
}

/// The row as stored in the table: with defaults filled in and numbers in the table's types.
std::optional<Json::Value> normalised(const table_access& table,
                                      const std::optional<Json::Value>& value) {
    if (!value) {
        return std::nullopt;
    }
    configuration_document scratch;
    decode_problems ignored;
    table.set(scratch, "row", *value, ignored);
    return table.value(scratch, "row");
}

error conflict_error(const row_change& change, const std::optional<Json::Value>& present) {
    return {error_kind::conflict,
            change.table + " " + change.row + " is " + row_text(present) +
                ", but the edit expects " + row_text(change.before),
            {}};
}

result<void> check_before(const configuration_document& document, const row_change& change) {
    const auto* const table = find_table(change.table);
    if (table == nullptr) {
        return error{error_kind::invalid_configuration, "unknown table " + change.table, {}};
    }
    const auto present = table->value(document, change.row);
    if (row_text(present) != row_text(normalised(*table, change.before))) {
        return conflict_error(change, present);
    }
    return boost::outcome_v2::success();
}

std::string joined(const std::vector<problem>& problems) {
    std::string text;
    for (const auto& entry : problems) {
        text += text.empty() ? "" : "; ";
        text += entry.text();
    }
    return text;
}

/// Drops the oldest edits until the text is short enough. Subtracts the size of each dropped edit
/// instead of serialising the document again.
void shorten_history(configuration_document& document) {
    auto& edits = document.recent_edits;
    if (edits.size() > max_recent_edits) {
        edits.erase(edits.begin(), edits.end() - max_recent_edits);
    }
    auto size = document_text(document).size();
    auto first_kept = edits.begin();
    while (size >= max_document_bytes && first_kept != edits.end()) {
        size -= std::min(size, write_json(to_json(*first_kept)).size() + 1);
        ++first_kept;
    }
    edits.erase(edits.begin(), first_kept);
}

} // namespace

std::string problem::text() const {
    return table + " " + row + (key.empty() ? "" : " " + key) + ": " + message + "; " + remedy;
}

result<configuration_document> apply(const configuration_document& document,
                                     const configuration_edit& edit) {
    configuration_document changed = document;
    std::vector<problem> problems;
    for (const auto& change : edit.changes) {
        if (auto checked = check_before(document, change); !checked) {
            return checked.error();
        }
        set_row(changed, change.table, change.row, change.after, problems);
    }
    if (problems.empty()) {
        problems = validate(changed);
    }
    if (!problems.empty()) {
        return error{error_kind::invalid_configuration, joined(problems), {}};
    }
    changed.revision = document.revision.next();
    changed.recent_edits.push_back(edit);
    changed.recent_edits.back().revision = changed.revision;
    shorten_history(changed);
    // Without the edit in the history, its outcome could not be determined after a lost answer.
    if (changed.recent_edits.empty()) {
        return error{error_kind::invalid_configuration,
                     "the document with this edit exceeds 1 MB; remove rows or make the edit "
                     "smaller",
                     {}};
    }
    return changed;
}

configuration_edit inverse(const configuration_edit& edit, edit_id id) {
    configuration_edit back;
    back.id = std::move(id);
    back.operator_name = edit.operator_name;
    for (auto change = edit.changes.rbegin(); change != edit.changes.rend(); ++change) {
        back.changes.push_back({change->table, change->row, change->after, change->before});
    }
    return back;
}

const std::vector<std::string>& table_names() {
    static const std::vector<std::string> names = [] {
        std::vector<std::string> listed;
        listed.reserve(tables.size());
        for (const auto& table : tables) {
            listed.emplace_back(table.name);
        }
        return listed;
    }();
    return names;
}

std::optional<Json::Value> row_value(const configuration_document& document,
                                     const std::string& table, const std::string& row) {
    const auto* const access = find_table(table);
    return access == nullptr ? std::nullopt : access->value(document, row);
}

std::optional<Json::Value> compact_row_value(const configuration_document& document,
                                             const std::string& table, const std::string& row) {
    const auto* const access = find_table(table);
    return access == nullptr ? std::nullopt : access->compact(document, row);
}

void set_row(configuration_document& document, const std::string& table, const std::string& row,
             const std::optional<Json::Value>& value, std::vector<problem>& problems) {
    const auto* const access = find_table(table);
    if (access == nullptr) {
        problems.push_back(
            {table, row, "", "no such table exists", "use routes, pools, organisations or keys"});
        return;
    }
    if (!value || value->isNull()) {
        access->erase(document, row);
        return;
    }
    decode_problems mistakes;
    access->set(document, row, *value, mistakes);
    for (const auto& mistake : mistakes) {
        problems.push_back({table, row, mistake.path, mistake.message, "correct the value"});
    }
}

const configuration_edit* find_edit(const configuration_document& document, const edit_id& id) {
    const auto& edits = document.recent_edits;
    const auto found = std::find_if(edits.begin(), edits.end(),
                                    [&](const configuration_edit& edit) { return edit.id == id; });
    return found == edits.end() ? nullptr : &*found;
}

bool has_all_edits_after(const configuration_document& document, revision after) {
    if (document.revision <= after) {
        return true;
    }
    return !document.recent_edits.empty() && document.recent_edits.front().revision <= after.next();
}

std::string document_text(const configuration_document& document) {
    return write_json(to_json(document));
}

result<configuration_document> parse_document(std::string_view text) {
    if (text.empty()) {
        return configuration_document{};
    }
    auto json = parse_json(text);
    if (!json) {
        return json.error();
    }
    return from_json<configuration_document>(json.value());
}

} // namespace jackdawvane
