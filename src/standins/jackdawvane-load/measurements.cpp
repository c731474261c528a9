#include "standins/jackdawvane-load/measurements.hpp"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>

namespace jackdawvane::standin {

namespace {

constexpr std::size_t max_violation_examples = 10;

Json::Value counts_json(const std::map<std::string, std::uint64_t>& counts) {
    Json::Value json{Json::objectValue};
    for (const auto& [name, count] : counts) {
        json[name] = Json::UInt64{count};
    }
    return json;
}

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

Json::Value organisation_json(const organisation_measurements& measured, double seconds) {
    Json::Value json;
    json["offered"] = Json::UInt64{measured.offered};
    json["attempts"] = Json::UInt64{measured.attempts};
    json["done"] = Json::UInt64{measured.done};
    json["done_per_second"] = static_cast<double>(measured.done) / seconds;
    json["served_share"] = share(measured.done, measured.offered);
    json["rejected"] = Json::UInt64{measured.rejected};
    json["abandoned"] = Json::UInt64{measured.abandoned};
    json["skipped"] = Json::UInt64{measured.skipped};
    json["wrongful_refusals"] = Json::UInt64{measured.wrongful};
    json["wrongful_share"] = share(measured.wrongful, measured.attempts);
    json["refusals"] = counts_json(measured.refusals);
    json["unknowns"] = counts_json(measured.unknowns);
    json["latency"] = measured.latency.summary();
    return json;
}

void put_latency_row(std::ostream& out, const std::string& name, const Json::Value& row) {
    out << std::left << std::setw(20) << name << std::right << std::setw(10)
        << row["count"].asUInt64();
    for (const auto* column : {"p50_us", "p95_us", "p99_us", "max_us"}) {
        out << std::setw(12) << row[column].asDouble() / 1000;
    }
    out << '\n';
}

void put_organisation_row(std::ostream& out, const std::string& name, const Json::Value& row) {
    std::uint64_t refusals{0};
    for (const auto& count : row["refusals"]) {
        refusals += count.asUInt64();
    }
    out << std::left << std::setw(20) << name << std::right << std::setw(10)
        << row["offered"].asUInt64() << std::setw(10) << row["done"].asUInt64() << std::setw(10)
        << row["served_share"].asDouble() << std::setw(10) << refusals << std::setw(10)
        << row["wrongful_refusals"].asUInt64() << std::setw(10) << row["abandoned"].asUInt64()
        << '\n';
}

} // namespace

bool reference_bucket::take(steady_clock::time_point now) {
    const std::chrono::duration<double> passed = now - filled_;
    tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
    filled_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

measurements::measurements(const load_settings& settings) {
    for (const auto& load : settings.organisations) {
        organisations_.emplace(load.id, organisation_measurements{load});
    }
}

void measurements::count_read(bool from_replica) {
    ++reads_;
    replica_reads_ += from_replica ? 1U : 0U;
}

void measurements::add_violation(const std::string& check, const std::string& detail) {
    ++violation_counts_[check];
    auto& examples = violations_[check];
    if (examples.size() < max_violation_examples) {
        examples.push_back(detail);
    }
}

Json::Value measurements::json(steady_clock::duration elapsed) const {
    const double seconds = std::max(0.001, std::chrono::duration<double>{elapsed}.count());
    Json::Value json;
    json["seconds"] = seconds;
    double lowest_served_share = std::numeric_limits<double>::max();
    for (const auto& [id, measured] : organisations_) {
        json["organisations"][id.str()] = organisation_json(measured, seconds);
        lowest_served_share = std::min(lowest_served_share, share(measured.done, measured.offered));
    }
    json["worst_served_share"] = organisations_.empty() ? 0 : lowest_served_share;
    json["latency"] = Json::objectValue;
    for (const auto& [kind, histogram] : latencies_) {
        json["latency"][kind] = histogram.summary();
    }
    json["reads"] = Json::UInt64{reads_};
    json["replica_read_share"] = share(replica_reads_, reads_);
    json["counters"] = counts_json(counters_);
    json["violations"] = Json::objectValue;
    for (const auto& [check, count] : violation_counts_) {
        json["violations"][check]["count"] = Json::UInt64{count};
        for (const auto& detail : violations_.at(check)) {
            json["violations"][check]["examples"].append(detail);
        }
    }
    json["longest_gaps_ms"] = orders_.longest_gaps();
    return json;
}

std::string results_table(const Json::Value& results) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "ran for " << results["seconds"].asDouble() << " s\n\n"
        << std::left << std::setw(20) << "latency in ms" << std::right << std::setw(10) << "count"
        << std::setw(12) << "median" << std::setw(12) << "95%" << std::setw(12) << "99%"
        << std::setw(12) << "highest" << '\n';
    const auto& latency = results["latency"];
    for (const auto& kind : latency.getMemberNames()) {
        put_latency_row(out, kind, latency[kind]);
    }
    out << '\n'
        << std::left << std::setw(20) << "organisation" << std::right << std::setw(10) << "offered"
        << std::setw(10) << "done" << std::setw(10) << "share" << std::setw(10) << "refused"
        << std::setw(10) << "wrongful" << std::setw(10) << "gave up" << '\n';
    const auto& organisations = results["organisations"];
    for (const auto& id : organisations.getMemberNames()) {
        put_organisation_row(out, id, organisations[id]);
    }
    out << "\nreads from replicas: " << results["replica_read_share"].asDouble() << '\n';
    for (const auto* part :
         {"counters", "orders", "faults", "longest_gaps_ms", "backends", "violations"}) {
        if (results.isMember(part)) {
            out << part << ": " << results[part].toStyledString();
        }
    }
    return out.str();
}

} // namespace jackdawvane::standin
