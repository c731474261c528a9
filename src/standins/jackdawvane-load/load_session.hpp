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

/// @brief State that all sessions of a run share.
struct load_context {
    load_context(asio::io_context& context, load_settings configured)
        : io{context}, settings{std::move(configured)}, measured{settings}, random{settings.seed} {}

    asio::io_context& io;
    load_settings settings;
    measurements measured;
    random_engine random;
    std::map<std::string, group_id> group_of; ///< Group of each backend server.
    std::uint64_t orders{0};                  ///< Orders named so far; the last number in use.
    std::string run_id; ///< Keeps the keys and order names of different runs apart.
};

/// @brief One caller's session, which switches between the entry VMs.
class load_session : private boost::noncopyable {
  public:
    load_session(load_context& context, const organisation_load& organisation, std::string name,
                 std::string key);

    /// @brief Runs one request with its retries.
    awaitable<void> run_request();

  private:
    using time = steady_clock::time_point;

    /// @brief Final reply to one request, after its retries.
    struct request_result {
        caller_reply reply;
        bool may_have_run{false}; ///< An attempt ended as unknown and no later one succeeded.
    };

    awaitable<void> read(session_view& view);
    awaitable<void> write(session_view& view);
    awaitable<void> transaction(session_view& view);
    /// @brief Sends @a call and retries it until it is done, rejected or out of time or attempts.
    awaitable<request_result> send_with_retries(caller_call call);
    awaitable<caller_reply> send_once(const caller_call& call, bool retried);
    awaitable<caller_reply> send_transaction_step(const std::string& id, const std::string& step,
                                                  const std::string& name,
                                                  const Json::Value& statements);
    void finish_order(session_view& view, const std::string& name, const request_result& result,
                      time started);
    void acknowledge(const std::string& name, const caller_reply& reply);
    void count_outcome(const caller_reply& reply, time started);
    void count_refusal(const caller_reply& reply, bool within_rate);
    void handle_lost_history(const caller_reply& reply);
    /// @brief Records a violation of @a check if there is a @a problem.
    void record_violation(const char* check, const std::optional<std::string>& problem);
    [[nodiscard]] caller_call route_call(const session_view& view, access_mode mode,
                                         const Json::Value& statements) const;
    [[nodiscard]] std::string next_order_name();
    session_view& choose_view();
    void switch_vm();

    load_context& context_;
    const organisation_load& organisation_;
    std::string name_;
    std::string key_;
    std::string session_token_;
    std::optional<http_client> client_;
    std::uint32_t requests_on_vm_{0};
    std::map<std::string, session_view> views_;
    time last_sent_;
};

} // namespace jackdawvane::standin
