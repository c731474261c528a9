#pragma once

#include "jackdawvane/configuration/configuration_replica.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/configuration_samples.hpp"

namespace jackdawvane {

/// Configuration replicas of a fleet whose VMs share narrow links, in virtual time. The store's
/// document carries no edits. Messages have the size of their text; a link delivers them in order.
struct spread_fleet {
    static constexpr std::size_t domain_count = 6;
    static constexpr double link_bytes_per_us = 1.25;   // 10 Mbit/s
    static constexpr double region_bytes_per_us = 3.75; // 30 Mbit/s
    static constexpr duration round_trip_half{std::chrono::milliseconds{15}};
    static constexpr std::uint64_t seed = 37;
    static constexpr duration step{std::chrono::milliseconds{1}};

    struct vm {
        std::size_t number;
        vm_entry entry;
        random_engine random{seed + number};
        id_sequence<request_id> ids{};
        configuration_replica replica;
        time_point uplink_free{};
        std::uint64_t sent_bytes{0};
        duration longest_queue{0}; ///< Longest wait of a message for the uplink.
        time_point in_force{no_deadline};
        bool alive{true};
        bool reaches_store{true};
        bool receives_messages{true};
        bool earlier_version{false}; ///< Knows only the messages of the earlier version.
        bool other_digests{false};   ///< Computes other digests than the other VMs.
        actions out{};

        vm(std::size_t index, vm_entry own)
            : number{index}, entry{std::move(own)}, replica{{entry.vm, entry.place.domain},
                                                            ids,
                                                            random} {}
    };
    struct in_flight {
        time_point due;
        std::size_t to;
        vm_id from;
        peer_message message;
    };
    struct watch {
        std::size_t vm;
        store_request request;
        time_point expires;
    };

    time_point now{};
    std::vector<std::unique_ptr<vm>> vms;
    std::vector<in_flight> messages;
    std::vector<watch> watches;
    configuration_document stored;
    std::string stored_text;
    std::uint64_t version{1};
    std::map<bool, time_point> region_free; ///< By direction.
    std::uint64_t region_bytes{0};
    std::uint64_t peer_bytes{0};

    spread_fleet(std::size_t size, std::size_t routes) {
        stored = sample_document();
        add_routes(routes);
        for (std::size_t i = 0; i < size; ++i) {
            vm_entry entry;
            entry.vm = vm_id{"vm-" + std::to_string(i)};
            const auto domain = i % domain_count;
            entry.place = {region_id{domain < domain_count / 2 ? "east" : "west"},
                           failure_domain_id{"d" + std::to_string(domain)}};
            vms.push_back(std::make_unique<vm>(i, entry));
        }
        // Every VM knows the first document, as after a start from the store.
        for (auto& each : vms) {
            configuration_difference first;
            first.document = stored;
            each->replica.on_difference(now, vm_id{}, first, each->out);
            each->out.clear();
        }
        tell_membership();
        run(std::chrono::seconds{1});
        reset();
    }

    void reset() {
        for (auto& each : vms) {
            each->sent_bytes = 0;
            each->longest_queue = duration{0};
            each->in_force = no_deadline;
        }
        region_bytes = peer_bytes = 0;
    }

    /// Adds routes without writing the document.
    void add_routes(std::size_t count) {
        const auto first = stored.routes.size();
        for (std::size_t i = first; i < first + count; ++i) {
            route_row row;
            row.pool = pool_name{"p"};
            row.deadline_ms = static_cast<std::uint32_t>(1000 + i % 7 * 100);
            row.max_staleness_ms = static_cast<std::uint32_t>(500 + i % 5 * 100);
            row.consistency = consistency_mode::bounded_staleness;
            row.priority = i % 4;
            // Names that don't compress well.
            const auto name = "r" + std::to_string(i * 2'654'435'761U % 4'294'967'291U);
            stored.routes[route_name{name}] = row;
        }
        stored_text = document_text(stored);
    }

    void write() {
        stored.revision = stored.revision.next();
        stored_text = document_text(stored);
        ++version;
    }

    void tell_membership() {
        std::vector<vm_entry> live;
        for (const auto& each : vms) {
            if (each->alive) {
                live.push_back(each->entry);
            }
        }
        for (const auto& each : vms) {
            each->replica.on_membership(now, live, each->out);
            take_actions(*each);
        }
    }

    void take_actions(vm& from) {
        for (auto& each : std::exchange(from.out, {})) {
            if (auto* const request = std::get_if<store_request>(&each)) {
                watches.push_back({from.number, *request, now + request->wait});
            } else if (auto* const sent = std::get_if<send_to_peer>(&each)) {
                if (from.earlier_version && is_unknown_to_earlier(sent->message)) {
                    continue;
                }
                transmit(from, *sent);
            }
        }
    }

    [[nodiscard]] static bool is_unknown_to_earlier(const peer_message& message) {
        return std::holds_alternative<configuration_request>(message) ||
               std::holds_alternative<configuration_part>(message);
    }

    void transmit(vm& from, const send_to_peer& sent) {
        const auto found = std::find_if(
            vms.begin(), vms.end(), [&](const auto& each) { return each->entry.vm == sent.vm; });
        auto& to = **found;
        const auto bytes = static_cast<double>(size_of(sent.message));
        const auto begins = std::max(now, from.uplink_free);
        from.longest_queue = std::max(from.longest_queue, begins - now);
        from.uplink_free = begins + duration{static_cast<duration::rep>(bytes / link_bytes_per_us)};
        from.sent_bytes += static_cast<std::uint64_t>(bytes);
        peer_bytes += static_cast<std::uint64_t>(bytes);
        auto arrives = from.uplink_free + round_trip_half;
        if (from.entry.place.region != to.entry.place.region) {
            auto& border = region_free[from.number % domain_count < domain_count / 2];
            border = std::max(border, from.uplink_free) +
                     duration{static_cast<duration::rep>(bytes / region_bytes_per_us)};
            arrives = border + round_trip_half;
            region_bytes += static_cast<std::uint64_t>(bytes);
        }
        messages.push_back({arrives, to.number, from.entry.vm, sent.message});
    }

    /// The whole document is written once: its text is long.
    [[nodiscard]] std::size_t size_of(const peer_message& message) {
        const auto* const whole = std::get_if<configuration_difference>(&message);
        if (whole == nullptr || !whole->document) {
            return write_json(encode(message)).size();
        }
        auto& size = document_sizes_[whole->document->revision.value()];
        size = size == 0 ? write_json(encode(message)).size() : size;
        return size;
    }

    void deliver(const in_flight& sent) {
        auto& to = *vms[sent.to];
        if (to.alive && to.receives_messages &&
            !(to.earlier_version && is_unknown_to_earlier(sent.message))) {
            receive(to, sent.from, sent.message);
        }
    }

    void receive(vm& to, const vm_id& from, const peer_message& message) {
        auto& replica = to.replica;
        if (const auto* const a = std::get_if<configuration_announce>(&message)) {
            replica.on_announce(now, from, *a, to.out);
        } else if (const auto* const p = std::get_if<configuration_pull>(&message)) {
            replica.on_pull(now, from, *p, to.out);
        } else if (const auto* const r = std::get_if<configuration_request>(&message)) {
            replica.on_request(now, from, *r, to.out);
        } else if (const auto* const part = std::get_if<configuration_part>(&message)) {
            auto received = *part;
            if (to.other_digests) {
                received.digest = content_digest{received.digest.value() + 1};
            }
            replica.on_part(now, from, received, to.out);
        } else if (const auto* const d = std::get_if<configuration_difference>(&message)) {
            replica.on_difference(now, from, *d, to.out);
        }
    }

    void answer_watches() {
        for (const auto& each : std::exchange(watches, {})) {
            const bool changed = version > each.request.version && vms[each.vm]->reaches_store;
            if (!changed && now < each.expires) {
                watches.push_back(each);
                continue;
            }
            auto& to = *vms[each.vm];
            if (to.alive) {
                to.replica.on_store(
                    now,
                    to.reaches_store
                        ? store_answer{each.request.id, store_status::ok, stored_text, version, {}}
                        : store_answer{each.request.id, store_status::unavailable, "", 0, {}},
                    to.out);
            }
        }
    }

    /// Each VM probes one other every 200 ms, as the membership does.
    void probe() {
        const auto tick = now.time_since_epoch() / step;
        for (auto& each : vms) {
            if (tick % 200 != static_cast<std::int64_t>(each->number * 3 % 200)) {
                continue;
            }
            auto& to =
                *vms[(each->number + static_cast<std::size_t>(tick / 200) * 7 + 1) % vms.size()];
            if (to.alive && to.receives_messages && each->alive && &to != each.get()) {
                to.replica.on_peer_revision(now, each->entry.vm, each->replica.present(), to.out);
            }
        }
    }

    void run(duration length) {
        for (const auto end = now + length; now < end; now += step) {
            std::vector<in_flight> due;
            const auto later =
                std::stable_partition(messages.begin(), messages.end(),
                                      [&](const in_flight& each) { return each.due > now; });
            due.assign(later, messages.end());
            messages.erase(later, messages.end());
            std::stable_sort(due.begin(), due.end(),
                             [](const in_flight& a, const in_flight& b) { return a.due < b.due; });
            for (const auto& each : due) {
                deliver(each);
            }
            answer_watches();
            probe();
            for (auto& each : vms) {
                if (each->alive && now >= each->replica.next_deadline()) {
                    each->replica.tick(now, each->out);
                }
                take_actions(*each);
                if (each->in_force == no_deadline && each->replica.present() == stored.revision) {
                    each->in_force = now;
                }
            }
        }
    }

    [[nodiscard]] std::size_t behind() const {
        return static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(), [&](const auto& each) {
                return each->alive && each->replica.present() != stored.revision;
            }));
    }
    /// Live VMs that have other rows in force than the store.
    [[nodiscard]] std::size_t with_other_rows() const {
        return static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(), [&](const auto& each) {
                return each->alive && !changed_rows(stored, *each->replica.document()).empty();
            }));
    }
    [[nodiscard]] std::uint64_t most_sent() const {
        std::uint64_t most = 0;
        for (const auto& each : vms) {
            most = std::max(most, each->sent_bytes);
        }
        return most;
    }
    [[nodiscard]] duration longest_queue() const {
        duration longest{0};
        for (const auto& each : vms) {
            longest = std::max(longest, each->longest_queue);
        }
        return longest;
    }

  private:
    std::map<std::uint64_t, std::size_t> document_sizes_;
};

} // namespace jackdawvane
