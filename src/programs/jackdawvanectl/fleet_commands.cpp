#include <utility>

#include <algorithm>
#include <map>

#include "programs/jackdawvanectl/commands.hpp"

/// @file
/// @brief Subcommands that query the VMs.

namespace jackdawvane::ctl {

namespace {

/// Status of a backend server as its owner reports it; missing keys print as 0 or empty.
struct server_report {
    std::string owner;
    Json::Value report;
};

std::map<std::string, server_report> reports_by_server(const vm_entry& vm,
                                                       const Json::Value& status) {
    std::map<std::string, server_report> reports;
    for (const auto& report : status["backend_servers"]) {
        reports[report["backend_server"].asString()] = {vm.vm.str(), report};
    }
    return reports;
}

std::uint64_t highest_position(const std::map<std::string, server_report>& reports,
                               const group_row& group) {
    std::uint64_t highest{0};
    for (const auto& [id, row] : group.backend_servers) {
        if (const auto found = reports.find(id.str()); found != reports.end()) {
            highest = std::max<std::uint64_t>(
                highest, found->second.report["status"]["position"].asUInt64());
        }
    }
    return highest;
}

void print_group(std::ostream& out, const group_id& id, const group_row& group,
                 const std::map<std::string, server_report>& reports) {
    const auto highest = highest_position(reports, group);
    out << "  group " << id << '\n';
    for (const auto& [server, row] : group.backend_servers) {
        out << "    " << server << " in " << row.place.domain << ": ";
        const auto found = reports.find(server.str());
        if (found == reports.end()) {
            out << "no owner answers\n";
            continue;
        }
        const auto& report = found->second.report;
        const auto position = report["status"]["position"].asUInt64();
        out << report["status"]["role"].asString() << ", term " << report["term"].asUInt64()
            << ", position " << position << ", lag " << highest - position << ", owner "
            << found->second.owner << (report["reachable"].asBool() ? "" : ", not reachable")
            << '\n';
    }
}

} // namespace

exit_code commands::status() {
    const auto document = session_.document();
    if (!document) {
        return fail(document.error());
    }
    const auto vms = session_.vms();
    if (!vms) {
        return fail(vms.error());
    }
    out_ << "revision " << document.value().revision << '\n';
    std::map<std::string, server_report> reports;
    for (const auto& vm : vms.value()) {
        const auto status = operator_session::status_of(vm);
        out_ << "vm " << vm.vm << " in " << vm.place.domain << ": "
             << (status ? "revision " + std::to_string(status.value()["revision"].asUInt64())
                        : status.error().detail)
             << '\n';
        if (status) {
            reports.merge(reports_by_server(vm, status.value()));
        }
    }
    for (const auto& [name, route] : document.value().routes) {
        out_ << "route " << name << " to pool " << route.pool << (route.open ? ", open" : "")
             << '\n';
    }
    for (const auto& [name, pool] : document.value().pools) {
        out_ << "pool " << name << '\n';
        for (const auto& [id, group] : pool.groups) {
            print_group(out_, id, group, reports);
        }
    }
    return done;
}

exit_code commands::where(revision at) {
    const auto vms = session_.vms();
    if (!vms) {
        return fail(vms.error());
    }
    std::size_t confirmed{0};
    for (const auto& vm : vms.value()) {
        const auto status = operator_session::status_of(vm);
        const auto vm_revision =
            status ? revision{status.value()["revision"].asUInt64()} : revision{};
        confirmed += vm_revision >= at ? 1 : 0;
        out_ << vm.vm << ": "
             << (!status ? "not confirmed, " + status.error().detail
                 : vm_revision >= at
                     ? "in force"
                     : "not in force, at revision " + std::to_string(vm_revision.value()))
             << '\n';
    }
    out_ << "revision " << at << " in force at " << confirmed << " of " << vms.value().size()
         << " VMs\n";
    const bool everywhere = confirmed > 0 && confirmed == vms.value().size();
    return everywhere ? done : not_everywhere;
}

} // namespace jackdawvane::ctl
