#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"

#include <map>
#include <string>
#include <vector>

#include "standins/jackdawvane-load/latency.hpp"
#include "standins/jackdawvane-load/load_settings.hpp"
#include "standins/jackdawvane-load/order_book.hpp"
#include <json/json.h>

namespace jackdawvane::standin {

/// @brief Token bucket over all arrivals of an organisation, to detect wrongful rate refusals.
class reference_bucket {
  public:
    reference_bucket(double rate, double burst) : rate_{rate}, burst_{burst}, tokens_{burst} {}

    /// @brief Whether the arrival at @a now is within rate and burst; takes a token if so.
    bool take(steady_clock::time_point now);

  private:
    double rate_;
    double burst_;
    double tokens_;
    steady_clock::time_point filled_{};
};

/// @brief Results of the requests of one organisation.
struct organisation_measurements {
    explicit organisation_measurements(const organisation_load& load)
        : bucket{load.rate, load.burst}, limited{load.rate > 0} {}

    reference_bucket bucket;
    bool limited;
    std::uint64_t offered{0};   ///< Requests, without their retries.
    std::uint64_t attempts{0};  ///< Requests and retries.
    std::uint64_t done{0};      ///< Requests that were answered with success.
    std::uint64_t rejected{0};  ///< Requests that ended with a typed error.
    std::uint64_t abandoned{0}; ///< Requests without success within their retries.
    std::uint64_t skipped{0};   ///< Arrivals without a free session.
    std::uint64_t wrongful{0};  ///< Attempts within the rate limit that were refused as over it.
    std::map<std::string, std::uint64_t> refusals; ///< "not run" answers by error kind.
    std::map<std::string, std::uint64_t> unknowns; ///< "unknown" answers by error kind.
    latency_histogram latency;
};

/// @brief Everything that a load run measures and checks.
class measurements {
  public:
    explicit measurements(const load_settings& settings);

    organisation_measurements& of(const organisation_id& organisation) {
        return organisations_.at(organisation);
    }
    /// @brief Records a successful request of @a kind and the time until its answer.
    void add_latency(const std::string& kind, steady_clock::duration value) {
        latencies_[kind].add(value);
    }
    void count_read(bool from_replica);
    /// @brief Records that the check named @a check failed.
    void add_violation(const std::string& check, const std::string& detail);
    void count(const std::string& name) { ++counters_[name]; }
    order_book& orders() noexcept { return orders_; }

    /// @brief All results. @param elapsed duration of the run
    [[nodiscard]] Json::Value json(steady_clock::duration elapsed) const;

  private:
    std::map<organisation_id, organisation_measurements> organisations_;
    std::map<std::string, latency_histogram> latencies_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, std::vector<std::string>> violations_;
    std::map<std::string, std::uint64_t> violation_counts_;
    std::uint64_t reads_{0};
    std::uint64_t replica_reads_{0};
    order_book orders_;
};

/// @brief Formats the results of a run as text tables.
[[nodiscard]] std::string results_table(const Json::Value& results);

} // namespace jackdawvane::standin
