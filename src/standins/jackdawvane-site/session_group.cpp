#include "standins/jackdawvane-site/session_group.hpp"

#include <algorithm>

namespace jackdawvane::standin {

namespace {

/// A primary steps down this long after it first reached its successor.
constexpr milliseconds step_down_delay{1000};

bool same(const commit_entry& left, const commit_entry& right) {
    return left.term == right.term && left.number == right.number;
}

} // namespace

std::string group_member::position() const {
    if (log.empty()) {
        return "1.0";
    }
    return std::to_string(log.back().term) + "." + std::to_string(log.back().number);
}

bool group_member::has_reached(std::uint64_t required_term, std::uint64_t number) const {
    if (number == 0) {
        return true;
    }
    const auto last_number = log.empty() ? 0 : log.back().number;
    const auto last_term = log.empty() ? 1 : log.back().term;
    return last_term > required_term || (last_term == required_term && last_number >= number);
}

session_group::session_group(std::string name, std::vector<group_member> members)
    : name_{std::move(name)}, members_{std::move(members)} {
    members_.front().primary = true;
}

group_member* session_group::find(const std::string& id) {
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [&](const group_member& each) { return each.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

const group_member* session_group::current_primary() const {
    const group_member* newest = nullptr;
    for (const auto& each : members_) {
        const bool newer = newest == nullptr || each.term > newest->term;
        if (each.primary && each.running() && newer) {
            newest = &each;
        }
    }
    return newest;
}

const commit_entry& session_group::commit(group_member& primary, std::vector<row_write> writes,
                                          time now) {
    const auto number = primary.log.empty() ? 1 : primary.log.back().number + 1;
    for (const auto& write : writes) {
        primary.data[write.item] = write.data;
    }
    primary.log.push_back({primary.term, number, std::move(writes), now});
    return primary.log.back();
}

bool session_group::promote(const std::string& id) {
    auto* const chosen = find(id);
    if (chosen == nullptr || !chosen->running()) {
        return false;
    }
    std::uint64_t newest{0};
    for (const auto& each : members_) {
        newest = std::max(newest, each.term);
    }
    if (chosen->primary && chosen->term == newest) {
        return true;
    }
    chosen->primary = true;
    chosen->term = newest + 1;
    chosen->held_term = 0;
    chosen->successor_seen_at.reset();
    return true;
}

void session_group::hold(group_member& member, std::uint64_t term) const {
    if (!member.primary && term > member.term) {
        member.held_term = std::max(member.held_term, term);
    }
}

void session_group::step_down(group_member& member, std::uint64_t term) const {
    if (member.primary && member.term < term) {
        member.primary = false;
    }
}

void session_group::crash(group_member& member) const {
    member.state = group_member::condition::crashed;
    ++member.incarnation;
}

void session_group::restart(group_member& member, std::int64_t started_at_ms) const {
    const bool replaced = std::any_of(members_.begin(), members_.end(), [&](const auto& each) {
        return each.primary && each.term > member.term;
    });
    member.state = group_member::condition::running;
    member.primary = member.primary && !replaced;
    member.held_term = 0;
    member.started_at_ms = started_at_ms;
    member.successor_seen_at.reset();
    ++member.incarnation;
}

void session_group::replicate(time now) {
    const auto* const newest = current_primary();
    if (newest == nullptr || newest->isolated) {
        return;
    }
    for (auto& each : members_) {
        if (&each == newest || !each.running() || each.isolated) {
            continue;
        }
        if (each.primary) {
            each.successor_seen_at = each.successor_seen_at.value_or(now);
            each.primary = now < *each.successor_seen_at + step_down_delay;
        } else if (each.held_term == 0) {
            update_replica(each, *newest, now);
        }
    }
}

void session_group::update_replica(group_member& replica, const group_member& primary, time now) {
    auto& log = replica.log;
    bool truncated = false;
    while (!log.empty() &&
           (log.size() > primary.log.size() || !same(log.back(), primary.log[log.size() - 1]))) {
        for (const auto& write : log.back().writes) {
            rolled_back_.insert(write.statement);
        }
        log.pop_back();
        truncated = true;
    }
    if (truncated) {
        replica.data.clear();
        for (const auto& entry : log) {
            for (const auto& write : entry.writes) {
                replica.data[write.item] = write.data;
            }
        }
    }
    replica.term = std::max(replica.term, primary.term);
    while (log.size() < primary.log.size() && primary.log[log.size()].at + replica.lag <= now) {
        log.push_back(primary.log[log.size()]);
        for (const auto& write : log.back().writes) {
            replica.data[write.item] = write.data;
        }
    }
}

Json::Value session_group::describe() const {
    Json::Value json;
    const group_member* newest = &members_.front();
    for (const auto& each : members_) {
        newest = each.primary && each.term >= newest->term ? &each : newest;
        Json::Value row;
        row["id"] = each.id;
        row["primary"] = each.primary;
        row["term"] = Json::UInt64{each.term};
        row["position"] = each.position();
        row["connections"] = each.connections;
        json["members"].append(row);
    }
    json["log"] = Json::arrayValue;
    for (const auto& entry : newest->log) {
        Json::Value row;
        row["term"] = Json::UInt64{entry.term};
        row["number"] = Json::UInt64{entry.number};
        row["statements"] = Json::arrayValue;
        for (const auto& write : entry.writes) {
            row["statements"].append(write.statement);
        }
        json["log"].append(row);
    }
    json["rolled_back"] = Json::arrayValue;
    for (const auto& statement : rolled_back_) {
        json["rolled_back"].append(statement);
    }
    return json;
}

} // namespace jackdawvane::standin
