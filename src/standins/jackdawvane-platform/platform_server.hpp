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
    std::uint32_t list_lag_ms{0};  ///< Time until a change of the VM list is visible.
    std::uint32_t delay_ms{0};     ///< Delay of every call.
    double writes_per_second{500}; ///< Writes above this rate are refused.
    double reads_per_second{2000}; ///< Reads above this rate are refused.
    std::uint64_t seed{1};         ///< Seed of the random choice of lost answers.

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

/// @brief Result of calls during an outage: no answer or an error.
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
    std::optional<std::uint32_t> outage_ms; ///< Duration of an outage from now on; 0 ends it.
    outage_kind outage{outage_kind::silent};
    std::optional<std::uint32_t> lose_answers; ///< Number of next compare-and-swaps without answer.
    std::optional<double> lose_probability; ///< Probability that a compare-and-swap has no answer.
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

/// @brief Token bucket for calls per second; its capacity is the calls of one second.
class rate_limiter {
  public:
    explicit rate_limiter(double rate) : rate_{rate}, tokens_{rate} {}

    void set_rate(double rate) { rate_ = rate; }
    /// @brief Takes one token; false when none is available.
    bool try_acquire(steady_clock::time_point now);

  private:
    double rate_;
    double tokens_;
    steady_clock::time_point refilled_at_{};
};

/// @brief HTTP server for the platform's key-value store and VM list.
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
    store_answer acquire_or_keep_lease(const store_request& request,
                                       std::chrono::steady_clock::time_point now);
    awaitable<store_answer> watch(const store_request& request);
    awaitable<store_answer> list_vms(const store_request& request);
    [[nodiscard]] http_reply outage_reply() const;
    [[nodiscard]] bool in_outage() const { return steady_clock::now() < outage_until_; }
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
    std::uint32_t answers_to_lose_{0};
    double lose_probability_{0};
    random_engine random_;
    rate_limiter writes_;
    rate_limiter reads_;
    std::map<store_operation, std::uint64_t> calls_;
    std::uint64_t refused_calls_{0};
    std::uint64_t lost_answers_{0};
    http_server server_;
};

} // namespace jackdawvane::standin
