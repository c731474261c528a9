#pragma once

#include "jackdawvane/foundation/types.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-site/session_group.hpp"
#include <boost/core/noncopyable.hpp>

namespace jackdawvane::standin {

/// @brief Capacity of a backend server and the time that its work takes.
struct member_limits {
    std::uint32_t slots{3};
    std::uint32_t connections{22};
    milliseconds connect_duration{12};
    milliseconds statement_duration{8};
};

/// @brief One backend server's SQL sessions over TCP.
class member_server : private boost::noncopyable {
  public:
    /// @brief Called with each statement of a caller and its result, for the checks of a test.
    using recorder = std::function<void(Json::Value)>;

    /// @param group outlives this object
    /// @throws boost::system::system_error when the address is in use
    member_server(asio::io_context& io, session_group& group, std::size_t index,
                  const endpoint& listen, const member_limits& limits, recorder record);

    /// @brief Closes all connections and the listening socket, as in a crash.
    void close();
    /// @brief Accepts connections again.
    void open();
    /// @brief Stops answering on the open connections; new ones are answered.
    void silence();
    /// @brief Port on which it listens; differs from the setting if that is 0.
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    struct prepared {
        bool writes{false};
        std::string shape;
    };
    struct session {
        session(asio::io_context& io, std::uint64_t session_number)
            : socket{io}, writing{io, 1}, number{session_number} {}

        tcp::socket socket;
        semaphore writing; ///< One text is written at a time.
        std::uint64_t number;
        std::uint64_t incarnation{0}; ///< Of the member when the connection was accepted.
        bool silent{false};
        std::string peer; ///< Source address.
        std::string organisation;
        std::map<std::string, std::string> values;
        std::map<std::string, prepared> statements;
        char state{'I'};
        bool read_only{false};
        std::uint64_t transaction{0}; ///< Number of the open transaction; 0: none.
        std::vector<row_write> writes;
    };
    using session_ptr = std::shared_ptr<session>;
    /// @brief Answer without its READY line; `error` is empty after success.
    struct answer {
        std::vector<std::string> rows;
        std::string signature{"-"};
        std::string error;
    };
    /// @brief Parsed statement line.
    struct query {
        std::string id;
        std::string after;
        std::string verb;
        std::string rest;
    };
    using handler = answer (member_server::*)(session&, const query&);

    [[nodiscard]] group_member& member() const { return group_.members()[index_]; }
    awaitable<void> accept();
    awaitable<void> serve(session_ptr client);
    awaitable<bool> handle_startup(session_ptr client, std::string line);
    awaitable<bool> handle_statement(session_ptr client, std::string line);
    awaitable<bool> occupy_slot(session_ptr client, milliseconds time);
    awaitable<bool> send(session_ptr client, std::string text);
    awaitable<void> send_again(session_ptr client, std::string text);
    [[nodiscard]] std::string cut_off(const std::string& text);
    [[nodiscard]] bool happens(double share);
    [[nodiscard]] bool usable(const session& client) const;

    [[nodiscard]] static query parse(std::string_view line);
    [[nodiscard]] answer execute(session& client, const query& request);
    [[nodiscard]] std::string refusal(const session& client, const query& request) const;
    [[nodiscard]] answer begin(session& client, const query& request);
    [[nodiscard]] answer commit(session& client, const query& request);
    [[nodiscard]] answer roll_back(session& client, const query& request);
    [[nodiscard]] answer read(session& client, const query& request);
    [[nodiscard]] answer write(session& client, const query& request);
    [[nodiscard]] answer run_prepared(session& client, const query& request);
    [[nodiscard]] answer set(session& client, const query& request);
    [[nodiscard]] answer prepare(session& client, const query& request);
    [[nodiscard]] answer deallocate(session& client, const query& request);
    [[nodiscard]] answer reset(session& client, const query& request);
    [[nodiscard]] answer status(session& client, const query& request);
    [[nodiscard]] answer control(session& client, const query& request);
    [[nodiscard]] answer read_item(const session& client, const std::string& item);
    [[nodiscard]] answer write_item(session& client, const query& request,
                                    const std::string& item_and_data);
    [[nodiscard]] std::string next_signature();
    void record_statement(const session& client, const query& request, const answer& result,
                          char state_before, std::uint64_t transaction_before,
                          const std::string& shape);

    asio::io_context& io_;
    session_group& group_;
    std::size_t index_;
    tcp::endpoint listen_;
    member_limits limits_;
    recorder record_;
    tcp::acceptor acceptor_;
    semaphore slots_;
    std::set<session_ptr> sessions_;
    std::mt19937 random_;
    std::uint64_t last_session_{0};
    std::uint64_t last_transaction_{0};
    std::uint64_t last_signature_{0};
};

} // namespace jackdawvane::standin
