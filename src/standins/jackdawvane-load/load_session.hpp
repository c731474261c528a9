#pragma once

#include "jackdawvane/foundation/random.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/jackdawvane-load/caller_client.hpp"
#include "standins/jackdawvane-load/load_settings.hpp"
#include "standins/jackdawvane-load/measurements.hpp"
#include "standins/jackdawvane-load/session_view.hpp"
#include <boost/core/noncopyable.hpp>

namespace jackdawvane::standin {

/// @brief What all sessions of a run share.
struct load_context {
    load_context(asio::io_context& context, load_settings configured)
        : io{context}, settings{std::move(configured)}, measured{settings}, random{settings.seed} {}

    asio::io_context& io;
    load_settings settings;
    measurements measured;
    random_engine random;
    std::map<std::string, group_id> group_of; ///< Group of each backend server.
    std::uint64_t orders{0};                  ///< Numbers the order names.
    std::string run;                          ///< Makes the names of two runs differ.
};

/// @brief One caller's session, which roams between the entry VMs.
class load_session : private boost::noncopyable {
  public:
    load_session(load_context& context, const organisation_load& organisation, std::string name,
                 std::string key);

    /// @brief Runs one request with its retries.
    awaitable<void> run_request();

  private:
    using time = steady_clock::time_point;

    /// @brief How the attempts of one request ended.
    struct ending {
        caller_reply reply;
        bool may_have_run{false}; ///< Some attempt was unknown and no later one was done.
    };

    awaitable<void> read(session_view& view);
    awaitable<void> write(session_view& view);
    awaitable<void> transaction(session_view& view);
    /// @brief Sends @a call until it is done, rejected or given up.
    awaitable<ending> attempt(caller_call call);
    awaitable<caller_reply> attempt_once(const caller_call& call, bool retried);
    awaitable<caller_reply> follow_up(const std::string& id, const std::string& step,
                                      const std::string& name, const Json::Value& statements);
    void finish_order(session_view& view, const std::string& name, const ending& ended,
                      time started);
    void acknowledge(const std::string& name, const caller_reply& reply);
    void count_ending(const caller_reply& reply, time started);
    void count_refusal(const caller_reply& reply, bool within_rate);
    void handle_lost_history(const caller_reply& reply);
    void check(const char* name, const std::optional<std::string>& problem);
    [[nodiscard]] caller_call route_call(const session_view& view, access_mode mode,
                                         const Json::Value& statements) const;
    [[nodiscard]] std::string next_order_name();
    session_view& choose_view();
    void move();

    load_context& context_;
    const organisation_load& organisation_;
    std::string name_;
    std::string key_;
    std::string token_;
    std::optional<http_client> client_;
    std::uint32_t requests_on_vm_{0};
    std::map<std::string, session_view> views_;
    time last_sent_;
};

} // namespace jackdawvane::standin
