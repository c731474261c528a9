#pragma once

#include "jackdawvane/sessions/member_owner.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Times of the gateway.
struct gateway_settings {
    /// An owner that cannot reach a backend server is passed over for it for this long.
    duration unreachable_memory{std::chrono::milliseconds{1000}};
    /// After a refusal for lack of capacity nothing more is sent for this long.
    duration busy_pause{std::chrono::milliseconds{20}};
    /// Weight of the newest answer in the mean answer time, as a divisor.
    int latency_divisor{8};
    /// After this without an answer the mean answer time is forgotten.
    duration latency_memory{std::chrono::seconds{2}};
};

/// @brief Takes statements to the VMs that own the connections to backend servers.
///
/// The owner of a backend server follows from rendezvous hashing over the live VMs of its failure
/// domain. An owner that cannot reach the server is passed over, so a server that is cut from
/// some VMs is used through the others.
class member_gateway {
  public:
    member_gateway(fleet_state& state, member_owner& owner, gateway_settings settings,
                   id_sequence<connection_id>& ids);

    /// @brief Whether statements for @a backend should be sent now.
    [[nodiscard]] bool open(time_point now, const backend_server_id& backend) const;
    /// @brief A new lease of a connection to @a backend; nothing when no VM can reach it.
    [[nodiscard]] std::optional<connection_id> acquire(time_point now,
                                                       const backend_server_id& backend);
    void send(time_point now, member_statement statement, proxy_output& out);
    /// @brief Gives a lease back; rolls an open transaction back first.
    void release(time_point now, connection_id lease, bool in_transaction, proxy_output& out);
    /// @brief Gives a lease back whose session is in doubt.
    void discard(time_point now, connection_id lease, proxy_output& out);

    void on_result(time_point now, const attempt_result& result);
    /// @brief The channel to a VM failed or the VM is gone.
    void on_vm_lost(const vm_id& vm);
    [[nodiscard]] std::vector<attempt_result> take_results();

    /// @brief Attempts of this VM in hand at @a backend.
    [[nodiscard]] std::uint32_t running(const backend_server_id& backend) const;
    /// @brief Mean time of recent answers of @a backend; nothing when there are none.
    [[nodiscard]] std::optional<duration> latency(time_point now,
                                                  const backend_server_id& backend) const;
    /// @brief Whether this VM owns the connections to @a backend, as far as it knows.
    [[nodiscard]] bool owns(const backend_server_id& backend) const;

  private:
    struct sent_attempt {
        connection_id lease;
        time_point sent{};
    };
    struct held_lease {
        vm_id owner;
        backend_server_id backend;
    };
    struct known_owner {
        location place;
        std::optional<vm_id> owner;
    };
    struct load {
        std::uint32_t running{0};
        duration mean{0};
        time_point measured{time_point::min()};
        time_point busy_until{time_point::min()};
    };

    [[nodiscard]] std::optional<vm_id> owner_for(time_point now, const backend_server_id& backend);
    [[nodiscard]] std::optional<vm_id> usual_owner(const backend_server_id& backend,
                                                   const backend_directory::entry& entry) const;
    [[nodiscard]] location place_of(const backend_directory::entry& backend) const;
    void give_back(time_point now, const lease_release& release, const vm_id& owner,
                   proxy_output& out);
    void end_attempt(time_point now, const attempt_result& result, bool measure);

    fleet_state& state_;
    member_owner& owner_;
    gateway_settings settings_;
    id_sequence<connection_id>& ids_;
    std::map<connection_id, held_lease> leases_;
    std::map<attempt_id, sent_attempt> attempts_;
    std::map<backend_server_id, load> loads_;
    std::map<std::pair<vm_id, backend_server_id>, time_point> unreachable_;
    std::vector<attempt_result> results_;
    mutable std::map<backend_server_id, known_owner> owners_; ///< Cache for `owners_version_`.
    mutable std::uint64_t owners_version_{0};
};

} // namespace jackdawvane
