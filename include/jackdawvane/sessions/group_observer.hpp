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

/// @brief Intervals of the observation of backend servers.
struct observer_settings {
    /// Between two statuses of a primary or of a group's witness. With the questions to the
    /// observer and the round trips it stays well below the validity of a proof.
    duration status_interval{std::chrono::milliseconds{250}};
    /// Between two questions about a group while statements wait for its evidence.
    duration query_interval{std::chrono::milliseconds{100}};
    /// Between two questions for changes of the registry.
    duration directory_query_interval{std::chrono::milliseconds{900}};
    /// A VM that is asked about a group observes it for this long, also if its own view of the
    /// fleet names another observer.
    duration asked_memory{std::chrono::seconds{3}};
    /// VMs of the region that are tried as observer of a group before a VM observes it itself.
    std::size_t observer_candidates{6};
    /// Between two statuses of a replica that is not the witness; each one takes a slot.
    duration slow_status_interval{std::chrono::milliseconds{1000}};
    /// A backend server or observer that does not answer for this long counts as silent.
    duration answer_limit{std::chrono::milliseconds{400}};
    duration query_limit{std::chrono::milliseconds{150}};
    duration reconnect_delay{std::chrono::milliseconds{100}};
    duration silent_observer_memory{std::chrono::seconds{3}};
    /// Between two readings of the registry; a leaving server is known well before it goes.
    duration directory_interval{std::chrono::milliseconds{900}};
    duration directory_retry{std::chrono::milliseconds{1500}};
    /// Directory older than this is asked of VMs in other failure domains.
    duration directory_stale{std::chrono::milliseconds{2000}};
    duration foreign_query_interval{std::chrono::milliseconds{500}};
    /// A reader whose list is older is passed over. Above the time between its readings and that
    /// between the questions to it together.
    duration reader_limit{std::chrono::milliseconds{2500}};
    duration old_reader_memory{std::chrono::seconds{2}};
    /// A VM that gets no list of this age from any reader reads the registry itself.
    duration unaided_limit{std::chrono::milliseconds{3500}};
    /// Between two values of the metric of the directory's age.
    duration age_report_interval{std::chrono::milliseconds{1000}};
};

/// @brief Answer to a control command.
struct control_answer {
    backend_server_id backend;
    command_kind command{command_kind::status};
    std::optional<member_status> status; ///< Absent when the command got no row.
};

/// @brief Keeps this VM's knowledge of backend servers fresh.
///
/// Of each group, one VM per region asks the members for their status; the others ask that VM when
/// statements need to know. One VM per region reads the registry; the others ask it for changes.
/// Who that is follows from rendezvous hashing, so the work of a VM does not grow with the fleet.
/// The primary and one replica, the witness, are asked often. A VM that does not answer is passed
/// over, so an observer that dies is replaced before its proofs run out. So is a reader whose list
/// is old, because the store turns it away or is out of its reach.
class group_observer {
  public:
    /// @brief Task name under which VMs are ranked as readers of the registry and, with the name of
    /// a group, as its observers.
    static constexpr const char* task = "observer";

    group_observer(fleet_state& state, observer_settings settings,
                   id_sequence<connection_id>& connections, id_sequence<request_id>& requests);

    void tick(time_point now, proxy_output& out);
    [[nodiscard]] time_point next_deadline() const noexcept { return due_; }

    /// @brief Whether this VM has to watch all backend servers itself, as duty holder.
    void set_always_active(bool active) noexcept { always_active_ = active; }

    /// @brief Sends a control command on the control connection of @a backend.
    /// @return whether a connection is open
    bool command(time_point now, const backend_server_id& backend, backend_command command,
                 proxy_output& out);
    /// @brief Queries one VM of each other failure domain about @a groups and the registry.
    void ask_other_domains(time_point now, const std::vector<group_id>& groups, proxy_output& out);
    /// @brief Asks for the evidence that statements wait for.
    void query_awaited(time_point now, proxy_output& out);

    /// @return whether the connection belongs to this part
    bool on_ready(time_point now, const member_ready& ready, proxy_output& out);
    bool on_closed(time_point now, const member_closed& closed, proxy_output& out);
    bool on_reply(time_point now, const member_replied& replied, proxy_output& out);
    bool on_store(time_point now, const store_answer& answer, proxy_output& out);
    void on_query(time_point now, const vm_id& from, const observation_query& query,
                  proxy_output& out);
    void on_answer(time_point now, const vm_id& from, const observation_reply& reply,
                   proxy_output& out);

    /// @brief Answers to control commands, in their order.
    [[nodiscard]] std::vector<control_answer> take_answers();
    /// @brief When the newest question that any backend server has answered was sent.
    [[nodiscard]] time_point heard() const noexcept { return heard_; }
    /// @brief When a try to reach @a backend last failed for lack of a listener.
    [[nodiscard]] time_point refused_at(const backend_server_id& backend) const;

    /// @brief When another VM's try to reach @a backend last failed for lack of a listener.
    [[nodiscard]] time_point refused_elsewhere(const backend_server_id& backend) const;

    /// @brief Closes the control connections.
    void leave(proxy_output& out);

  private:
    struct sent_command {
        command_kind kind;
        time_point at;
    };
    struct control {
        connection_id connection;
        bool open{false};
        time_point opened_at{};
        std::deque<sent_command> sent;
        time_point next_status{};
        time_point retry_at{};
        time_point refused_at{time_point::min()};
    };
    struct observation {
        time_point asked{};
        std::optional<member_status> status;
    };

    void choose_roles(time_point now);
    void choose_reader(time_point now);
    /// Whether this VM's list of the registry is older than @a limit.
    [[nodiscard]] bool list_older_than(time_point now, duration limit) const;
    /// First VM of @a ranked that is not silent; empty when this VM comes first or all are silent.
    [[nodiscard]] vm_id first_answering(time_point now, const std::vector<vm_id>& ranked) const;
    [[nodiscard]] const std::vector<vm_id>& ranked_for(const std::string& subject);
    [[nodiscard]] vm_id observer_of(time_point now, const group_id& group);
    void read_directory(time_point now, proxy_output& out);
    /// Takes over a list of the registry that came from @a source.
    void take_list(time_point now, time_point read_at, std::uint64_t version,
                   const std::vector<backend_registration>& list, const std::string& source,
                   proxy_output& out);
    /// Reports a reading of the registry that failed or got no answer.
    void report_unread(time_point now, proxy_output& out) const;
    /// Reports when the list becomes old and when it is current again.
    void report_age(time_point now, proxy_output& out);
    void watch_members(time_point now, proxy_output& out);
    /// Replica whose statuses prove the primary of @a group.
    [[nodiscard]] backend_server_id witness(const group_id& group) const;
    [[nodiscard]] duration interval_for(time_point now,
                                        const backend_directory::entry& entry) const;
    void watch_member(time_point now, const backend_directory::entry& entry, control& own,
                      proxy_output& out);
    void open(time_point now, const backend_registration& member, control& own, proxy_output& out);
    void drop(time_point now, control& own, proxy_output& out);
    void expire_queries(time_point now, proxy_output& out);
    void query_directory(time_point now, proxy_output& out);
    void send_query(time_point now, const vm_id& to, std::vector<group_id> groups,
                    bool second_opinion, proxy_output& out);
    void judge_answer(time_point now, const vm_id& from, const observation_reply& reply,
                      const std::vector<group_id>& groups);
    void judge_reader(time_point now, const vm_id& from, const observation_reply& reply,
                      proxy_output& out);
    void take_directory(time_point now, time_point asked, const vm_id& from,
                        const observation_reply& reply, proxy_output& out);
    void take_observation(time_point now, time_point asked, const member_observation& each);
    [[nodiscard]] bool silent(time_point now, const vm_id& vm) const;

    fleet_state& state_;
    observer_settings settings_;
    id_sequence<connection_id>& connection_ids_;
    id_sequence<request_id>& request_ids_;
    std::map<backend_server_id, control> controls_;
    std::map<connection_id, backend_server_id> by_connection_;
    std::map<backend_server_id, observation> observations_;
    std::map<backend_server_id, time_point> refused_elsewhere_;
    std::vector<control_answer> answers_;
    time_point heard_{};

    bool always_active_{false};
    std::set<group_id> observed_; ///< Groups whose members this VM asks.
    /// VMs of this region by task, first choice first, for `ranked_version_`.
    std::map<std::string, std::vector<vm_id>> ranked_;
    std::uint64_t ranked_version_{0};
    vm_id reader_;      ///< VM of the own region that is asked for the registry, if any.
    bool reads_{false}; ///< Whether it is this VM's turn to read the registry.
    std::map<vm_id, time_point> old_readers_; ///< When a VM last answered with an old list.
    std::map<vm_id, time_point> silent_since_;
    std::map<vm_id, time_point> ignorant_since_; ///< Answers, but knows nothing recent.
    std::map<group_id, time_point> asked_until_;
    std::map<group_id, time_point> next_group_query_;
    struct open_query {
        vm_id to;
        time_point at;
        std::vector<group_id> groups;
        bool second_opinion{false}; ///< To a VM that need not be an observer.
    };
    std::map<std::uint64_t, open_query> queries_;
    std::uint64_t query_number_{0};
    time_point next_directory_query_{};
    time_point next_foreign_query_{};

    request_id directory_call_;
    bool directory_pending_{false};
    time_point directory_sent_{};
    time_point directory_at_{};
    bool directory_old_{false}; ///< As last reported.
    time_point next_age_report_{};
    time_point due_{};
};

} // namespace jackdawvane
