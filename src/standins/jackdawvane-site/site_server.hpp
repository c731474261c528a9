#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/http_server.hpp"
#include "standins/jackdawvane-site/member_server.hpp"
#include "standins/jackdawvane-site/store_api.hpp"

namespace jackdawvane::standin {

/// @brief Settings of one backend server.
struct site_member {
    std::string id;
    std::string group;
    std::string domain;
    endpoint listen;
    endpoint advertised; ///< Address in the registration; `listen` if the port is 0.

    static constexpr auto fields() {
        return std::tuple{field("id", &site_member::id), field("group", &site_member::group),
                          field("domain", &site_member::domain),
                          field("listen", &site_member::listen),
                          field("advertised", &site_member::advertised)};
    }
};

/// @brief Settings of the stand-in for the users' platform.
struct site_settings {
    endpoint control; ///< Endpoint for tests: faults, configuration and the record of statements.
    endpoint store;
    endpoint promotion;
    std::vector<site_member> members; ///< The first of each group is its initial primary.
    std::uint32_t slots{3};
    std::uint32_t connections{22};
    std::uint32_t lag_ms{8};
    std::uint32_t promotion_ms{300};
    std::uint32_t heartbeat_ms{1200};

    static constexpr auto fields() {
        using self = site_settings;
        return std::tuple{field("control", &self::control),
                          field("store", &self::store),
                          field("promotion", &self::promotion),
                          field("members", &self::members),
                          field("slots", &self::slots),
                          field("connections", &self::connections),
                          field("lag_ms", &self::lag_ms),
                          field("promotion_ms", &self::promotion_ms),
                          field("heartbeat_ms", &self::heartbeat_ms)};
    }
};

/// @brief Fault to inject into one backend server; absent keys change nothing.
struct member_fault {
    std::string member;
    std::optional<std::string> state; ///< `running`, `crashed` or `dark`.
    std::optional<bool> leaving;
    std::optional<bool> isolated; ///< No replication traffic with the other backend servers.
    std::optional<std::uint32_t> lag_ms;
    std::optional<std::uint32_t> lose_answers;
    std::optional<double> double_answers;         ///< Share of the answers that are sent twice.
    std::optional<double> double_cuts;            ///< Share of the second answers cut off.
    std::optional<std::int64_t> extra_work_ms;    ///< Added to the time of each statement.
    std::optional<double> fail_share;             ///< Share of the reads and writes that fail.
    std::optional<std::uint32_t> double_delay_ms; ///< Longest delay of a second answer.
    bool silence{false};                          ///< Stops answering on the open connections.

    static constexpr auto fields() {
        return std::tuple{field("member", &member_fault::member),
                          field("state", &member_fault::state),
                          field("leaving", &member_fault::leaving),
                          field("isolated", &member_fault::isolated),
                          field("lag_ms", &member_fault::lag_ms),
                          field("lose_answers", &member_fault::lose_answers),
                          field("double_answers", &member_fault::double_answers),
                          field("double_cuts", &member_fault::double_cuts),
                          field("extra_work_ms", &member_fault::extra_work_ms),
                          field("fail_share", &member_fault::fail_share),
                          field("double_delay_ms", &member_fault::double_delay_ms),
                          field("silence", &member_fault::silence)};
    }
};

/// @brief Body of `POST /fault`.
struct site_fault {
    std::optional<store_fault> store;
    std::optional<member_fault> member;
    std::optional<bool> double_promotions; ///< Answers to promotion calls are sent twice.

    static constexpr auto fields() {
        return std::tuple{field("store", &site_fault::store), field("member", &site_fault::member),
                          field("double_promotions", &site_fault::double_promotions)};
    }
};

/// @brief Stand-in for the users' platform: store, registrations, promotion call and groups.
///
/// A single process records the statements of all servers in one total order, which the checks of
/// a test need.
class site_server {
  public:
    site_server(asio::io_context& io, const site_settings& settings);

  private:
    struct served_member {
        session_group* group;
        std::size_t index;
        site_member settings;
        std::unique_ptr<member_server> server;
        std::uint64_t sequence{0};
        std::string registered_state; ///< Role, state and incarnation of the last registration.
        steady_clock::time_point due_at{};
        steady_clock::time_point expires_at{};
        bool registered{false};
    };

    awaitable<http_reply> control(const http_request& request);
    awaitable<http_reply> promote(const http_request& request);
    http_reply fault(const http_request& request);
    void apply(const member_fault& fault);
    awaitable<void> replicate();
    awaitable<void> register_members();
    void register_member(served_member& each, steady_clock::time_point now);
    void expect_registrations(steady_clock::time_point now);
    [[nodiscard]] group_member& state_of(const served_member& each) const;
    [[nodiscard]] http_reply inspect() const;

    site_settings settings_;
    store_api store_;
    std::map<std::string, session_group> groups_;
    std::list<served_member> members_;
    Json::Value runs_{Json::arrayValue};
    Json::Value promotions_{Json::arrayValue};
    bool double_promotions_{false};
    http_server control_server_;
    http_server store_server_;
    http_server promotion_server_;
};

} // namespace jackdawvane::standin
