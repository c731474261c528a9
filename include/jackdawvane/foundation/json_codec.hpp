#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

#include <json/json.h>

/// @file
/// @brief JSON codec for structures that list their fields as a table of member pointers.
///
/// A structure is supported when it declares
/// `static constexpr auto fields() { return std::tuple{field("name", &type::member), ...}; }`.
/// Strong ids, numbers, durations (whole microseconds, key suffix `_us` by convention),
/// enumerations with `enum_names`, optionals, vectors and maps are supported as members.

namespace jackdawvane {

/// @brief One entry of a field table: JSON key and member pointer.
template <class Owner, class Member>
struct field_entry {
    const char* name;
    Member Owner::*member;
};

/// @brief Makes an entry of a field table.
template <class Owner, class Member>
constexpr field_entry<Owner, Member> field(const char* name, Member Owner::*member) noexcept {
    return {name, member};
}

/// @brief Specialise with `static constexpr std::array<std::pair<E, const char*>, N> table`.
template <class Enum>
struct enum_names;

template <class Value>
concept has_fields = requires {
    Value::fields();
};

template <class Enum>
concept named_enum = std::is_enum_v<Enum> && requires {
    enum_names<Enum>::table;
};

/// @brief Decoding error: the path of the key and what is wrong with its value.
struct decode_problem {
    std::string path;
    std::string message;
    std::ptrdiff_t offset{0}; ///< Byte offset of the value in the parsed text.
};

/// @brief All errors found while decoding one value.
using decode_problems = std::vector<decode_problem>;

namespace detail {

template <class Value>
struct json_traits;

/// @brief Path of the key @a name below @a path.
[[nodiscard]] std::string join_path(std::string path, std::string_view name);

inline void add_problem(decode_problems& problems, const std::string& path, std::string message,
                        const Json::Value& at) {
    problems.push_back({path, std::move(message), at.getOffsetStart()});
}

} // namespace detail

/// @brief JSON form of @a value.
/// @complexity Linear in the size of @a value.
template <class Value>
[[nodiscard]] Json::Value to_json(const Value& value) {
    return detail::json_traits<Value>::encode(value);
}

/// @brief Decodes @a json into @a value; appends every error to @a problems.
/// @param path key path of @a json, used in error messages
template <class Value>
void from_json(const Json::Value& json, Value& value, const std::string& path,
               decode_problems& problems) {
    detail::json_traits<Value>::decode(json, value, path, problems);
}

/// @brief Decodes @a json as a @a Value.
/// @return the value, or `malformed_request` with the first error
template <class Value>
[[nodiscard]] result<Value> from_json(const Json::Value& json) {
    Value value{};
    decode_problems problems;
    from_json(json, value, "", problems);
    if (problems.empty()) {
        return value;
    }
    return error{
        error_kind::malformed_request, problems.front().path + ": " + problems.front().message, {}};
}

/// @brief Compact text of @a json on one line.
[[nodiscard]] std::string write_json(const Json::Value& json);

/// @brief Parses one JSON text; comments are allowed.
/// @return the value, or `malformed_request` with line and column
[[nodiscard]] result<Json::Value> parse_json(std::string_view text);

namespace detail {

template <>
struct json_traits<Json::Value> {
    static Json::Value encode(const Json::Value& value) { return value; }
    static void decode(const Json::Value& json, Json::Value& value, const std::string& /*path*/,
                       decode_problems& /*problems*/) {
        value = json;
    }
};

template <>
struct json_traits<std::string> {
    static Json::Value encode(const std::string& value) { return {value}; }
    static void decode(const Json::Value& json, std::string& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isString()) {
            add_problem(problems, path, "must be a string", json);
            return;
        }
        value = json.asString();
    }
};

template <>
struct json_traits<bool> {
    static Json::Value encode(bool value) { return {value}; }
    static void decode(const Json::Value& json, bool& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isBool()) {
            add_problem(problems, path, "must be true or false", json);
            return;
        }
        value = json.asBool();
    }
};

template <std::floating_point Value>
struct json_traits<Value> {
    static Json::Value encode(Value value) { return {static_cast<double>(value)}; }
    static void decode(const Json::Value& json, Value& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isNumeric()) {
            add_problem(problems, path, "must be a number", json);
            return;
        }
        value = static_cast<Value>(json.asDouble());
    }
};

template <std::unsigned_integral Value>
struct json_traits<Value> {
    static Json::Value encode(Value value) { return {static_cast<Json::UInt64>(value)}; }
    static void decode(const Json::Value& json, Value& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isUInt64() || json.asUInt64() > std::numeric_limits<Value>::max()) {
            add_problem(problems, path, "must be a whole number that is not negative", json);
            return;
        }
        value = static_cast<Value>(json.asUInt64());
    }
};

template <std::signed_integral Value>
struct json_traits<Value> {
    static Json::Value encode(Value value) { return {static_cast<Json::Int64>(value)}; }
    static void decode(const Json::Value& json, Value& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isInt64()) {
            add_problem(problems, path, "must be a whole number", json);
            return;
        }
        value = static_cast<Value>(json.asInt64());
    }
};

template <class Tag>
struct json_traits<basic_id<Tag>> {
    static Json::Value encode(const basic_id<Tag>& value) { return {value.str()}; }
    static void decode(const Json::Value& json, basic_id<Tag>& value, const std::string& path,
                       decode_problems& problems) {
        std::string text;
        json_traits<std::string>::decode(json, text, path, problems);
        value = basic_id<Tag>{std::move(text)};
    }
};

template <class Tag>
struct json_traits<basic_number<Tag>> {
    static Json::Value encode(basic_number<Tag> value) {
        return json_traits<std::uint64_t>::encode(value.value());
    }
    static void decode(const Json::Value& json, basic_number<Tag>& value, const std::string& path,
                       decode_problems& problems) {
        std::uint64_t number{0};
        json_traits<std::uint64_t>::decode(json, number, path, problems);
        value = basic_number<Tag>{number};
    }
};

template <>
struct json_traits<duration> {
    static Json::Value encode(duration value) {
        return json_traits<std::int64_t>::encode(value.count());
    }
    static void decode(const Json::Value& json, duration& value, const std::string& path,
                       decode_problems& problems) {
        std::int64_t count{0};
        json_traits<std::int64_t>::decode(json, count, path, problems);
        value = duration{count};
    }
};

template <class Value>
struct json_traits<std::optional<Value>> {
    static Json::Value encode(const std::optional<Value>& value) {
        return value ? to_json(*value) : Json::Value{};
    }
    static void decode(const Json::Value& json, std::optional<Value>& value,
                       const std::string& path, decode_problems& problems) {
        if (json.isNull()) {
            value.reset();
            return;
        }
        json_traits<Value>::decode(json, value.emplace(), path, problems);
    }
};

template <class Value>
struct json_traits<std::vector<Value>> {
    static Json::Value encode(const std::vector<Value>& values) {
        Json::Value json{Json::arrayValue};
        for (const auto& value : values) {
            json.append(to_json(value));
        }
        return json;
    }
    static void decode(const Json::Value& json, std::vector<Value>& values, const std::string& path,
                       decode_problems& problems) {
        values.clear();
        if (!json.isArray()) {
            add_problem(problems, path, "must be a list", json);
            return;
        }
        for (Json::ArrayIndex i = 0; i < json.size(); ++i) {
            const auto item_path = path + "[" + std::to_string(i) + "]";
            json_traits<Value>::decode(json[i], values.emplace_back(), item_path, problems);
        }
    }
};

template <class Key>
[[nodiscard]] const std::string& key_text(const Key& key) {
    if constexpr (std::is_same_v<Key, std::string>) {
        return key;
    } else {
        return key.str();
    }
}

template <class Key, class Value>
struct json_traits<std::map<Key, Value>> {
    static Json::Value encode(const std::map<Key, Value>& values) {
        Json::Value json{Json::objectValue};
        for (const auto& [key, value] : values) {
            json[key_text(key)] = to_json(value);
        }
        return json;
    }
    static void decode(const Json::Value& json, std::map<Key, Value>& values,
                       const std::string& path, decode_problems& problems) {
        values.clear();
        if (!json.isObject()) {
            add_problem(problems, path, "must be an object", json);
            return;
        }
        for (const auto& name : json.getMemberNames()) {
            const auto item_path = join_path(path, name);
            json_traits<Value>::decode(json[name], values[Key{name}], item_path, problems);
        }
    }
};

template <named_enum Enum>
struct json_traits<Enum> {
    static Json::Value encode(Enum value) {
        for (const auto& [entry, name] : enum_names<Enum>::table) {
            if (entry == value) {
                return {name};
            }
        }
        return {};
    }
    static void decode(const Json::Value& json, Enum& value, const std::string& path,
                       decode_problems& problems) {
        std::string choices;
        for (const auto& [entry, name] : enum_names<Enum>::table) {
            if (json.isString() && json.asString() == name) {
                value = entry;
                return;
            }
            choices += choices.empty() ? name : std::string{", "} + name;
        }
        add_problem(problems, path, "must be one of " + choices, json);
    }
};

template <>
struct json_traits<error_kind> {
    static Json::Value encode(error_kind value) { return {std::string{to_string(value)}}; }
    static void decode(const Json::Value& json, error_kind& value, const std::string& path,
                       decode_problems& problems) {
        std::string text;
        json_traits<std::string>::decode(json, text, path, problems);
        value = error_kind_from(text);
    }
};

template <>
struct json_traits<error> {
    static Json::Value encode(const error& value) {
        Json::Value json{Json::objectValue};
        json["kind"] = to_json(value.kind);
        json["detail"] = value.detail;
        if (value.retry_after) {
            json["retry_after_us"] = to_json(*value.retry_after);
        }
        return json;
    }
    static void decode(const Json::Value& json, error& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isObject()) {
            add_problem(problems, path, "must be an object", json);
            return;
        }
        from_json(json["kind"], value.kind, path + ".kind", problems);
        from_json(json["detail"], value.detail, path + ".detail", problems);
        from_json(json["retry_after_us"], value.retry_after, path + ".retry_after_us", problems);
    }
};

template <class Owner, class Member>
void encode_field(Json::Value& json, const Owner& owner, const field_entry<Owner, Member>& entry) {
    auto encoded = to_json(owner.*entry.member);
    if (!encoded.isNull()) {
        json[entry.name] = std::move(encoded);
    }
}

template <class Owner, class Member>
void decode_field(const Json::Value& json, Owner& owner, const field_entry<Owner, Member>& entry,
                  const std::string& path, decode_problems& problems) {
    const auto* member =
        json.find(entry.name, entry.name + std::char_traits<char>::length(entry.name));
    if (member == nullptr) {
        return; // Absent keys keep the member's default.
    }
    const auto item_path = join_path(path, entry.name);
    json_traits<Member>::decode(*member, owner.*entry.member, item_path, problems);
}

template <has_fields Value>
void report_unknown_keys(const Json::Value& json, const std::string& path,
                         decode_problems& problems) {
    for (const auto& name : json.getMemberNames()) {
        const bool known =
            std::apply([&name](const auto&... entry) { return ((name == entry.name) || ...); },
                       Value::fields());
        if (!known) {
            const auto item_path = join_path(path, name);
            add_problem(problems, item_path, "is not a known key; remove it or correct its name",
                        json[name]);
        }
    }
}

template <has_fields Value>
struct json_traits<Value> {
    static Json::Value encode(const Value& value) {
        Json::Value json{Json::objectValue};
        std::apply([&](const auto&... entry) { (encode_field(json, value, entry), ...); },
                   Value::fields());
        return json;
    }
    static void decode(const Json::Value& json, Value& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isObject()) {
            add_problem(problems, path, "must be an object", json);
            return;
        }
        report_unknown_keys<Value>(json, path, problems);
        std::apply(
            [&](const auto&... entry) { (decode_field(json, value, entry, path, problems), ...); },
            Value::fields());
    }
};

template <>
struct json_traits<endpoint> {
    /// `decode` accepts no text for an endpoint that is not set, so its key is omitted.
    static Json::Value encode(const endpoint& value) {
        if (value.address.empty()) {
            return {};
        }
        return {value.address + ":" + std::to_string(value.port)};
    }
    static void decode(const Json::Value& json, endpoint& value, const std::string& path,
                       decode_problems& problems);
};

template <>
struct json_traits<location> {
    static Json::Value encode(const location& value) {
        Json::Value json{Json::objectValue};
        json["region"] = to_json(value.region);
        json["failure_domain"] = to_json(value.domain);
        return json;
    }
    static void decode(const Json::Value& json, location& value, const std::string& path,
                       decode_problems& problems) {
        if (!json.isObject()) {
            add_problem(problems, path, "must be an object", json);
            return;
        }
        from_json(json["region"], value.region, path + ".region", problems);
        from_json(json["failure_domain"], value.domain, path + ".failure_domain", problems);
    }
};

} // namespace detail

} // namespace jackdawvane
