#include "jackdawvane/configuration/configuration_rules.hpp"

#include <utility>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

namespace jackdawvane {

namespace {

/// Maximum rate in requests per second; far above the fleet's target of 1.3 M statements/s.
constexpr double max_rate = 1e8;

/// Maximum deadline of a route: one hour.
constexpr std::uint32_t max_deadline_ms = 3'600'000;

/// Number of hexadecimal digits of a SHA-256 digest.
constexpr std::size_t digest_digits = 64;

/// Whether @a id can stand in a URL path and within a transaction id, whose separator is `~`.
bool is_plain_id(const std::string& id) {
    return std::all_of(id.begin(), id.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
}

/// Validates one document; collects its errors and the names that must be unique.
class document_check {
  public:
    explicit document_check(const configuration_document& document) : document_{document} {}

    std::vector<problem> run() {
        for (const auto& [name, row] : document_.routes) {
            check_route(name, row);
        }
        for (const auto& [name, row] : document_.pools) {
            check_pool(name, row);
        }
        for (const auto& [name, row] : document_.organisations) {
            check_organisation(name, row);
        }
        for (const auto& [digest, row] : document_.keys) {
            check_key(digest, row);
        }
        return std::move(problems_);
    }

  private:
    void add(const char* table, const std::string& row, std::string key, std::string message,
             std::string remedy) {
        problems_.push_back({table, row, std::move(key), std::move(message), std::move(remedy)});
    }

    void require_name(const char* table, const std::string& row) {
        if (row.empty()) {
            add(table, row, "", "has an empty name", "give the row a name");
        }
    }

    void require_plain(const char* table, const std::string& row, const std::string& key,
                       const std::string& id) {
        if (!is_plain_id(id)) {
            add(table, row, key, "has an id with characters other than letters, digits and '-._'",
                "rename it; the id is part of URLs and transaction ids");
        }
    }

    void check_route(const route_name& name, const route_row& row) {
        require_name("routes", name.str());
        require_plain("routes", name.str(), "", name.str());
        if (!document_.pools.contains(row.pool)) {
            add("routes", name.str(), "pool",
                "references the pool '" + row.pool.str() + "', which does not exist",
                "add the pool or reference an existing one");
        }
        for (const auto& organisation : row.organisations) {
            if (!document_.organisations.contains(organisation)) {
                add("routes", name.str(), "organisations",
                    "references the organisation '" + organisation.str() +
                        "', which does not exist",
                    "add the organisation or remove it from the route");
            }
        }
        if (row.open && !row.organisations.empty()) {
            add("routes", name.str(), "organisations",
                "is set on an open route, which does not check keys",
                "remove the organisations or set open to false");
        }
        if (row.deadline_ms == 0 || row.deadline_ms > max_deadline_ms) {
            add("routes", name.str(), "deadline_ms", "is out of range", "use 1 to 3600000");
        }
    }

    void check_pool(const pool_name& name, const pool_row& row) {
        require_name("pools", name.str());
        if (row.groups.empty()) {
            add("pools", name.str(), "groups", "has no database group", "add at least one group");
        }
        for (const auto& [group, members] : row.groups) {
            check_group(name, group, members);
        }
    }

    void check_group(const pool_name& pool, const group_id& group, const group_row& row) {
        const auto key = "groups." + group.str();
        if (group.empty()) {
            add("pools", pool.str(), key, "has an empty id", "give the group an id");
        }
        require_plain("pools", pool.str(), key, group.str());
        if (!groups_.insert(group).second) {
            add("pools", pool.str(), key, "is also a group of another pool",
                "choose a group id that is unique over all pools");
        }
        if (row.backend_servers.empty()) {
            add("pools", pool.str(), key + ".backend_servers", "is empty",
                "add at least one backend server");
        }
        for (const auto& [id, server] : row.backend_servers) {
            check_server(pool, key + ".backend_servers." + id.str(), id, server);
        }
    }

    void check_server(const pool_name& pool, const std::string& key, const backend_server_id& id,
                      const backend_server_row& row) {
        const auto& table_row = pool.str();
        if (id.empty()) {
            add("pools", table_row, key, "has an empty id", "give the backend server an id");
        }
        require_plain("pools", table_row, key, id.str());
        if (!servers_.insert(id).second) {
            add("pools", table_row, key, "is also a backend server of another group",
                "choose a backend server id that is unique over all pools");
        }
        if (row.endpoint.port == 0) {
            add("pools", table_row, key + ".endpoint", "is missing", "set it to ADDRESS:PORT");
        } else if (!endpoints_.insert(row.endpoint).second) {
            add("pools", table_row, key + ".endpoint", "is also the endpoint of another server",
                "give each backend server its own endpoint");
        }
        if (row.place.region.empty() || row.place.domain.empty()) {
            add("pools", table_row, key + ".place", "is incomplete",
                "set region and failure_domain");
        }
        check_limits(table_row, key, row);
    }

    void check_limits(const std::string& pool, const std::string& key,
                      const backend_server_row& row) {
        if (row.slots == 0) {
            add("pools", pool, key + ".slots", "is 0, so no statement could run", "use at least 1");
        }
        if (row.connection_limit < min_connection_limit) {
            add("pools", pool, key + ".connection_limit",
                "is below " + std::to_string(min_connection_limit),
                "use at least 8: the owner VM opens half of (limit - 4)");
        }
        if (row.slots > row.connection_limit) {
            add("pools", pool, key + ".slots", "is above connection_limit",
                "lower the slots or raise connection_limit");
        }
    }

    void check_organisation(const organisation_id& name, const organisation_row& row) {
        require_name("organisations", name.str());
        if (!std::isfinite(row.rate) || row.rate <= 0 || row.rate > max_rate) {
            add("organisations", name.str(), "rate", "is out of range",
                "use requests per second above 0 and up to 100000000");
        }
        if (!std::isfinite(row.burst) || row.burst < 1 || row.burst > max_rate) {
            add("organisations", name.str(), "burst", "is out of range",
                "use 1 to 100000000 requests");
        }
        if (row.weight == 0) {
            add("organisations", name.str(), "weight", "is 0", "use at least 1");
        }
    }

    void check_key(const key_digest& digest, const key_row& row) {
        if (!is_digest(digest.str())) {
            add("keys", digest.str(), "", "is not a SHA-256 digest",
                "use 64 lower-case hexadecimal digits; `key give` makes a key with its digest");
        }
        if (!document_.organisations.contains(row.organisation)) {
            add("keys", digest.str(), "organisation",
                "references the organisation '" + row.organisation.str() +
                    "', which does not exist",
                "add the organisation or withdraw the key");
        }
    }

    static bool is_digest(const std::string& text) {
        return text.size() == digest_digits && std::all_of(text.begin(), text.end(), [](char c) {
                   return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
               });
    }

    const configuration_document& document_;
    std::vector<problem> problems_;
    std::set<group_id> groups_;
    std::set<backend_server_id> servers_;
    std::set<endpoint> endpoints_;
};

} // namespace

std::vector<problem> validate(const configuration_document& document) {
    return document_check{document}.run();
}

} // namespace jackdawvane
