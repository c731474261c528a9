#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/http_server.hpp"
#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-load/load_session.hpp"

namespace jackdawvane::standin {

/// @brief Time of an injected fault; `POST /mark` has the name and the group in its body.
struct fault_mark {
    std::string name;
    group_id group; ///< Group that the fault affects; empty for all.
    steady_clock::time_point at;

    static constexpr auto fields() {
        return std::tuple{field("name", &fault_mark::name), field("group", &fault_mark::group)};
    }
};

/// @brief Generates open-loop load for all organisations and checks the answers.
class load_run : private boost::noncopyable {
  public:
    load_run(asio::io_context& io, load_settings settings);

    /// @brief Records a fault at the time @a after the start of the run.
    void add_mark(milliseconds after);
    /// @brief Runs the load and all checks.
    /// @return the results
    awaitable<Json::Value> run();

  private:
    using session_ptr = std::unique_ptr<load_session>;

    awaitable<void> generate(const organisation_load& organisation);
    awaitable<void> serve(std::deque<session_ptr>& idle, session_ptr session);
    [[nodiscard]] double arrivals_now(const organisation_load& organisation) const;
    awaitable<http_reply> control(http_server::connection_ptr connection,
                                  const http_request& request);
    awaitable<void> check_logs(Json::Value& results);
    [[nodiscard]] Json::Value marks_json();

    asio::io_context& io_;
    load_context context_;
    std::vector<fault_mark> marks_;
    std::map<organisation_id, std::deque<session_ptr>> idle_;
    std::uint64_t started_requests_{0};
    std::uint64_t running_{0};
    bool stopping_{false};
    notifier changed_;
    steady_clock::time_point started_;
    std::optional<http_server> control_;
};

} // namespace jackdawvane::standin
