#pragma once

#include "jackdawvane/foundation/id_sequence.hpp"
#include "jackdawvane/sessions/fleet_state.hpp"
#include "jackdawvane/sessions/ports.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace jackdawvane {

/// @brief Intervals of the observation of backend servers.
struct observer_settings {
    /// Between two statuses of a primary or of a group's witness, and between two questions to the
    /// observer. Both together with the round trips stay well below the validity of a proof.
    duration status_interval{std::chrono::milliseconds{250}};
    duration query_interval{std::chrono::milliseconds{200}};
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
};

/// @brief Answer to a control command.
struct control_answer {
    backend_server_id backend;
    command_kind command{command_kind::status};
    std::optional<member_status> status; ///< Absent when the command got no row.
};

/// @brief Keeps this VM's knowledge of backend servers fresh.
///
/// One VM per region asks the backend servers for their status and reads the registry; the others
/// ask that VM. Of each group, the primary and one replica, the witness, are asked often. Who that
/// is follows from rendezvous hashing. A VM that does not answer is passed over, so an observer
/// that dies is replaced before its proofs run out.
class group_observer {
  public:
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
    /// @brief Queries one VM of each other failure domain.
    void ask_other_domains(time_point now, proxy_output& out);

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

    void choose_role(time_point now);
    void read_directory(time_point now, proxy_output& out);
    void watch_members(time_point now, proxy_output& out);
    /// Replica whose statuses prove the primary of @a group.
    [[nodiscard]] backend_server_id witness(const group_id& group) const;
    [[nodiscard]] duration interval_for(time_point now,
                                        const backend_directory::entry& entry) const;
    void watch_member(time_point now, const backend_directory::entry& entry, control& own,
                      proxy_output& out);
    void open(time_point now, const backend_registration& member, control& own, proxy_output& out);
    void drop(time_point now, control& own, proxy_output& out);
    void query_observer(time_point now, proxy_output& out);
    void send_query(time_point now, const vm_id& to, proxy_output& out);
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

    bool always_active_{false};
    bool active_{false};
    std::vector<vm_id> ranked_; ///< VMs of this region as observers, first choice first.
    std::uint64_t ranked_version_{0};
    vm_id observer_; ///< VM of the own region that is asked.
    std::map<vm_id, time_point> silent_since_;
    struct open_query {
        vm_id to;
        time_point at;
    };
    std::map<std::uint64_t, open_query> queries_;
    std::uint64_t query_number_{0};
    time_point next_query_{};
    time_point next_foreign_query_{};

    request_id directory_call_;
    bool directory_pending_{false};
    time_point directory_sent_{};
    time_point directory_at_{};
    time_point due_{};
};

} // namespace jackdawvane
