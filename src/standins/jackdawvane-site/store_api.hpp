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
    std::optional<std::uint32_t> down_ms;            ///< Duration of an outage; 0 ends it.
    bool silent{false};                              ///< No answer instead of a 503 in the outage.
    std::optional<std::uint32_t> delay_ms;           ///< Time that each call takes.
    std::optional<std::uint32_t> lose_answers;       ///< Next transactions whose answer is lost.
    std::optional<std::vector<std::string>> refused; ///< Addresses for which it is down.
    bool compact_history{false};
    bool copy{false};                         ///< Takes the copy that a restore returns to.
    std::optional<std::uint32_t> restored_ms; ///< Outage, after which it continues from the copy.

    static constexpr auto fields() {
        using self = store_fault;
        return std::tuple{
            field("down_ms", &self::down_ms),   field("silent", &self::silent),
            field("delay_ms", &self::delay_ms), field("lose_answers", &self::lose_answers),
            field("refused", &self::refused),   field("forget_history", &self::compact_history),
            field("copy", &self::copy),         field("restored_ms", &self::restored_ms)};
    }
};

/// @brief The store's HTTP interface.
class store_api {
  public:
    explicit store_api(asio::io_context& io);

    /// @brief Answers a call of a VM; the field `Store-Era` counts the restores from a copy.
    awaitable<http_reply> handle(http_server::connection_ptr connection,
                                 const http_request& request);

    /// @brief Writes an item of the platform; the restrictions on VMs do not apply.
    void publish(const std::string& key, const Json::Value& document);
    /// @brief Removes an item of the platform.
    void withdraw(const std::string& key);
    void apply(const store_fault& fault);
    [[nodiscard]] bool down() const { return steady_clock::now() < down_until_; }
    /// @brief Number of calls by path, the store's revision and era, and the values of its items.
    [[nodiscard]] Json::Value inspect() const;

  private:
    using query = std::map<std::string, std::string>;
    using handler = awaitable<http_reply> (store_api::*)(const query&, const Json::Value&);

    awaitable<http_reply> answer(http_server::connection_ptr connection,
                                 const http_request& request);
    awaitable<http_reply> key(const query& fields, const Json::Value& body);
    awaitable<http_reply> range(const query& fields, const Json::Value& body);
    awaitable<http_reply> watch(const query& fields, const Json::Value& body);
    awaitable<http_reply> transact(const query& fields, const Json::Value& body);
    awaitable<http_reply> grant(const query& fields, const Json::Value& body);
    awaitable<http_reply> renew(const query& fields, const Json::Value& body);
    awaitable<http_reply> revoke(const query& fields, const Json::Value& body);

    awaitable<void> expire_leases();
    void restore(milliseconds outage);
    [[nodiscard]] std::uint64_t era() const;
    [[nodiscard]] http_reply outage() const;
    [[nodiscard]] bool is_refused(const http_connection& connection) const;

    asio::io_context& io_;
    lease_store store_;
    lease_store copy_;
    std::uint64_t era_{1};
    steady_clock::time_point restored_at_{}; ///< The previous era lasts until then.
    notifier changed_;
    steady_clock::time_point down_until_{};
    bool silent_{false};
    milliseconds delay_{0};
    std::uint32_t lose_answers_{0};
    std::vector<std::string> refused_;
    std::map<std::string, std::uint64_t> calls_;
};

} // namespace jackdawvane::standin
