#include "jackdawvane/backends/owned_backends.hpp"

#include "jackdawvane/membership/placement.hpp"

#include <utility>

#include <algorithm>
#include <iterator>

namespace jackdawvane {

owned_backends::owned_backends(owned_backends_settings settings, random_engine& random,
                               node_id_sequences ids)
    : settings_{std::move(settings)}, random_{random}, ids_{ids} {
    settings_.owner.self = settings_.self;
    settings_.owner.incarnation = settings_.incarnation;
}

const vm_entry* owned_backends::owner(const backend_server_id& backend) const {
    const auto found = owners_.find(backend);
    return found == owners_.end() ? nullptr : &found->second;
}

void owned_backends::assign_owners(const configuration_document& document,
                                   std::span<const vm_entry> live) {
    owners_.clear();
    for (const auto& [pool, pool_row] : document.pools) {
        for (const auto& [group, group_row] : pool_row.groups) {
            for (const auto& [backend, row] : group_row.backend_servers) {
                const auto chosen = owner_of(backend, row.place, live);
                if (!chosen) {
                    continue;
                }
                const auto entry = std::find_if(live.begin(), live.end(),
                                                [&](const auto& vm) { return vm.vm == *chosen; });
                owners_.emplace(backend, *entry);
            }
        }
    }
}

void owned_backends::reconcile(time_point now, const configuration_document& document,
                               std::span<const vm_entry> live, actions& out) {
    assign_owners(document, live);
    std::map<backend_server_id, std::pair<group_id, const group_row*>> wanted;
    for (const auto& [pool, pool_row] : document.pools) {
        for (const auto& [group, group_row] : pool_row.groups) {
            for (const auto& [backend, row] : group_row.backend_servers) {
                const auto* vm = owner(backend);
                if (vm != nullptr && vm->vm == settings_.self) {
                    wanted.emplace(backend, std::pair{group, &group_row});
                }
            }
        }
    }
    std::vector<backend_server_id> lost;
    for (const auto& [backend, which] : owned_) {
        if (!wanted.contains(backend)) {
            lost.push_back(backend);
        }
    }
    for (const auto& backend : lost) {
        release_ownership(now, backend, out);
    }
    for (const auto& [backend, place] : wanted) {
        take_over(now, backend, place.first, *place.second, out);
    }
    collect_replies();
}

void owned_backends::take_over(time_point now, const backend_server_id& backend,
                               const group_id& group, const group_row& row, actions& out) {
    const auto found = owned_.find(backend);
    if (found != owned_.end()) {
        configure(backend, found->second, row);
        return;
    }
    owned fresh;
    fresh.group = group;
    fresh.monitor = std::make_unique<group_monitor>(
        monitored_backend{settings_.self, settings_.place, group, backend}, settings_.monitor,
        random_, ids_);
    fresh.requests = std::make_unique<backend_owner>(
        group, backend, *fresh.monitor, ids_.connections, ids_.requests, settings_.owner);
    configure(backend, fresh, row);
    fresh.monitor->start(now, out);
    owned_.emplace(backend, std::move(fresh));
    log(out, "placement", log_level::info, "took over backend server " + backend.str());
}

void owned_backends::configure(const backend_server_id& backend, owned& which,
                               const group_row& row) const {
    std::map<backend_server_id, vm_entry> owners;
    for (const auto& [other, other_row] : row.backend_servers) {
        if (const auto* vm = owner(other)) {
            owners.emplace(other, *vm);
        }
    }
    which.monitor->configure(row, owners);
    which.requests->configure(row.backend_servers.at(backend));
}

void owned_backends::release_ownership(time_point now, const backend_server_id& backend,
                                       actions& out) {
    auto node = owned_.extract(backend);
    auto& which = node.mapped();
    which.requests->retire(now, out);
    log(out, "placement", log_level::info, "released backend server " + backend.str());
    retired_.push_back(std::move(which));
}

void owned_backends::erase_idle_retired(actions& out) {
    std::erase_if(retired_, [&out](owned& which) {
        if (!which.requests->idle()) {
            return false;
        }
        which.monitor->stop(out);
        return true;
    });
}

void owned_backends::submit(time_point now, owner_request request, actions& out) {
    const auto found = owned_.find(request.request.backend);
    if (found != owned_.end()) {
        found->second.requests->submit(now, std::move(request), out);
        collect_replies();
        return;
    }
    // An interactive transaction finishes on the VM on which it was begun.
    for (auto& which : retired_) {
        if (which.monitor->watched().backend == request.request.backend) {
            which.requests->submit(now, std::move(request), out);
            collect_replies();
            return;
        }
    }
    forward_reply reply;
    reply.id = request.request.id;
    const bool follow_up = !request.request.transaction.empty();
    const bool may_have_run = request.request.kind == request_kind::commit;
    reply.result = may_have_run ? outcome::unknown : outcome::not_run;
    reply.problem = error{follow_up ? error_kind::unknown_transaction : error_kind::wrong_owner,
                          request.request.backend.str() + " is not owned by this VM", duration{0}};
    replies_.push_back({std::move(request.from), std::move(reply)});
}

template <class Function>
bool owned_backends::visit_until_accepted(Function accepts) {
    const auto owned_end = owned_.end();
    const auto found =
        std::find_if(owned_.begin(), owned_end, [&](auto& entry) { return accepts(entry.second); });
    return found != owned_end || std::any_of(retired_.begin(), retired_.end(), accepts);
}

void owned_backends::on_connected(time_point now, connection_id connection, actions& out) {
    const bool known = visit_until_accepted([&](owned& which) {
        return which.monitor->on_connected(now, connection, out) ||
               which.requests->on_connected(now, connection, out);
    });
    if (!known) {
        // A connection that no component waits for would count against the backend server's limit.
        out.emplace_back(close_connection{connection});
    }
    collect_replies();
}

void owned_backends::on_disconnected(time_point now, connection_id connection,
                                     const std::string& reason, actions& out) {
    visit_until_accepted([&](owned& which) {
        if (which.monitor->on_disconnected(now, connection, reason, out)) {
            which.requests->on_view_change(now, out);
            return true;
        }
        return which.requests->on_disconnected(now, connection, out);
    });
    collect_replies();
}

void owned_backends::on_answer(time_point now, connection_id connection,
                               const backend_answer& answer, actions& out) {
    visit_until_accepted([&](owned& which) {
        if (which.monitor->on_answer(now, connection, answer, out)) {
            which.requests->on_view_change(now, out);
            return true;
        }
        return which.requests->on_answer(now, connection, answer, out);
    });
    collect_replies();
}

void owned_backends::on_report(time_point now, const group_report& report, actions& out) {
    visit_until_accepted([&](owned& which) {
        // A monitor has newer data about its own backend server than a report has.
        const bool concerned = which.group == report.group &&
                               which.monitor->watched().backend != report.report.backend;
        if (concerned) {
            which.monitor->on_report(now, report, out);
            which.requests->on_view_change(now, out);
        }
        return false;
    });
    collect_replies();
}

void owned_backends::paused(time_point now, actions& out) {
    for (auto& [backend, which] : owned_) {
        which.monitor->paused(now, out);
    }
}

void owned_backends::retire_all(time_point now, actions& out) {
    while (!owned_.empty()) {
        release_ownership(now, backend_server_id{owned_.begin()->first}, out);
    }
    collect_replies();
}

bool owned_backends::idle() const {
    return owned_.empty() && retired_.empty();
}

void owned_backends::tick(time_point now, actions& out) {
    visit_until_accepted([&](owned& which) {
        if (which.monitor->next_deadline() <= now) {
            which.monitor->tick(now, out);
            which.requests->on_view_change(now, out);
        }
        if (which.requests->next_deadline() <= now) {
            which.requests->tick(now, out);
        }
        return false;
    });
    erase_idle_retired(out);
    collect_replies();
}

time_point owned_backends::next_deadline() const {
    auto next = no_deadline;
    const auto consider = [&next](const owned& which) {
        next = std::min({next, which.monitor->next_deadline(), which.requests->next_deadline()});
    };
    for (const auto& [backend, which] : owned_) {
        consider(which);
    }
    std::for_each(retired_.begin(), retired_.end(), consider);
    return next;
}

void owned_backends::collect_replies() {
    visit_until_accepted([this](owned& which) {
        auto made = which.requests->take_replies();
        std::move(made.begin(), made.end(), std::back_inserter(replies_));
        return false;
    });
}

std::vector<owner_reply> owned_backends::take_replies() {
    return std::exchange(replies_, {});
}

std::optional<group_summary> owned_backends::summary(time_point now, const group_id& group) const {
    for (const auto& [backend, which] : owned_) {
        if (which.group == group) {
            return which.monitor->view().summary(now);
        }
    }
    return std::nullopt;
}

std::vector<group_summary> owned_backends::own_primaries(time_point now) const {
    std::vector<group_summary> groups;
    for (const auto& [backend, which] : owned_) {
        if (which.monitor->view().primary() == backend) {
            groups.push_back(which.monitor->view().summary(now));
        }
    }
    return groups;
}

Json::Value owned_backends::describe(time_point now) const {
    Json::Value json{Json::arrayValue};
    for (const auto& [backend, which] : owned_) {
        auto entry = which.requests->describe();
        const auto& view = which.monitor->view();
        entry["reachable"] = which.monitor->reachable();
        entry["primary"] = view.primary().str();
        entry["term"] = to_json(view.known_term());
        entry["term_confirmed"] = view.confirmed(now);
        if (const auto* status = view.status(backend)) {
            entry["status"] = to_json(*status);
        }
        if (const auto age = view.staleness(now, backend)) {
            entry["staleness_ms"] = static_cast<Json::Int64>(to_milliseconds(*age));
        }
        json.append(std::move(entry));
    }
    return json;
}

} // namespace jackdawvane
