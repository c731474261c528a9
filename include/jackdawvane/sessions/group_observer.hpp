#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/ports.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdawvane {

/// @brief Intervals, timeouts and age limits for the observation of backend servers.
struct observer_settings {
    /// Between two status requests to a primary or to a group's proving replica. Together with the
    /// queries to the observer and the round trips it stays well below the validity of a proof.
    duration status_interval{std::chrono::milliseconds{250}};
    /// Between two queries about a group while statements wait for evidence of its leadership.
    duration query_interval{std::chrono::milliseconds{100}};
    /// Between two queries to the reader for changes of the registry.
    duration directory_query_interval{std::chrono::milliseconds{900}};
    /// A VM that receives a query about a group observes it for this long, even if its own view of
    /// the fleet names another observer.
    duration observe_after_query{std::chrono::seconds{3}};
    /// Number of VMs of the region that are tried as observer of a group before a VM observes it
    /// itself.
    std::size_t observer_candidates{6};
    /// Between two status requests to any other replica; each request takes up a slot.
    duration slow_status_interval{std::chrono::milliseconds{1000}};
    /// A backend server that does not answer a command within this time is disconnected. An
    /// observer whose answers contain no status younger than this is passed over after this time.
    duration answer_timeout{std::chrono::milliseconds{400}};
    /// A VM that does not answer a query within this time counts as unresponsive.
    duration query_timeout{std::chrono::milliseconds{150}};
    duration reconnect_delay{std::chrono::milliseconds{100}};
    /// An unresponsive VM is passed over for this long. Also the age limit of the statuses that are
    /// reported to other VMs.
    duration unresponsive_vm_backoff{std::chrono::seconds{3}};
    /// Between two reads of the registry; a leaving server is known well before it stops.
    duration directory_read_interval{std::chrono::milliseconds{900}};
    /// Timeout of a read of the registry, and delay before the next one after an error.
    duration directory_retry_interval{std::chrono::milliseconds{1500}};
    /// With a directory older than this, VMs in other failure domains are queried, too.
    duration directory_stale_after{std::chrono::milliseconds{2000}};
    duration other_domain_query_interval{std::chrono::milliseconds{500}};
    /// A reader whose list is older is passed over. Greater than the sum of the interval between
    /// its reads and the interval between the queries to it.
    duration reader_max_age{std::chrono::milliseconds{2500}};
    /// A reader whose list was old is passed over for this long.
    duration stale_reader_backoff{std::chrono::seconds{2}};
    /// A VM without a reader to query reads the registry itself when its list is older than this.
    duration direct_read_after{std::chrono::milliseconds{3500}};
    /// Between two log lines about a group's proof that differ only in the proving replica, and the
    /// gap between two proofs after which the same one is logged again.
    duration proof_report_interval{std::chrono::milliseconds{1000}};
    /// Between two samples of the metric `registry_age_ms`.
    duration age_report_interval{std::chrono::milliseconds{1000}};
};

/// @brief Answer to a control command.
struct control_answer {
    backend_server_id backend;
    command_kind command{command_kind::status};
    std::optional<server_status> status; ///< Absent when the command returned no row.
};

/// @brief Keeps this VM's information about backend servers up to date.
///
/// For each group, one VM per region, the observer, requests the status of the group's backend
/// servers; the other VMs query the observer when statements need evidence of the leadership. One
/// VM per region, the reader, reads the registry; the other VMs query it for changes. Observers and
/// readers are chosen by rendezvous hashing, so the work of a VM does not grow with the fleet.
/// Status is requested often from the primary and from one replica, the proving replica. A VM that
/// does not answer is passed over, so a failed observer is replaced before its proofs expire. A
/// reader is also passed over when its list is old, because the store rejects its requests or is
/// unreachable from it.
class group_observer {
  public:
    /// @brief Task name under which VMs are ranked as readers of the registry and, with the name of
    /// a group, as its observers.
    static constexpr const char* task = "observer";

    group_observer(fleet_state& state, observer_settings settings,
                   id_sequence<connection_id>& connections, id_sequence<request_id>& requests);

    void tick(time_point now, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const noexcept { return due_; }

    /// @brief Sets whether this VM observes all backend servers itself, as failover coordinator.
    void set_observes_all(bool enabled) noexcept { observes_all_ = enabled; }

    /// @brief Sends a control command on the control connection of @a backend.
    /// @return whether a connection is open
    bool command(time_point now, const backend_server_id& backend, backend_command command,
                 proxy_output& out);
    /// @brief Queries one VM of each other failure domain and the first observers of each region
    /// about @a groups and the registry.
    void query_other_domains(time_point now, const std::vector<group_id>& groups,
                             proxy_output& out);
    /// @brief Asks the VMs of `query_other_domains` to hold @a servers of @a group for @a held_term
    /// where they reach them, and to report their status.
    void request_holds(time_point now, const group_id& group,
                       const std::vector<backend_server_id>& servers, term held_term,
                       proxy_output& out);
    /// @brief Queries the observers of the groups whose evidence statements wait for.
    void query_awaited_groups(time_point now, proxy_output& out);

    /// @return whether the connection is one of the control connections
    bool on_ready(time_point now, const server_connected& ready, proxy_output& out);
    bool on_closed(time_point now, const server_disconnected& closed, proxy_output& out);
    bool on_reply(time_point now, const server_replied& replied, proxy_output& out);
    bool on_store(time_point now, const store_answer& answer, proxy_output& out);
    void on_query(time_point now, const vm_id& from, const observation_query& query,
                  proxy_output& out);
    void on_answer(time_point now, const vm_id& from, const observation_reply& reply,
                   proxy_output& out);

    /// @brief Removes and returns the answers to control commands, in the order of arrival.
    [[nodiscard]] std::vector<control_answer> take_answers();
    /// @brief Send time of the latest command that any backend server has answered.
    [[nodiscard]] time_point heard() const noexcept { return heard_; }
    /// @brief Start of the last connection attempt to @a backend that was refused.
    [[nodiscard]] time_point refused_at(const backend_server_id& backend) const;

    /// @brief Status of @a backend that another VM has reported last.
    struct report {
        time_point requested_at{};
        server_status status;
    };
    /// @return null when there is none
    [[nodiscard]] const report* reported(const backend_server_id& backend) const;

    /// @brief As `refused_at`, for connection attempts that other VMs reported.
    [[nodiscard]] time_point refused_by_others_at(const backend_server_id& backend) const;

    /// @brief Closes the control connections.
    void leave(proxy_output& out);

  private:
    struct sent_command {
        command_kind kind;
        time_point at;
    };
    struct control_connection {
        connection_id connection;
        bool open{false};
        time_point opened_at{};
        time_point ended_at{time_point::min()}; ///< End of the last open connection.
        time_point first_sent_at{no_deadline};  ///< Of the first command on this connection.
        std::deque<sent_command> sent;
        time_point next_status{};
        time_point retry_at{};
        time_point refused_at{time_point::min()};
    };
    struct observation {
        time_point requested_at{};
        std::optional<server_status> status;
    };

    void choose_roles(time_point now);
    void choose_reader(time_point now);
    /// Whether this VM's list of the registry is older than @a limit.
    [[nodiscard]] bool list_older_than(time_point now, duration limit) const;
    /// First responsive VM of @a ranked; empty when this VM comes first or none is responsive.
    [[nodiscard]] vm_id first_responsive(time_point now, const std::vector<vm_id>& ranked) const;
    [[nodiscard]] const std::vector<vm_id>& candidates_for(const std::string& subject);
    [[nodiscard]] vm_id observer_of(time_point now, const group_id& group);
    void read_directory(time_point now, proxy_output& out);
    /// Applies a list of the registry that was received from @a source.
    void apply_list(time_point now, time_point read_at, std::uint64_t version,
                    const std::vector<backend_registration>& list, const std::string& source,
                    proxy_output& out);
    /// Applies a list of evacuated domains that was received from @a source, and logs its changes.
    void apply_evacuations(time_point now, time_point read_at, const evacuated_domains& list,
                           const std::string& source, proxy_output& out);
    /// Reports the number of evacuated domains and the age of their list as metrics.
    void report_evacuations(time_point now, proxy_output& out) const;
    /// Logs a read of the registry that failed or got no answer.
    void report_failed_read(time_point now, proxy_output& out) const;
    /// Reports the age of the list as a metric, and logs when it becomes old or current again.
    void report_age(time_point now, proxy_output& out);
    /// Logs and counts for each group what confirms its primary, when it has changed or is new.
    void report_proofs(time_point now, proxy_output& out);
    /// Logs and counts the refusal of the last connection attempt to @a backend.
    void report_refusal(time_point now, const backend_server_id& backend,
                        const control_connection& own, proxy_output& out);
    void poll_servers(time_point now, proxy_output& out);
    /// Replica whose statuses prove that the primary of @a group has not been replaced.
    [[nodiscard]] backend_server_id proving_replica(const group_id& group) const;
    [[nodiscard]] duration status_interval_for(time_point now,
                                               const backend_directory::entry& entry) const;
    void poll_server(time_point now, const backend_directory::entry& entry, control_connection& own,
                     proxy_output& out);
    void open(time_point now, const backend_registration& server, control_connection& own,
              proxy_output& out);
    void disconnect(time_point now, control_connection& own, proxy_output& out);
    /// Drops evidence that an answer of @a own on which another one has followed may have given.
    void withdraw_evidence(time_point now, const backend_server_id& backend,
                           const control_connection& own);
    void expire_queries(time_point now, proxy_output& out);
    void query_directory(time_point now, proxy_output& out);
    void send_query(time_point now, const vm_id& to, std::vector<group_id> groups,
                    bool second_opinion, proxy_output& out);
    void send_query(time_point now, const vm_id& to, observation_query query, bool second_opinion,
                    proxy_output& out);
    /// VMs that are queried for a second opinion on @a groups.
    [[nodiscard]] std::set<vm_id> other_domains(const std::vector<group_id>& groups) const;
    void check_observer_answer(time_point now, const vm_id& from, const observation_reply& reply,
                               const std::vector<group_id>& groups);
    void check_reader_answer(time_point now, const vm_id& from, const observation_reply& reply,
                             proxy_output& out);
    void apply_directory(time_point now, time_point requested_at, const vm_id& from,
                         const observation_reply& reply, proxy_output& out);
    void apply_observation(time_point now, time_point requested_at, const member_observation& each);
    [[nodiscard]] bool is_unresponsive(time_point now, const vm_id& vm) const;

    fleet_state& state_;
    observer_settings settings_;
    id_sequence<connection_id>& connection_ids_;
    id_sequence<request_id>& request_ids_;
    std::map<backend_server_id, control_connection> controls_;
    std::map<connection_id, backend_server_id> by_connection_;
    std::map<backend_server_id, observation> observations_;
    std::map<backend_server_id, time_point> refused_by_others_at_;
    std::map<backend_server_id, report> reports_;
    std::vector<control_answer> answers_;
    time_point heard_{};

    bool observes_all_{false};
    std::set<group_id> observed_; ///< Groups whose backend servers this VM polls.
    /// VMs of this region by task, in order of preference, as of fleet version
    /// `candidates_version_`.
    std::map<std::string, std::vector<vm_id>> candidates_;
    std::uint64_t candidates_version_{0};
    vm_id reader_;          ///< VM of this region that is queried for the registry, if any.
    bool is_reader_{false}; ///< Whether this VM reads the registry for its region.
    std::map<vm_id, time_point> stale_readers_; ///< Time of the last answer with an old list.
    std::map<vm_id, time_point> unresponsive_at_;
    std::map<vm_id, time_point> uninformed_since_; ///< VMs that answer without a recent status.
    std::map<group_id, time_point> observe_until_;
    std::map<group_id, time_point> next_group_query_;
    struct open_query {
        vm_id to;
        time_point at;
        std::vector<group_id> groups;
        bool second_opinion{false}; ///< Sent to a VM that need not be an observer.
    };
    std::map<std::uint64_t, open_query> queries_;
    std::uint64_t query_number_{0};
    time_point next_directory_query_{};
    time_point next_other_domain_query_{};

    request_id directory_request_;
    bool directory_pending_{false};
    time_point directory_requested_at_{};
    time_point next_directory_read_{};
    bool reported_stale_{false}; ///< As last logged.
    time_point next_age_report_{};
    struct reported_proof {
        primary_proof proof;
        time_point at{};
        proof_kind kind{proof_kind::none};
        time_point confirmed_at{time_point::min()};
    };
    std::map<group_id, reported_proof> reported_proofs_;
    time_point due_{};
};

} // namespace jackdawvane
