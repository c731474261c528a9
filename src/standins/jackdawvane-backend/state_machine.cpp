#include "standins/jackdawvane-backend/state_machine.hpp"

namespace jackdawvane::standin {

namespace {

error failed_statement(std::string detail) {
    return {error_kind::statement_failed, std::move(detail), {}};
}

Json::Value sum(const Json::Value& left, const Json::Value& right) {
    if ((left.isNull() || left.isInt64()) && right.isInt64()) {
        return Json::Int64{(left.isNull() ? 0 : left.asInt64()) + right.asInt64()};
    }
    return (left.isNull() ? 0.0 : left.asDouble()) + right.asDouble();
}

} // namespace

Json::Value state_machine::load(const std::string& key, transaction_view& view) const {
    const auto stored = values_.find(key);
    view.seen.try_emplace(key, stored == values_.end() ? log_position{} : stored->second.changed);
    const auto changed = view.changed.find(key);
    if (changed != view.changed.end()) {
        return changed->second;
    }
    return stored == values_.end() ? Json::Value{} : stored->second.value;
}

result<Json::Value> state_machine::run_one(const Json::Value& statement, access_mode mode,
                                           transaction_view& view) const {
    if (!statement.isObject() || !statement["op"].isString() || !statement["key"].isString()) {
        return failed_statement("a statement needs the string fields op and key");
    }
    const auto op = statement["op"].asString();
    const auto key = statement["key"].asString();
    const auto& operand = statement["value"];
    auto value = load(key, view);
    if (op != "get" && mode == access_mode::read) {
        return failed_statement(op + " is not allowed in read mode");
    }
    if (op == "put") {
        value = operand;
    } else if (op == "delete") {
        value = Json::Value{};
    } else if (op == "add") {
        if (!operand.isNumeric() || !(value.isNull() || value.isNumeric())) {
            return failed_statement("add needs a numeric operand and a numeric or absent value");
        }
        value = sum(value, operand);
    } else if (op != "get") {
        return failed_statement("unknown operation " + op);
    }
    if (op != "get") {
        view.changed[key] = value;
    }
    Json::Value answer;
    answer["key"] = key;
    answer["value"] = value;
    return answer;
}

result<Json::Value> state_machine::run(const Json::Value& statements, access_mode mode,
                                       transaction_view& view) const {
    if (!statements.isArray()) {
        return failed_statement("statements must be an array");
    }
    Json::Value results{Json::arrayValue};
    for (const auto& statement : statements) {
        auto answer = run_one(statement, mode, view);
        if (!answer) {
            return answer.error();
        }
        results.append(std::move(answer).value());
    }
    return results;
}

bool state_machine::is_stale(const transaction_view& view) const {
    for (const auto& [key, seen] : view.seen) {
        const auto stored = values_.find(key);
        const auto changed = stored == values_.end() ? log_position{} : stored->second.changed;
        if (changed != seen) {
            return true;
        }
    }
    return false;
}

void state_machine::apply(const log_entry& entry, log_position position) {
    transaction_view view;
    if (run(entry.statements, access_mode::write, view)) {
        for (auto& [key, value] : view.changed) {
            values_[key] = {std::move(value), position};
        }
    }
    if (!entry.name.empty()) {
        names_.try_emplace(entry.name, named_result{entry.fingerprint, position});
    }
}

void state_machine::rebuild(const replicated_log& log) {
    values_.clear();
    names_.clear();
    for (auto position = log_position{1}; position <= log.last(); position = position.next()) {
        apply(log.at(position), position);
    }
}

const named_result* state_machine::find(const request_name& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? nullptr : &found->second;
}

} // namespace jackdawvane::standin
