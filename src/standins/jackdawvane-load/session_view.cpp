#include "standins/jackdawvane-load/session_view.hpp"

#include <algorithm>
#include <charconv>

namespace jackdawvane::standin {

namespace {

Json::Value statement(const char* op, const std::string& key) {
    Json::Value json;
    json["op"] = op;
    json["key"] = key;
    return json;
}

bool has_keys(const Json::Value& results, const std::string& own, const std::string& counter) {
    return results.isArray() && results.size() == 2 && results[0]["key"] == own &&
           results[1]["key"] == counter;
}

std::int64_t number_of(const Json::Value& value) {
    return value.isInt64() ? value.asInt64() : 0;
}

} // namespace

std::string session_view::own_key() const {
    return "own/" + session_ + "/" + partition_ + "/" + std::to_string(key_generation_);
}

std::string session_view::value_of(std::uint64_t number) const {
    return session_ + "#" + std::to_string(number);
}

Json::Value session_view::next_write() {
    ++last_attempted_;
    Json::Value statements;
    statements.append(statement("put", own_key()));
    statements[0]["value"] = value_of(last_attempted_);
    statements.append(statement("add", counter_key()));
    statements[1]["value"] = 1;
    return statements;
}

Json::Value session_view::read() const {
    Json::Value statements;
    statements.append(statement("get", own_key()));
    statements.append(statement("get", counter_key()));
    return statements;
}

std::optional<std::string> session_view::check_write(const Json::Value& results) {
    last_acknowledged_ = last_attempted_;
    last_seen_ = last_attempted_;
    if (!has_keys(results, own_key(), counter_key()) ||
        results[0]["value"] != value_of(last_attempted_)) {
        return "another request's answer to a write of " + own_key();
    }
    const auto counter = number_of(results[1]["value"]);
    if (counter <= last_counter_) {
        return counter_key() + " fell to " + std::to_string(counter) + " after " +
               std::to_string(last_counter_);
    }
    last_counter_ = counter;
    return std::nullopt;
}

std::optional<std::string> session_view::check_read(const Json::Value& results, bool in_session) {
    if (!has_keys(results, own_key(), counter_key())) {
        return "another request's answer to a read of " + own_key();
    }
    std::uint64_t number{0};
    const auto& value = results[0]["value"];
    if (!value.isNull()) {
        const auto text = value.isString() ? value.asString() : std::string{};
        const auto separator = text.find('#');
        const auto* const end = text.data() + text.size();
        if (text.substr(0, separator) != session_ ||
            std::from_chars(text.data() + separator + 1, end, number).ptr != end) {
            return own_key() + " holds a value of another session";
        }
    }
    if (number > last_attempted_) {
        return own_key() + " holds a value that was never written";
    }
    if (!in_session) {
        return std::nullopt;
    }
    const auto counter = number_of(results[1]["value"]);
    if (number < last_acknowledged_) {
        return "own write " + std::to_string(last_acknowledged_) + " of " + own_key() +
               " is not read";
    }
    if (number < last_seen_ || counter < last_counter_) {
        return "reads of " + partition_ + " went backwards";
    }
    last_seen_ = number;
    last_counter_ = counter;
    return std::nullopt;
}

void session_view::abandon_key() {
    ++key_generation_;
    last_attempted_ = last_acknowledged_ = last_seen_ = 0;
}

void session_view::forget_unacknowledged() {
    last_seen_ = last_acknowledged_;
    last_counter_ = 0;
}

} // namespace jackdawvane::standin
