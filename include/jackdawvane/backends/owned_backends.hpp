#pragma once

#include "jackdawvane/backends/backend_owner.hpp"
#include "jackdawvane/configuration/configuration.hpp"
#include "jackdawvane/failover/group_monitor.hpp"
#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/ports.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace jackdawvane {

/// @brief Settings of the backend servers that a VM owns.
struct owned_backends_settings {
    vm_id self;
    vm_incarnation incarnation;
    location place;
    group_monitor_settings monitor;
    backend_owner_settings owner;
};

/// @brief Runs the backend servers that this VM owns, and knows the owners of the others.
class owned_backends {
  public:
    owned_backends(owned_backends_settings settings, random_engine& random, node_id_sequences ids);

    /// @brief Takes over, keeps or releases backend servers after a change of the
    /// configuration or of the fleet.
    /// @complexity O(backend servers x live VMs)
    void reconcile(time_point now, const configuration_document& document,
                   std::span<const vm_entry> live, actions& out);

    /// @brief Owner of @a backend, or null when it is unknown or no VM is live.
    [[nodiscard]] const vm_entry* owner(const backend_server_id& backend) const;

    /// @brief Runs a request here; a backend server that is not owned gives `wrong_owner`.
    void submit(time_point now, owner_request request, actions& out);

    void on_connected(time_point now, connection_id connection, actions& out);
    void on_disconnected(time_point now, connection_id connection, const std::string& reason,
                         actions& out);
    void on_answer(time_point now, connection_id connection, const backend_answer& answer,
                   actions& out);
    void on_report(time_point now, const group_report& report, actions& out);

    /// @brief Discards all confirmations, because this VM was paused.
    void paused(time_point now, actions& out);
    /// @brief Releases all backend servers; requests and transactions in progress finish.
    void retire_all(time_point now, actions& out);
    /// @brief Whether no work is in progress.
    [[nodiscard]] bool idle() const;

    void tick(time_point now, actions& out);
    [[nodiscard]] time_point next_deadline() const;

    /// @brief Replies made since the last call.
    [[nodiscard]] std::vector<owner_reply> take_replies();

    /// @brief What this VM knows about a group, if it owns a backend server of it.
    [[nodiscard]] std::optional<group_summary> summary(time_point now, const group_id& group) const;

    /// @brief Groups whose primary this VM owns.
    [[nodiscard]] std::vector<group_summary> own_primaries(time_point now) const;

    [[nodiscard]] Json::Value describe(time_point now) const;

  private:
    struct owned {
        group_id group;
        std::unique_ptr<group_monitor> monitor;
        std::unique_ptr<backend_owner> requests;
    };

    void assign_owners(const configuration_document& document, std::span<const vm_entry> live);
    void take_over(time_point now, const backend_server_id& backend, const group_id& group,
                   const group_row& row, actions& out);
    void configure(const backend_server_id& backend, owned& which, const group_row& row) const;
    void release_ownership(time_point now, const backend_server_id& backend, actions& out);
    void erase_idle_retired(actions& out);
    void collect_replies();
    /// Calls @a accepts for each backend server, owned or released, until one accepts.
    template <class Function>
    bool visit_until_accepted(Function accepts);

    owned_backends_settings settings_;
    random_engine& random_;
    node_id_sequences ids_;
    std::map<backend_server_id, vm_entry> owners_;
    std::map<backend_server_id, owned> owned_;
    std::vector<owned> retired_; ///< Released, with work still in progress.
    std::vector<owner_reply> replies_;
};

} // namespace jackdawvane
