#pragma once

#include "jackdawvane/foundation/random.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/http_server.hpp"
#include "standins/common/notifier.hpp"
#include "standins/jackdawvane-platform/key_value_store.hpp"

namespace jackdawvane::standin {

/// @brief Settings of the platform stand-in.
struct platform_settings {
    endpoint listen;
    std::uint32_t list_lag_ms{0};  ///< Time until a change of the VM list is seen.
    std::uint32_t delay_ms{0};     ///< Time that every call takes.
    double writes_per_second{500}; ///< Writes above this rate are refused.
    double reads_per_second{2000}; ///< Reads above this rate are refused.
    std::uint64_t seed{1};         ///< Seed of the lost answers.

    static constexpr auto fields() {
        using self = platform_settings;
        return std::tuple{field("listen", &self::listen),
                          field("list_lag_ms", &self::list_lag_ms),
                          field("delay_ms", &self::delay_ms),
                          field("writes_per_second", &self::writes_per_second),
                          field("reads_per_second", &self::reads_per_second),
                          field("seed", &self::seed)};
    }
};

/// @brief Body of `POST /vms`.
struct vm_list_change {
    std::vector<vm_entry> set;
    std::vector<vm_id> remove;

    static constexpr auto fields() {
        return std::tuple{field("set", &vm_list_change::set),
                          field("remove", &vm_list_change::remove)};
    }
};

/// @brief What calls meet during an outage.
enum class outage_kind { silent, error };

} // namespace jackdawvane::standin

template <>
struct jackdawvane::enum_names<jackdawvane::standin::outage_kind> {
    static constexpr std::array<std::pair<standin::outage_kind, const char*>, 2> table{
        {{standin::outage_kind::silent, "silent"}, {standin::outage_kind::error, "error"}}};
};

namespace jackdawvane::standin {

/// @brief Body of `POST /fault`; absent keys change nothing.
struct platform_fault {
    std::optional<std::uint32_t> list_lag_ms;
    std::optional<std::uint32_t> delay_ms;
    std::optional<std::uint32_t> outage_ms; ///< Outage for this time; 0 ends one.
    outage_kind outage{outage_kind::silent};
    std::optional<std::uint32_t> lose_answers; ///< Next compare-and-swaps without an answer.
    std::optional<double> lose_probability;    ///< Share of compare-and-swaps without an answer.
    std::optional<double> writes_per_second;
    std::optional<double> reads_per_second;

    static constexpr auto fields() {
        using self = platform_fault;
        return std::tuple{field("list_lag_ms", &self::list_lag_ms),
                          field("delay_ms", &self::delay_ms),
                          field("outage_ms", &self::outage_ms),
                          field("outage", &self::outage),
                          field("lose_answers", &self::lose_answers),
                          field("lose_probability", &self::lose_probability),
                          field("writes_per_second", &self::writes_per_second),
                          field("reads_per_second", &self::reads_per_second)};
    }
};

/// @brief Calls per second with a burst of one second.
class call_limit {
  public:
    explicit call_limit(double rate) : rate_{rate}, tokens_{rate} {}

    void set_rate(double rate) { rate_ = rate; }
    /// @brief Takes a token if there is one.
    bool take(steady_clock::time_point now);

  private:
    double rate_;
    double tokens_;
    steady_clock::time_point filled_{};
};

/// @brief The platform's store and VM list over HTTP.
class platform_server : private boost::noncopyable {
  public:
    platform_server(asio::io_context& io, const platform_settings& settings);

    [[nodiscard]] const endpoint& local() const noexcept { return server_.local(); }

  private:
    using connection_ptr = http_server::connection_ptr;
    using time = steady_clock::time_point;

    awaitable<http_reply> handle(connection_ptr connection, const http_request& request);
    awaitable<http_reply> call(const http_request& request);
    awaitable<store_answer> run(const store_request& request);
    store_answer lease_if(const store_request& request, std::chrono::steady_clock::time_point now);
    awaitable<store_answer> watch(const store_request& request);
    awaitable<store_answer> list_vms(const store_request& request);
    [[nodiscard]] http_reply outage_reply() const;
    [[nodiscard]] bool is_out() const { return steady_clock::now() < outage_until_; }
    bool loses_answer(store_operation operation);
    http_reply change_vms(const http_request& request);
    void apply(const vm_list_change& change);
    http_reply fault(const http_request& request);
    [[nodiscard]] http_reply inspect() const;

    asio::io_context& io_;
    key_value_store store_;
    notifier changed_;
    std::map<vm_id, vm_entry> vms_;
    std::uint64_t vms_version_{1};
    milliseconds list_lag_;
    milliseconds delay_;
    time outage_until_;
    outage_kind outage_{outage_kind::silent};
    std::uint32_t lose_answers_{0};
    double lose_probability_{0};
    random_engine random_;
    call_limit writes_;
    call_limit reads_;
    std::map<store_operation, std::uint64_t> calls_;
    std::uint64_t refused_{0};
    std::uint64_t lost_{0};
    http_server server_;
};

} // namespace jackdawvane::standin
