#pragma once

#include "jackdawvane/foundation/json_codec.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/http_server.hpp"
#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-site/lease_store.hpp"

namespace jackdawvane::standin {

/// @brief Fault of the store; absent keys change nothing.
struct store_fault {
    std::optional<std::uint32_t> down_ms;      ///< Calls meet an outage for this time; 0 ends one.
    bool silent{false};                        ///< Calls of the outage get no answer, not a 503.
    std::optional<std::uint32_t> delay_ms;     ///< Time that each call takes.
    std::optional<std::uint32_t> lose_answers; ///< Next changes whose answer is lost.
    std::optional<std::vector<std::string>> refused; ///< Addresses that are turned away.
    bool forget_history{false};

    static constexpr auto fields() {
        using self = store_fault;
        return std::tuple{
            field("down_ms", &self::down_ms),   field("silent", &self::silent),
            field("delay_ms", &self::delay_ms), field("lose_answers", &self::lose_answers),
            field("refused", &self::refused),   field("forget_history", &self::forget_history)};
    }
};

/// @brief The store's HTTP interface.
class store_api {
  public:
    explicit store_api(asio::io_context& io);

    /// @brief Answers a call of a VM.
    awaitable<http_reply> handle(http_server::connection_ptr connection,
                                 const http_request& request);

    /// @brief Writes JSON as the platform does, past every limit for VMs.
    void publish(const std::string& key, const Json::Value& document);
    /// @brief Removes an item of the platform.
    void withdraw(const std::string& key);
    void apply(const store_fault& fault);
    [[nodiscard]] bool down() const { return steady_clock::now() < down_until_; }
    /// @brief Calls by path, and lost answers.
    [[nodiscard]] Json::Value inspect() const;

  private:
    using query = std::map<std::string, std::string>;
    using handler = awaitable<http_reply> (store_api::*)(const query&, const Json::Value&);

    awaitable<http_reply> key(const query& fields, const Json::Value& body);
    awaitable<http_reply> range(const query& fields, const Json::Value& body);
    awaitable<http_reply> watch(const query& fields, const Json::Value& body);
    awaitable<http_reply> transact(const query& fields, const Json::Value& body);
    awaitable<http_reply> grant(const query& fields, const Json::Value& body);
    awaitable<http_reply> keep(const query& fields, const Json::Value& body);
    awaitable<http_reply> end(const query& fields, const Json::Value& body);

    awaitable<void> expire_leases();
    [[nodiscard]] http_reply outage() const;
    [[nodiscard]] bool turned_away(const http_connection& connection) const;

    asio::io_context& io_;
    lease_store store_;
    notifier changed_;
    steady_clock::time_point down_until_{};
    bool silent_{false};
    milliseconds delay_{0};
    std::uint32_t lose_answers_{0};
    std::vector<std::string> refused_;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace jackdawvane::standin
