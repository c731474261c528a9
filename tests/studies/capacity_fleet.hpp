#pragma once

#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/node/node.hpp"

#include <utility>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/fake_backend.hpp"

namespace jackdawvane {

/// @brief Number and total bytes of the messages of one type.
struct traffic {
    std::uint64_t messages{0};
    std::uint64_t bytes{0};

    void add(std::size_t size) {
        ++messages;
        bytes += size;
    }
};

/// @brief Location of the VM or backend server with index @a i: 4 failure domains in 2 regions.
inline location capacity_location(std::size_t i) {
    const auto domain = i % 4;
    return {region_id{domain < 2 ? "guate-central" : "occidente"},
            failure_domain_id{"domain-" + std::to_string(domain)}};
}

/// @brief Directory entry of the VM with index @a i.
inline vm_entry capacity_vm(std::size_t i) {
    const auto address = "127.0.1." + std::to_string(1 + i / 200);
    const auto number = static_cast<std::uint16_t>(i);
    return {vm_id{"vm-" + std::to_string(i)},
            {address, static_cast<std::uint16_t>(9000 + number)},
            {address, static_cast<std::uint16_t>(8000 + number)},
            capacity_location(i),
            vm_state::live};
}

/// @brief Configuration with @a groups groups of 3 backend servers, at most 30 groups per pool, and
/// 8 organisations.
inline configuration_document capacity_configuration(std::size_t groups) {
    constexpr std::size_t groups_per_pool = 30;
    constexpr std::size_t organisations = 8;
    configuration_document document;
    document.revision = revision{1};
    for (std::size_t i = 0; i < groups; ++i) {
        const auto pool = "pool-" + std::to_string(i / groups_per_pool);
        document.routes[route_name{"route-" + std::to_string(i / groups_per_pool)}].pool =
            pool_name{pool};
        auto& group =
            document.pools[pool_name{pool}].groups[group_id{"group-" + std::to_string(i)}];
        for (std::size_t j = 0; j < 3; ++j) {
            backend_server_row row;
            row.endpoint = {"127.0.2." + std::to_string(1 + i / 200),
                            static_cast<std::uint16_t>(10'000 + 3 * i + j)};
            row.place = capacity_location(i + j);
            row.slots = 3;
            group.backend_servers[backend_server_id{"backend-" + std::to_string(3 * i + j)}] = row;
        }
    }
    for (std::size_t i = 0; i < organisations; ++i) {
        const organisation_id name{"organisation-" + std::to_string(i)};
        document.organisations[name] = {60, 60, 1};
        document.keys[key_digest{std::string(63, 'a') + std::to_string(i)}] = {name, "capacity"};
    }
    return document;
}

/// @brief Simulates complete nodes with fake backend servers and a store in virtual time.
class capacity_fleet {
  public:
    /// Bytes around the method and parameters of a peer message: its authentication seal, the
    /// JSON-RPC members and the line end.
    static constexpr std::size_t frame_bytes = 25 + 38 + 1;
    static constexpr std::size_t datagram_header_bytes = 28; ///< UDP and IP.
    static constexpr std::size_t stream_header_bytes = 52;   ///< TCP with timestamps and IP.
    /// Approximate, of a request or an answer.
    static constexpr std::size_t http_header_bytes = 150;

    std::map<std::string, traffic> peers;    ///< By message method.
    std::map<std::string, traffic> backends; ///< By operation, requests and answers.
    std::map<std::string, std::uint64_t> store_calls;
    std::uint64_t store_conflicts{0}; ///< Refused `compare_and_swap` calls since the start.
    bool count_bytes{true};           ///< Whether messages are encoded to count their bytes.

    capacity_fleet(std::size_t vms, std::size_t groups, std::uint64_t seed) {
        document_ = capacity_configuration(groups);
        values_["config"] = {write_json(to_json(document_)), 1, no_deadline};
        for (const auto& [pool, row] : document_.pools) {
            for (const auto& [group, members] : row.groups) {
                for (const auto& [id, entry] : members.backend_servers) {
                    servers_[id].endpoint = entry.endpoint;
                    by_endpoint_[entry.endpoint] = id;
                }
            }
        }
        for (std::size_t i = 0; i < vms; ++i) {
            vm_list_.push_back(capacity_vm(i));
        }
        nodes_.resize(vms);
        for (std::size_t i = 0; i < vms; ++i) {
            start(i, seed);
        }
    }

    /// @brief Runs the simulation for @a length of virtual time.
    void run(duration length) {
        const auto end = now_ + length;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            const auto next = queue_.extract(queue_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    /// @brief Number of nodes that have a configuration.
    [[nodiscard]] std::size_t ready() const {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(), [](const auto& n) { return n.instance->ready(); }));
    }

    /// @brief Number of owned backend servers, and of those with a confirmed term.
    [[nodiscard]] std::pair<std::size_t, std::size_t> owned() const {
        std::pair<std::size_t, std::size_t> counts{0, 0};
        for (const auto& n : nodes_) {
            const auto description = n.instance->describe();
            for (const auto& entry : description["backend_servers"]) {
                ++counts.first;
                counts.second += entry["term_confirmed"].asBool() ? 1 : 0;
            }
        }
        return counts;
    }

    void reset_counts() {
        peers.clear();
        backends.clear();
        store_calls.clear();
    }

  private:
    struct node {
        std::unique_ptr<node_interface> instance;
        time_point due{no_deadline};
        std::map<connection_id, backend_server_id> connections;
        actions out;
    };
    struct server {
        jackdawvane::endpoint endpoint;
        fake_backend database;
        std::uint32_t connections{0};
    };
    struct stored_value {
        std::string text;
        std::uint64_t version{0};
        time_point expiry{no_deadline};
    };

    static constexpr duration local_latency{500};
    static constexpr duration cross_region_latency{std::chrono::milliseconds{8}};
    static constexpr duration connect_latency{std::chrono::milliseconds{10}};

    void run_at(time_point when, std::function<void()> work) {
        queue_.emplace(when, std::move(work));
    }

    void start(std::size_t i, std::uint64_t seed) {
        node_settings settings;
        settings.self = vm_list_[i];
        settings.incarnation = vm_incarnation{1};
        settings.random_seed = seed * 10'000 + i;
        nodes_[i].instance = make_node(settings);
        vm_indexes_[vm_list_[i].vm] = i;
        const auto offset = from_milliseconds(static_cast<std::int64_t>(i * 7919 % 1000));
        run_at(now_ + offset, [this, i] { handle_event(i, timer_tick{}); });
    }

    void handle_event(std::size_t i, const event& what) {
        auto& n = nodes_[i];
        n.instance->handle(now_, what, n.out);
        for (auto& wanted : std::exchange(n.out, {})) {
            if (auto* sent = std::get_if<send_to_peer>(&wanted)) {
                deliver(i, std::move(*sent));
            } else if (auto* call = std::get_if<store_request>(&wanted)) {
                call_store(i, std::move(*call));
            } else if (auto* opened = std::get_if<open_connection>(&wanted)) {
                open(i, *opened);
            } else if (auto* request = std::get_if<send_to_backend>(&wanted)) {
                send_request(i, std::move(*request));
            } else if (auto* closed = std::get_if<close_connection>(&wanted)) {
                close(i, closed->connection);
            }
        }
        schedule(i);
    }

    void schedule(std::size_t i) {
        auto& n = nodes_[i];
        const auto due = std::max(now_, n.instance->next_deadline());
        if (due == n.due || due == no_deadline) {
            return;
        }
        n.due = due;
        run_at(due, [this, i, due] {
            if (nodes_[i].due == due) {
                nodes_[i].due = no_deadline;
                handle_event(i, timer_tick{});
            }
        });
    }

    // -- messages between VMs

    void deliver(std::size_t from, send_to_peer sent) {
        const auto found = vm_indexes_.find(sent.vm);
        if (count_bytes) {
            const std::string method{method_of(sent.message)};
            const auto headers = sent.channel == peer_channel::datagram ? datagram_header_bytes
                                                                        : stream_header_bytes;
            const auto size = write_json(encode(sent.message)).size() + method.size();
            peers[method].add(size + frame_bytes + headers);
        }
        if (found == vm_indexes_.end()) {
            return;
        }
        const auto to = found->second;
        const bool same_region = vm_list_[from].place.region == vm_list_[to].place.region;
        peer_received arrived{vm_list_[from].vm, vm_incarnation{1}, std::move(sent.message)};
        run_at(now_ + (same_region ? local_latency : cross_region_latency),
               [this, to, arrived = std::move(arrived)] { handle_event(to, arrived); });
    }

    // -- backend servers

    void open(std::size_t i, const open_connection& wanted) {
        nodes_[i].connections[wanted.connection] = wanted.backend;
        ++servers_.at(wanted.backend).connections;
        run_at(now_ + connect_latency, [this, i, id = wanted.connection] {
            if (nodes_[i].connections.contains(id)) {
                handle_event(i, backend_connected{id});
            }
        });
    }
    void close(std::size_t i, connection_id id) {
        const auto found = nodes_[i].connections.find(id);
        if (found != nodes_[i].connections.end()) {
            --servers_.at(found->second).connections;
            nodes_[i].connections.erase(found);
        }
    }
    void send_request(std::size_t i, send_to_backend sent) {
        if (!nodes_[i].connections.contains(sent.connection)) {
            return;
        }
        record_traffic(sent.request.operation, sent.request);
        run_at(now_ + local_latency, [this, i, sent = std::move(sent)] { run_request(i, sent); });
    }
    void run_request(std::size_t i, const send_to_backend& sent) {
        const auto found = nodes_[i].connections.find(sent.connection);
        if (found == nodes_[i].connections.end()) {
            return;
        }
        auto& target = servers_.at(found->second);
        const bool ran = target.database.run(sent.request, now_);
        if (sent.request.operation == backend_operation::follow && ran) {
            const auto primary = by_endpoint_.find(sent.request.primary);
            if (primary != by_endpoint_.end()) {
                target.database.replicate_from(servers_.at(primary->second).database, now_);
            }
        }
        const bool long_poll = sent.request.operation == backend_operation::status &&
                               target.database.status().position <= sent.request.after;
        const auto delay = long_poll ? sent.request.wait : duration{0};
        run_at(now_ + delay, [this, i, sent, ran] { send_answer(i, sent, ran); });
    }
    void send_answer(std::size_t i, const send_to_backend& sent, bool ran) {
        const auto found = nodes_[i].connections.find(sent.connection);
        if (found == nodes_[i].connections.end()) {
            return;
        }
        const auto& target = servers_.at(found->second);
        backend_answer reply;
        reply.id = sent.request.id;
        reply.status = target.database.status();
        reply.status.connections = target.connections;
        if (!ran) {
            reply.problem.kind = error_kind::fenced;
        }
        record_traffic(sent.request.operation, reply);
        run_at(now_ + local_latency, [this, i, id = sent.connection, reply = std::move(reply)] {
            if (nodes_[i].connections.contains(id)) {
                handle_event(i, backend_answered{id, reply});
            }
        });
    }
    template <class Message>
    void record_traffic(backend_operation operation, const Message& message) {
        if (count_bytes) {
            const auto size = write_json(to_json(message)).size();
            backends[to_json(operation).asString()].add(size + http_header_bytes +
                                                        stream_header_bytes);
        }
    }

    // -- store

    void call_store(std::size_t i, store_request request) {
        ++store_calls[to_json(request.operation).asString()];
        run_at(now_ + local_latency,
               [this, i, request = std::move(request)] { complete_call(i, request); });
    }
    void complete_call(std::size_t i, const store_request& request) {
        const bool list = request.operation == store_operation::list_vms;
        const auto version = list ? list_version : read(request.key).version;
        const bool long_poll = request.wait > duration{0} && version <= request.version;
        const auto reply = [this, i, request] {
            auto result = execute(request);
            result.id = request.id;
            run_at(now_ + local_latency,
                   [this, i, result = std::move(result)] { handle_event(i, result); });
        };
        if (long_poll) {
            run_at(now_ + request.wait, reply);
        } else {
            reply();
        }
    }
    store_answer read(const std::string& key) const {
        const auto found = values_.find(key);
        if (found == values_.end() || found->second.expiry <= now_) {
            return {{}, store_status::not_found, {}, 0, {}};
        }
        return {{}, store_status::ok, found->second.text, found->second.version, {}};
    }
    store_answer execute(const store_request& request) {
        auto present = read(request.key);
        switch (request.operation) {
        case store_operation::list_vms:
            return {{}, store_status::ok, {}, list_version, vm_list_};
        case store_operation::compare_and_swap:
            if (present.version != request.version) {
                ++store_conflicts;
                present.status = store_status::conflict;
                return present;
            }
            values_[request.key] = {request.value, present.version + 1, no_deadline};
            return read(request.key);
        case store_operation::renew_lease:
            values_[request.key] = {request.value, std::max<std::uint64_t>(1, present.version),
                                    now_ + request.lease};
            return read(request.key);
        case store_operation::release_lease:
            values_.erase(request.key);
            return present;
        case store_operation::read:
        case store_operation::watch:
        case store_operation::acquire_lease: // Used by session proxies, which are not simulated.
        case store_operation::keep_lease:
        case store_operation::list_backends:
            break;
        }
        return present;
    }

    static constexpr std::uint64_t list_version = 1;

    configuration_document document_;
    time_point now_{std::chrono::seconds{1}};
    std::multimap<time_point, std::function<void()>> queue_;
    std::vector<vm_entry> vm_list_;
    std::vector<node> nodes_;
    std::map<vm_id, std::size_t> vm_indexes_;
    std::map<backend_server_id, server> servers_;
    std::map<endpoint, backend_server_id> by_endpoint_;
    std::map<std::string, stored_value> values_;
};

} // namespace jackdawvane
