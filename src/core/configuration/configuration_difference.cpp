#include "jackdawvane/configuration/configuration_difference.hpp"

#include "jackdawvane/configuration/configuration_rules.hpp"

#include <bit>
#include <type_traits>

#include <xxhash.h>

namespace jackdawvane {

namespace {

template <class Rows>
void add_names(const char* table, const Rows& rows, std::set<row_name>& names) {
    for (const auto& [name, row] : rows) {
        names.emplace(table, name.str());
    }
}

/// Both tables are sorted by name.
template <class Rows>
void add_changes(const char* table, const Rows& before, const Rows& after,
                 std::set<row_name>& names) {
    auto old = before.begin();
    auto present = after.begin();
    while (old != before.end() || present != after.end()) {
        if (present == after.end() || (old != before.end() && old->first < present->first)) {
            names.emplace(table, (old++)->first.str());
        } else if (old == before.end() || present->first < old->first) {
            names.emplace(table, (present++)->first.str());
        } else {
            if (!(old->second == present->second)) {
                names.emplace(table, old->first.str());
            }
            ++old;
            ++present;
        }
    }
}

void append_number(std::string& bytes, std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) {
        bytes += static_cast<char>(number >> shift);
    }
}

template <class Value>
void append_value(std::string& bytes, const std::optional<Value>& value);
template <class Value>
void append_value(std::string& bytes, const std::vector<Value>& values);
template <class Key, class Value>
void append_value(std::string& bytes, const std::map<Key, Value>& values);

/// Appends bytes that differ for different values, independent of the machine.
template <class Value>
void append_value(std::string& bytes, const Value& value) {
    if constexpr (has_fields<Value>) {
        std::apply([&](const auto&... entry) { (append_value(bytes, value.*entry.member), ...); },
                   Value::fields());
    } else if constexpr (std::is_enum_v<Value> || std::is_integral_v<Value>) {
        append_number(bytes, static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_floating_point_v<Value>) {
        append_number(bytes, std::bit_cast<std::uint64_t>(static_cast<double>(value)));
    } else if constexpr (std::is_same_v<Value, std::string>) {
        append_number(bytes, value.size());
        bytes += value;
    } else if constexpr (std::is_same_v<Value, endpoint>) {
        append_value(bytes, value.address);
        append_value(bytes, value.port);
    } else if constexpr (std::is_same_v<Value, location>) {
        append_value(bytes, value.region);
        append_value(bytes, value.domain);
    } else {
        append_value(bytes, value.str());
    }
}

template <class Value>
void append_value(std::string& bytes, const std::optional<Value>& value) {
    append_value(bytes, value.has_value());
    if (value) {
        append_value(bytes, *value);
    }
}

template <class Value>
void append_value(std::string& bytes, const std::vector<Value>& values) {
    append_number(bytes, values.size());
    for (const auto& each : values) {
        append_value(bytes, each);
    }
}

template <class Key, class Value>
void append_value(std::string& bytes, const std::map<Key, Value>& values) {
    append_number(bytes, values.size());
    for (const auto& [key, value] : values) {
        append_value(bytes, key);
        append_value(bytes, value);
    }
}

template <class Rows>
std::uint64_t table_digest(const std::string& table, const Rows& rows) {
    std::uint64_t sum = 0;
    std::string bytes;
    for (const auto& [name, row] : rows) {
        bytes.clear();
        append_value(bytes, table);
        append_value(bytes, name.str());
        append_value(bytes, row);
        sum += XXH3_64bits(bytes.data(), bytes.size());
    }
    return sum;
}

} // namespace

std::set<row_name> all_rows(const configuration_document& document) {
    std::set<row_name> names;
    add_names("routes", document.routes, names);
    add_names("pools", document.pools, names);
    add_names("organisations", document.organisations, names);
    add_names("keys", document.keys, names);
    return names;
}

content_digest digest_of(const configuration_document& document) {
    return content_digest{table_digest("routes", document.routes) +
                          table_digest("pools", document.pools) +
                          table_digest("organisations", document.organisations) +
                          table_digest("keys", document.keys)};
}

std::set<row_name> changed_rows(const configuration_document& before,
                                const configuration_document& after) {
    std::set<row_name> names;
    add_changes("routes", before.routes, after.routes, names);
    add_changes("pools", before.pools, after.pools, names);
    add_changes("organisations", before.organisations, after.organisations, names);
    add_changes("keys", before.keys, after.keys, names);
    return names;
}

std::string rows_text(const configuration_document& document, const std::set<row_name>& rows) {
    Json::Value tables{Json::objectValue};
    for (const auto& [table, name] : rows) {
        tables[table][name] =
            compact_row_value(document, table, name).value_or(Json::Value{Json::nullValue});
    }
    return write_json(tables);
}

result<configuration_document> replace_rows(const configuration_document& base,
                                            std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed || !parsed.value().isObject()) {
        return error{error_kind::malformed_request, "rows are not a JSON object", {}};
    }
    auto document = base;
    document.recent_edits.clear();
    std::vector<problem> problems;
    const auto& tables = parsed.value();
    for (const auto& table : tables.getMemberNames()) {
        const auto& rows = tables[table];
        if (!rows.isObject()) {
            return error{error_kind::malformed_request, "table " + table + " is not an object", {}};
        }
        for (auto row = rows.begin(); row != rows.end(); ++row) {
            set_row(document, table, row.name(), *row, problems);
        }
    }
    if (!problems.empty()) {
        return error{error_kind::malformed_request, problems.front().text(), {}};
    }
    return document;
}

} // namespace jackdawvane
