#pragma once

#include "jackdawvane/configuration/configuration_difference.hpp"
#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/limits/share_record.hpp"
#include "jackdawvane/node/backend.hpp"
#include "jackdawvane/node/caller.hpp"
#include "jackdawvane/node/store.hpp"
#include "jackdawvane/sessions/messages.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief One-way messages between VMs. Receivers tolerate lost and duplicated messages.

namespace jackdawvane {

/// @brief Position in the log of a database group up to which a session has seen commits.
struct session_position {
    group_id group;
    jackdawvane::term term; ///< Term of the log entry at `position`.
    log_position position;

    static constexpr auto fields() {
        return std::tuple{field("group", &session_position::group),
                          field("term", &session_position::term),
                          field("position", &session_position::position)};
    }
    friend bool operator==(const session_position&, const session_position&) = default;
};

/// @brief Last state of a backend server as known to its owner VM.
struct backend_report {
    backend_server_id backend;
    bool reachable{false};
    backend_status status;
    duration age{0}; ///< Time from before the status request until the report was sent.

    static constexpr auto fields() {
        return std::tuple{field("backend", &backend_report::backend),
                          field("reachable", &backend_report::reachable),
                          field("status", &backend_report::status),
                          field("age_us", &backend_report::age)};
    }
};

/// @brief Sent by an owner VM to the owners of the group's other backend servers.
struct group_report {
    static constexpr const char* method = "group.report";
    group_id group;
    backend_report report;
    jackdawvane::term known_term; ///< Highest term with a known primary.
    backend_server_id primary;    ///< Primary of that term.
    log_position wanted;          ///< A write at the sender waits for this position.
    backend_server_id receiver;   ///< Backend server whose owner receives this copy.
    duration sent_at{0};          ///< Sender's clock; the receiver echoes it unchanged.
    duration echo_sent_at{0};     ///< `sent_at` of the receiver's last report; 0 for none.
    duration echo_age{0};         ///< Time from the arrival of that report until this was sent.

    static constexpr auto fields() {
        return std::tuple{field("group", &group_report::group),
                          field("report", &group_report::report),
                          field("known_term", &group_report::known_term),
                          field("primary", &group_report::primary),
                          field("wanted", &group_report::wanted),
                          field("receiver", &group_report::receiver),
                          field("sent_at_us", &group_report::sent_at),
                          field("echo_sent_at_us", &group_report::echo_sent_at),
                          field("echo_age_us", &group_report::echo_age)};
    }
};

/// @brief Sent by the entry VM to an owner VM: run a request on one backend server.
struct forward_request {
    static constexpr const char* method = "request.forward";
    request_id id; ///< Unique at the sending VM incarnation.
    request_kind kind{request_kind::single};
    organisation_id organisation; ///< Already authenticated; empty on open routes.
    std::uint32_t weight{1};      ///< Weight of the organisation in the fair queue.
    route_name route;
    group_id group;
    backend_server_id backend;
    transaction_id transaction;
    request_name name;
    std::string fingerprint;
    access_mode mode{access_mode::read};
    Json::Value statements{Json::arrayValue};
    std::vector<session_position> session; ///< Log positions that the answer must include.
    std::optional<duration> max_staleness;
    duration remaining{0}; ///< Time from sending until the deadline.
    fencing_mode fencing{fencing_mode::majority};

    static constexpr auto fields() {
        return std::tuple{field("id", &forward_request::id),
                          field("kind", &forward_request::kind),
                          field("organisation", &forward_request::organisation),
                          field("weight", &forward_request::weight),
                          field("route", &forward_request::route),
                          field("group", &forward_request::group),
                          field("backend", &forward_request::backend),
                          field("transaction", &forward_request::transaction),
                          field("name", &forward_request::name),
                          field("fingerprint", &forward_request::fingerprint),
                          field("mode", &forward_request::mode),
                          field("statements", &forward_request::statements),
                          field("session", &forward_request::session),
                          field("max_staleness_us", &forward_request::max_staleness),
                          field("remaining_us", &forward_request::remaining),
                          field("fencing", &forward_request::fencing)};
    }
};

/// @brief State of a group as known to a VM; returned with each reply to a forwarded request, and
/// sent to all VMs by the owner of a new primary.
struct group_summary {
    static constexpr const char* method = "group.summary";
    group_id group;
    jackdawvane::term term;
    backend_server_id primary; ///< Empty while none is known.
    bool confirmed{false};     ///< A majority confirmed the term within the last second.

    static constexpr auto fields() {
        return std::tuple{field("group", &group_summary::group),
                          field("term", &group_summary::term),
                          field("primary", &group_summary::primary),
                          field("confirmed", &group_summary::confirmed)};
    }
};

/// @brief Sent by an owner VM to the entry VM: result of a forwarded request.
struct forward_reply {
    static constexpr const char* method = "request.reply";
    request_id id;
    outcome result{outcome::not_run};
    error problem{error_kind::none, {}, {}};
    Json::Value results{Json::arrayValue};
    std::optional<session_position> seen; ///< Log position that the answer reflects.
    transaction_id transaction;
    backend_server_id backend;
    bool from_replica{false};
    bool repeated{false};
    group_summary summary;

    static constexpr auto fields() {
        return std::tuple{field("id", &forward_reply::id),
                          field("result", &forward_reply::result),
                          field("problem", &forward_reply::problem),
                          field("results", &forward_reply::results),
                          field("seen", &forward_reply::seen),
                          field("transaction", &forward_reply::transaction),
                          field("backend", &forward_reply::backend),
                          field("from_replica", &forward_reply::from_replica),
                          field("repeated", &forward_reply::repeated),
                          field("summary", &forward_reply::summary)};
    }
};

/// @brief Health of a VM as disseminated by the membership protocol.
enum class member_health { alive, suspect, dead, left };

template <>
struct enum_names<member_health> {
    static constexpr std::array<std::pair<member_health, const char*>, 4> table{
        {{member_health::alive, "alive"},
         {member_health::suspect, "suspect"},
         {member_health::dead, "dead"},
         {member_health::left, "left"}}};
};

/// @brief Membership update of one VM.
struct member_update {
    vm_entry entry;
    vm_incarnation incarnation;  ///< Incarnation of the VM's process.
    std::uint64_t refutation{0}; ///< Incremented by a VM to refute a suspicion.
    member_health health{member_health::alive};
    std::uint64_t list_version{0}; ///< Version of the VM list behind `listed`; 0 for none.
    bool listed{false};            ///< On the platform's VM list, with the state of `entry`.

    static constexpr auto fields() {
        return std::tuple{field("entry", &member_update::entry),
                          field("incarnation", &member_update::incarnation),
                          field("refutation", &member_update::refutation),
                          field("health", &member_update::health),
                          field("list_version", &member_update::list_version),
                          field("listed", &member_update::listed)};
    }
};

/// @brief Kinds of membership probe message.
enum class probe_kind { ping, ping_request, ack };

template <>
struct enum_names<probe_kind> {
    static constexpr std::array<std::pair<probe_kind, const char*>, 3> table{
        {{probe_kind::ping, "ping"},
         {probe_kind::ping_request, "ping_request"},
         {probe_kind::ack, "ack"}}};
};

/// @brief Membership probe; sent as a datagram.
struct membership_probe {
    static constexpr const char* method = "membership.probe";
    probe_kind kind{probe_kind::ping};
    std::uint64_t sequence{0};
    vm_id target;                      ///< Probed VM; for a `ping_request`, not the receiver.
    jackdawvane::revision revision;    ///< Configuration revision of the sender.
    std::optional<duration> store_age; ///< Time since the store was last known to answer.
    std::vector<member_update> updates;

    static constexpr auto fields() {
        return std::tuple{field("kind", &membership_probe::kind),
                          field("sequence", &membership_probe::sequence),
                          field("target", &membership_probe::target),
                          field("revision", &membership_probe::revision),
                          field("store_age_us", &membership_probe::store_age),
                          field("updates", &membership_probe::updates)};
    }
};

/// @brief Announces a configuration revision that the sender has.
struct configuration_announce {
    static constexpr const char* method = "configuration.announce";
    jackdawvane::revision revision;

    static constexpr auto fields() {
        return std::tuple{field("revision", &configuration_announce::revision)};
    }
};

/// @brief Requests the rows that changed since the content that the sender has.
struct configuration_request {
    static constexpr const char* method = "configuration.request";
    jackdawvane::revision after; ///< Revision that the sender has; 0 requests all rows.
    content_digest digest;       ///< Of the rows that the sender has.
    /// Revision whose text is requested from `offset` on; 0: the newest, from the start.
    jackdawvane::revision revision;
    std::uint32_t offset{0}; ///< Bytes of the text that the sender has.

    static constexpr auto fields() {
        return std::tuple{field("after", &configuration_request::after),
                          field("digest", &configuration_request::digest),
                          field("revision", &configuration_request::revision),
                          field("offset", &configuration_request::offset)};
    }
};

/// @brief A slice of the packed text of changed rows; the receiver requests the next one, so that
/// no other message waits behind more than one slice.
struct configuration_part {
    static constexpr const char* method = "configuration.part";
    jackdawvane::revision after;    ///< Revision whose rows the text changes; 0: it has all rows.
    jackdawvane::revision revision; ///< Revision with the changes; 0 when there are none.
    content_digest digest;          ///< Of the rows of that revision.
    std::uint32_t offset{0};        ///< Bytes of the text before this slice.
    std::uint32_t total{0};         ///< Bytes of the entire text.
    std::string text;
    bool busy{false}; ///< The sender serves enough others; ask another VM.

    static constexpr auto fields() {
        return std::tuple{field("after", &configuration_part::after),
                          field("revision", &configuration_part::revision),
                          field("digest", &configuration_part::digest),
                          field("offset", &configuration_part::offset),
                          field("total", &configuration_part::total),
                          field("text", &configuration_part::text),
                          field("busy", &configuration_part::busy)};
    }
};

/// @brief Requests the entire document; sent to VMs that do not know `configuration_request`.
struct configuration_pull {
    static constexpr const char* method = "configuration.pull";
    jackdawvane::revision after;

    static constexpr auto fields() {
        return std::tuple{field("after", &configuration_pull::after)};
    }
};

/// @brief Answers `configuration_pull`; without a document when it would not be newer.
struct configuration_difference {
    static constexpr const char* method = "configuration.difference";
    std::vector<configuration_edit> edits; ///< Empty; VMs of an earlier version expect the list.
    std::optional<configuration_document> document;

    static constexpr auto fields() {
        return std::tuple{field("edits", &configuration_difference::edits),
                          field("document", &configuration_difference::document)};
    }
};

/// @brief Requests tokens from a share holder.
struct token_request {
    static constexpr const char* method = "tokens.request";
    request_id id;
    organisation_id organisation;
    double amount{0};      ///< Tokens requested.
    double waiting{0};     ///< Tokens needed by requests that wait already.
    duration valid_for{0}; ///< Time after the request, or its queueing, for a grant to arrive.
    std::uint32_t priority{default_priority}; ///< Class of the waiting requests; 0 is the highest.
    /// Time after arrival for which the request may queue; absent from VMs that do not queue.
    std::optional<duration> queue_for{};

    static constexpr auto fields() {
        return std::tuple{field("id", &token_request::id),
                          field("organisation", &token_request::organisation),
                          field("amount", &token_request::amount),
                          field("waiting", &token_request::waiting),
                          field("valid_for_us", &token_request::valid_for),
                          field("priority", &token_request::priority),
                          field("queue_for_us", &token_request::queue_for)};
    }
};

/// @brief Grants tokens, which the sender has subtracted from its own bucket.
struct token_grant {
    static constexpr const char* method = "tokens.grant";
    request_id id;
    organisation_id organisation;
    double amount{0};
    double left{0};     ///< Tokens remaining at the donor; a hint for the next request.
    duration queued{0}; ///< Time that the request waited at the donor.
    duration wait{0};   ///< Expected wait of another request of the same class at the donor.
    std::optional<duration> retry_after{}; ///< For a queueing request that is refused.

    static constexpr auto fields() {
        return std::tuple{field("id", &token_grant::id),
                          field("organisation", &token_grant::organisation),
                          field("amount", &token_grant::amount),
                          field("left", &token_grant::left),
                          field("queued_us", &token_grant::queued),
                          field("wait_us", &token_grant::wait),
                          field("retry_after_us", &token_grant::retry_after)};
    }
};

/// @brief Acknowledges a grant; the donor may use its full capacity again.
struct token_acknowledgement {
    static constexpr const char* method = "tokens.acknowledgement";
    request_id id;
    organisation_id organisation;
    double unused{0}; ///< Tokens of the grant that the sender returns.

    static constexpr auto fields() {
        return std::tuple{field("id", &token_acknowledgement::id),
                          field("organisation", &token_acknowledgement::organisation),
                          field("unused", &token_acknowledgement::unused)};
    }
};

/// @brief Requests that a share holder transfer part of its rate to the sender.
struct share_request {
    static constexpr const char* method = "share.request";
    organisation_id organisation;
    double demand{0}; ///< Requests per second that arrive at the sender.
    double rate{0};   ///< Rate that the sender currently holds.

    static constexpr auto fields() {
        return std::tuple{field("organisation", &share_request::organisation),
                          field("demand", &share_request::demand),
                          field("rate", &share_request::rate)};
    }
};

/// @brief Announces a changed share record.
struct share_notice {
    static constexpr const char* method = "share.notice";
    share_group_id group;
    std::uint64_t version{0}; ///< Store version of the record.
    /// Record at that version. If absent, the receiver reads it from the store.
    std::optional<share_record> record;

    static constexpr auto fields() {
        return std::tuple{field("group", &share_notice::group),
                          field("version", &share_notice::version),
                          field("record", &share_notice::record)};
    }
};

/// @brief Requests the last observed state of backend servers from a VM.
struct observation_query {
    static constexpr const char* method = "observation.query";
    std::uint64_t number{0};
    std::uint64_t directory_version{0}; ///< Version of the directory at the sender.
    std::vector<group_id> groups;       ///< Groups whose servers are queried.
    /// Replicas that the receiver holds on behalf of the failover coordinator.
    std::vector<backend_server_id> hold_servers{};
    term hold_term{}; ///< Term for which they are held.

    static constexpr auto fields() {
        using self = observation_query;
        return std::tuple{
            field("number", &self::number), field("directory_version", &self::directory_version),
            field("groups", &self::groups), field("hold_servers", &self::hold_servers),
            field("hold_term", &self::hold_term)};
    }
};

/// @brief Last status of one backend server.
struct member_observation {
    backend_server_id backend;
    group_id group;
    std::optional<server_status> status; ///< Absent when nothing listens at its address.
    duration age{0}; ///< Time from before the status request until the reply was sent.

    static constexpr auto fields() {
        return std::tuple{field("backend", &member_observation::backend),
                          field("group", &member_observation::group),
                          field("status", &member_observation::status),
                          field("age_us", &member_observation::age)};
    }
};

/// @brief Answer to `observation_query`.
struct observation_reply {
    static constexpr const char* method = "observation.reply";
    std::uint64_t number{0}; ///< Number of the query.
    std::vector<member_observation> members;
    std::uint64_t directory_version{0};      ///< Version of the last change.
    std::uint64_t directory_read_version{0}; ///< Version that was last read.
    duration directory_age{0};
    std::vector<backend_registration> directory;  ///< Empty when the requester has this version.
    std::optional<evacuated_domains> evacuations; ///< Absent if the sender knows no list.
    duration evacuations_age{0};

    static constexpr auto fields() {
        using self = observation_reply;
        return std::tuple{field("number", &self::number),
                          field("members", &self::members),
                          field("directory_version", &self::directory_version),
                          field("directory_read_version", &self::directory_read_version),
                          field("directory_age_us", &self::directory_age),
                          field("directory", &self::directory),
                          field("evacuations", &self::evacuations),
                          field("evacuations_age_us", &self::evacuations_age)};
    }
};

/// @brief All replicas of a group are held for a term above `term`, which ends the leadership of
/// its primary of `term`.
struct group_hold {
    static constexpr const char* method = "group.hold";
    group_id group;
    jackdawvane::term term;
    duration age{0}; ///< Time since the last replica was held.

    static constexpr auto fields() {
        return std::tuple{field("group", &group_hold::group), field("term", &group_hold::term),
                          field("age_us", &group_hold::age)};
    }
};

/// @brief Every message between VMs.
using peer_message =
    std::variant<group_report, group_summary, forward_request, forward_reply, membership_probe,
                 configuration_announce, configuration_pull, configuration_difference,
                 configuration_request, configuration_part, token_request, token_grant,
                 token_acknowledgement, share_request, share_notice, observation_query,
                 observation_reply, group_hold, forwarded_statement, attempt_result, lease_release>;

/// @brief JSON-RPC method name of @a message.
[[nodiscard]] const char* method_of(const peer_message& message) noexcept;

/// @brief JSON-RPC parameters of @a message.
[[nodiscard]] Json::Value encode(const peer_message& message);

/// @brief Message of method @a method with parameters @a params.
/// @return the message, or `malformed_request` for an unknown method or wrong parameters
[[nodiscard]] result<peer_message> decode_peer_message(const std::string& method,
                                                       const Json::Value& params);

/// @brief All method names, in the order of the variant's alternatives.
[[nodiscard]] const std::vector<std::string>& peer_methods();

} // namespace jackdawvane
