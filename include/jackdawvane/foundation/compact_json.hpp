#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <optional>
#include <vector>

namespace jackdawvane {

namespace detail {

/// @brief Removes from the JSON form of a `Value` the members that a decoder fills in itself.
template <class Value>
struct default_remover {
    static void apply(Json::Value& /*json*/, const Json::Value& /*usual*/) {}
};

/// @brief JSON form of a default `Value`.
template <class Value>
[[nodiscard]] const Json::Value& default_json() {
    static const Json::Value json = to_json(Value{});
    return json;
}

template <class Value>
struct default_remover<std::optional<Value>> {
    static void apply(Json::Value& json, const Json::Value& /*usual*/) {
        if (!json.isNull()) {
            default_remover<Value>::apply(json, default_json<Value>());
        }
    }
};

template <class Value>
struct default_remover<std::vector<Value>> {
    static void apply(Json::Value& json, const Json::Value& /*usual*/) {
        for (auto& each : json) {
            default_remover<Value>::apply(each, default_json<Value>());
        }
    }
};

template <has_fields Value>
struct default_remover<Value> {
    template <class Member>
    static void remove(Json::Value& json, const Json::Value& usual,
                       const field_entry<Value, Member>& entry) {
        if (!json.isMember(entry.name)) {
            return;
        }
        const auto& usual_member = usual[entry.name];
        if (json[entry.name] == usual_member) {
            json.removeMember(entry.name);
        } else {
            default_remover<Member>::apply(json[entry.name], usual_member);
        }
    }
    static void apply(Json::Value& json, const Json::Value& usual) {
        std::apply([&](const auto&... entry) { (remove(json, usual, entry), ...); },
                   Value::fields());
    }
};

} // namespace detail

/// @brief JSON form of @a value without the members that have their default, at any depth.
///
/// `from_json` reads the same value from it. Defaults are over half of the bytes of a statement
/// between two VMs.
template <has_fields Value>
[[nodiscard]] Json::Value to_compact_json(const Value& value) {
    auto json = to_json(value);
    detail::default_remover<Value>::apply(json, detail::default_json<Value>());
    return json;
}

} // namespace jackdawvane
