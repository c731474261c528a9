#include "jackdawvane/sessions/earlier_primaries.hpp"

#include "jackdawvane/foundation/age_text.hpp"

#include <algorithm>

namespace jackdawvane {

void earlier_primaries::on_directory(time_point now, const backend_directory& directory) {
    if (directory.version() == directory_version_) {
        return;
    }
    directory_version_ = directory.version();
    for (const auto& [server, group] : registered_) {
        if (directory.find(server) == nullptr) {
            departed_.try_emplace(server, departure{group, now});
        }
    }
    registered_.clear();
    for (const auto& [server, entry] : directory.entries()) {
        registered_[server] = entry.registration.group;
        departed_.erase(server);
    }
    std::erase_if(departed_, [&](const auto& each) {
        return now - each.second.at >= settings_.departure_timeout;
    });
    const auto unknown = [&](const auto& each) {
        return !registered_.contains(each.first) && !departed_.contains(each.first);
    };
    std::erase_if(replica_at_, unknown);
}

void earlier_primaries::on_status(time_point now, const backend_server_id& server,
                                  const server_status& status) {
    if (status.role == backend_role::replica) {
        replica_at_[server] = now;
    } else {
        replica_at_.erase(server);
    }
}

std::set<backend_server_id> earlier_primaries::departed(const group_id& group) const {
    std::set<backend_server_id> found;
    for (const auto& [server, left] : departed_) {
        if (left.group == group) {
            found.insert(server);
        }
    }
    return found;
}

std::optional<time_point> earlier_primaries::departed_at(const backend_server_id& server) const {
    const auto found = departed_.find(server);
    return found == departed_.end() ? std::nullopt : std::optional{found->second.at};
}

bool earlier_primaries::out_of_action(const backend_server_id& server, time_point since) const {
    const auto replica = replica_at_.find(server);
    return replica != replica_at_.end() && replica->second >= since;
}

std::optional<backend_server_id> earlier_primaries::possible(time_point now, const group_id& group,
                                                             const backend_directory& directory,
                                                             const backend_server_id& primary,
                                                             const backend_server_id& replica,
                                                             time_point since) const {
    for (const auto& server : directory.members(group)) {
        if (server != primary && server != replica && !out_of_action(server, since)) {
            return server;
        }
    }
    for (const auto& [server, left] : departed_) {
        if (left.group == group && now - left.at < settings_.departure_timeout &&
            !out_of_action(server, since)) {
            return server;
        }
    }
    return {};
}

std::string earlier_primaries::evidence_text(time_point now,
                                             const backend_server_id& server) const {
    const auto replica = replica_at_.find(server);
    const auto left = departed_.find(server);
    return "replica_age_ms=" +
           (replica == replica_at_.end() ? std::string{"-"} : age_text(now, replica->second)) +
           " departed_age_ms=" +
           (left == departed_.end() ? std::string{"-"} : age_text(now, left->second.at));
}

} // namespace jackdawvane
