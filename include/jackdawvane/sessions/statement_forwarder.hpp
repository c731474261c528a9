#pragma once

#include "jackdawvane/routing/region_policy.hpp"
#include "jackdawvane/sessions/backend_chooser.hpp"
#include "jackdawvane/sessions/connection_owner.hpp"
#include "jackdawvane/sessions/server_health.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jackdawvane {

/// @brief Timeouts and averaging of the `statement_forwarder`.
struct forwarder_settings {
    /// Time for which an owner that cannot reach a backend server is not chosen for it.
    duration unreachable_ttl{std::chrono::milliseconds{1000}};
    /// Time for which no new statement is sent after a refusal for lack of capacity.
    duration busy_backoff{std::chrono::milliseconds{20}};
    /// The newest response time has the weight 1 / `latency_divisor` in the moving average.
    int latency_divisor{8};
    /// The average response time is discarded when no answer has come for this long.
    duration latency_ttl{std::chrono::seconds{2}};
    /// A reported load is discarded at this age, when its service time counts for a third.
    duration report_ttl{std::chrono::seconds{10}};
    health_settings health;
};

/// @brief Forwards statements to the VMs that own the connections to backend servers.
///
/// The owner of a backend server follows from rendezvous hashing over the live VMs of its failure
/// domain. An owner that cannot reach the server is skipped, so a server that is unreachable from
/// some VMs is used through the others.
class statement_forwarder {
  public:
    statement_forwarder(fleet_state& state, connection_owner& owner, forwarder_settings settings,
                        id_sequence<connection_id>& ids);

    /// @brief Whether statements may be sent to @a backend now, that is, it is not in backoff.
    [[nodiscard]] bool open(time_point now, const backend_server_id& backend) const;
    /// @brief Creates a lease of a connection to @a backend at a VM that may have the text of the
    /// statements; nothing when none of them can reach it.
    [[nodiscard]] std::optional<connection_id>
    acquire(time_point now, const backend_server_id& backend, const region_policy& regions = {});
    void send(time_point now, forwarded_statement statement, proxy_output& out);
    /// @brief Releases a lease; rolls back an open transaction first.
    void release(time_point now, connection_id lease, bool in_transaction, proxy_output& out);
    /// @brief Releases a lease and closes its connection, as its session state is unknown. The
    /// attempts that were sent with it end without a result.
    void discard(time_point now, connection_id lease, proxy_output& out);

    /// @brief Handles the result of an attempt.
    /// @param from VM that sent it; results count only from the owner of the attempt's connection
    /// @return whether the attempt was in flight at @a from
    bool on_result(time_point now, const vm_id& from, const attempt_result& result);
    /// @brief Fails the attempts and drops the leases of a VM that is unreachable or gone.
    void on_vm_lost(const vm_id& vm);
    [[nodiscard]] std::vector<attempt_result> take_results();

    /// @brief Attempts of this VM that are in flight at @a backend.
    [[nodiscard]] std::uint32_t running(const backend_server_id& backend) const;
    /// @brief Average recent response time of @a backend; nothing when there is none.
    [[nodiscard]] std::optional<duration> latency(time_point now,
                                                  const backend_server_id& backend) const;
    /// @brief Last reported load of @a backend; nothing when there is none.
    [[nodiscard]] std::optional<load_report> report(time_point now,
                                                    const backend_server_id& backend) const;
    /// @brief Age of the newest measurement of @a backend, this VM's own or a report.
    /// 0 while statements of this VM are unanswered there; the maximum without a measurement.
    [[nodiscard]] duration evidence_age(time_point now, const backend_server_id& backend) const;
    /// @brief Health of the servers by the outcomes of this VM's statements.
    [[nodiscard]] server_health& health() noexcept { return health_; }
    /// @brief Whether this VM owns the connections to @a backend as far as it knows.
    [[nodiscard]] bool owns(const backend_server_id& backend) const;

  private:
    struct sent_attempt {
        connection_id lease;
        time_point sent{};
        vm_id owner; ///< VM that it was sent to.
        backend_server_id backend;
    };
    using attempt_table = std::map<attempt_id, sent_attempt>;
    struct held_lease {
        vm_id owner;
        backend_server_id backend;
        bool restricted{false}; ///< The usual owner may not have the text of the statements.
    };
    struct cached_owner {
        location place;
        std::optional<vm_id> owner;
    };
    struct backend_load {
        std::uint32_t running{0};
        duration mean{0};
        time_point measured{time_point::min()};
        time_point busy_until{time_point::min()};
        std::optional<server_load> reported;
        time_point reported_at{time_point::min()};
        std::uint32_t sent_since{0}; ///< Unanswered attempts sent since `reported_at`.
    };

    [[nodiscard]] std::optional<vm_id> owner_for(time_point now, const backend_server_id& backend,
                                                 const region_policy& regions);
    [[nodiscard]] std::optional<vm_id> default_owner(const backend_server_id& backend,
                                                     const backend_directory::entry& entry) const;
    [[nodiscard]] location location_of(const backend_directory::entry& backend) const;
    void send_release(time_point now, const lease_release& release, const vm_id& owner,
                      proxy_output& out);
    void accept_result(time_point now, const attempt_result& result);
    void keep_load(time_point now, const attempt_result& result);
    void note_outcome(time_point now, time_point sent, const attempt_result& result);
    void measure(time_point now, const sent_attempt& answered);
    /// Removes an attempt from the load of its server.
    attempt_table::iterator end_attempt(attempt_table::iterator attempt);

    fleet_state& state_;
    connection_owner& owner_;
    forwarder_settings settings_;
    id_sequence<connection_id>& ids_;
    std::map<connection_id, held_lease> leases_;
    attempt_table attempts_; ///< Those that may still have a result.
    std::map<backend_server_id, backend_load> loads_;
    std::map<std::pair<vm_id, backend_server_id>, time_point> unreachable_;
    std::vector<attempt_result> results_;
    server_health health_;
    mutable std::map<backend_server_id, cached_owner> owners_; ///< Valid for `owners_version_`.
    mutable std::uint64_t owners_version_{0};
};

} // namespace jackdawvane
