#pragma once

#include "jackdawvane/membership/membership.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace jackdawvane {

/// Simulated fleet of membership instances with a VM list, in virtual time and with fixed seeds.
class membership_fleet {
  public:
    struct node {
        vm_entry entry;
        vm_incarnation incarnation;
        random_engine random;
        id_sequence<request_id> ids;
        std::unique_ptr<membership> protocol;
        bool up{true};
        bool paused{false};
        bool pause_detected{false};
        time_point due{time_point::max()};
        std::vector<std::function<void(node&)>> deferred; ///< Events that arrived during a pause.
        std::uint64_t messages{0};
        std::uint64_t bytes{0};
    };

    static constexpr duration near{std::chrono::microseconds{500}};
    static constexpr duration far{std::chrono::milliseconds{8}};
    /// JSON-RPC frame of the daemon (100 bytes) plus UDP and IP headers (28 bytes).
    static constexpr std::size_t overhead = 100 + 28;

    time_point now{};
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<vm_entry> list;
    std::uint64_t list_version{1};
    double loss{0};
    std::function<bool(const node&, const node&)> cut{[](auto&, auto&) { return false; }};
    std::function<bool(const node&)> store_reached{[](auto&) { return true; }};
    std::uint64_t store_calls{0};
    std::size_t largest_datagram{0};
    std::size_t suspicions{0}; ///< Raised by failed probes.

    membership_fleet(std::size_t size, std::size_t domains, std::uint64_t seed)
        : domains_{domains}, seed_{seed}, random_{seed} {
        for (std::size_t i = 0; i < size; ++i) {
            list.push_back(entry_for(i));
        }
        for (std::size_t i = 0; i < size; ++i) {
            add(i);
        }
    }

    [[nodiscard]] vm_entry entry_for(std::size_t i) const {
        vm_entry entry;
        const auto domain = i % domains_;
        entry.vm = vm_id{"vm-" + std::to_string(i)};
        entry.peer = {"127.0.0." + std::to_string(1 + i / 200),
                      static_cast<std::uint16_t>(9000 + i)};
        entry.caller = {entry.peer.address, static_cast<std::uint16_t>(8000 + i)};
        entry.place = {region_id{domain % 2 == 0 ? "guate-central" : "occidente"},
                       failure_domain_id{"villa-nueva-" + std::to_string(domain)}};
        return entry;
    }

    node& add(std::size_t i, std::vector<endpoint> seeds = {}, std::uint64_t incarnation = 1,
              std::uint16_t port_shift = 0) {
        auto added = std::make_unique<node>();
        added->entry = entry_for(i);
        added->entry.peer.port = static_cast<std::uint16_t>(added->entry.peer.port + port_shift);
        added->incarnation = vm_incarnation{incarnation};
        added->random.seed(seed_ * 1000 + i + incarnation);
        membership_settings settings;
        settings.self = added->entry;
        settings.incarnation = added->incarnation;
        settings.seeds = std::move(seeds);
        added->protocol = std::make_unique<membership>(settings, added->ids, added->random);
        nodes.push_back(std::move(added));
        auto& placed = *nodes.back();
        by_port_[placed.entry.peer] = &placed;
        schedule(placed, now + duration{static_cast<std::int64_t>(random_() % 200'000)});
        return placed;
    }

    node& of(std::size_t i) { return *nodes[i]; }

    /// Runs until @a length has passed.
    void run(duration length) {
        const auto end = now + length;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto task = std::move(queue_.begin()->second);
            now = queue_.begin()->first;
            queue_.erase(queue_.begin());
            task();
        }
        now = end;
    }

    /// Runs until @a reached holds or @a limit has passed; returns the time that it took.
    duration time_until(duration limit, const std::function<bool()>& reached,
                        duration step = std::chrono::milliseconds{20}) {
        const auto begin = now;
        while (now - begin < limit && !reached()) {
            run(step);
        }
        return now - begin;
    }

    /// Delivers an event to a node that is up, or defers it while the node is paused.
    void deliver(node& to, const std::function<void(node&)>& handler) {
        if (to.paused) {
            to.deferred.push_back(handler);
            return;
        }
        if (to.up) {
            to.pause_detected = to.protocol->paused_since_last_event(now) || to.pause_detected;
            handler(to);
            execute_actions(to);
        }
    }
    void invoke(node& on, const std::function<void(membership&, actions&)>& call) {
        deliver(on, [this, call](node& n) { call(*n.protocol, out_); });
    }
    void resume(node& paused) {
        paused.paused = false;
        deliver(paused, [this](node& n) { n.protocol->tick(now, out_); });
        for (const auto& late : std::exchange(paused.deferred, {})) {
            deliver(paused, late);
        }
    }

    /// State of node @a about in the view of node @a by; nothing if it is not live there.
    static std::optional<vm_state> view(const node& by, const vm_id& about) {
        const auto& live = by.protocol->live();
        const auto found = std::lower_bound(
            live.begin(), live.end(), about,
            [](const vm_entry& entry, const vm_id& wanted) { return entry.vm < wanted; });
        const bool present = found != live.end() && found->vm == about;
        return present ? std::optional{found->state} : std::nullopt;
    }
    /// Whether @a about has the state @a wanted in the view of all other nodes that are up.
    [[nodiscard]] bool all_view(const node& about, std::optional<vm_state> wanted) const {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& n) {
            return !n->up || n.get() == &about || view(*n, about.entry.vm) == wanted;
        });
    }
    /// Whether each node that is up has as many live VMs in its view as there are nodes up.
    [[nodiscard]] bool settled() const {
        const auto up = static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [](const auto& n) { return n->up; }));
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& n) {
            return !n->up || n->protocol->live().size() == up;
        });
    }
    void change_list(const std::function<void(std::vector<vm_entry>&)>& change) {
        change(list);
        ++list_version;
        for (auto& answer : std::exchange(long_polls_, {})) {
            answer();
        }
    }

  private:
    void schedule(node& n, time_point due) {
        if (due >= n.due) {
            return;
        }
        n.due = due;
        queue_.emplace(due, [this, &n, due] {
            if (n.due != due) {
                return;
            }
            n.due = time_point::max();
            if (n.up && !n.paused) {
                deliver(n, [this](node& ticked) { ticked.protocol->tick(now, out_); });
            }
        });
    }
    void execute_actions(node& n) {
        for (auto& wanted : std::exchange(out_, {})) {
            if (auto* const sent = std::get_if<send_to_peer>(&wanted)) {
                transmit(n, *sent);
            } else if (auto* const call = std::get_if<store_request>(&wanted)) {
                call_store(n, *call);
            } else if (const auto* const line = std::get_if<log_record>(&wanted)) {
                suspicions += line->text.ends_with("now suspect") ? 1 : 0;
            }
        }
        schedule(n, std::max(now, n.protocol->next_deadline()));
    }
    void transmit(node& from, const send_to_peer& sent) {
        const auto size = write_json(encode(sent.message)).size() + overhead;
        largest_datagram = std::max(largest_datagram, size);
        ++from.messages;
        from.bytes += size;
        const auto found = by_port_.find(sent.endpoint);
        if (found == by_port_.end() || !found->second->up || cut(from, *found->second) ||
            std::uniform_real_distribution<>{}(random_) < loss) {
            return;
        }
        auto& to = *found->second;
        const auto probe = std::get<membership_probe>(sent.message);
        const auto latency = from.entry.place.region == to.entry.place.region ? near : far;
        queue_.emplace(now + latency,
                       [this, &to, probe, vm = from.entry.vm, incarnation = from.incarnation] {
                           deliver(to, [this, probe, vm, incarnation](node& n) {
                               n.protocol->on_probe(now, vm, incarnation, probe, out_);
                           });
                       });
    }
    void call_store(node& n, const store_request& request) {
        ++store_calls;
        const auto answer = [this, &n, request] {
            store_answer reply{request.id, store_status::ok, "", list_version, list};
            if (!store_reached(n)) {
                reply = {request.id, store_status::unavailable, "", 0, {}};
            }
            queue_.emplace(now + near, [this, &n, reply] {
                deliver(n, [this, reply](node& at) { at.protocol->on_store(now, reply, out_); });
            });
        };
        if (request.wait > duration{0} && request.version >= list_version && store_reached(n)) {
            queue_.emplace(now + request.wait, answer);
            long_polls_.push_back(answer);
            return;
        }
        queue_.emplace(now + near, answer);
    }

    std::size_t domains_;
    std::uint64_t seed_;
    random_engine random_;
    std::multimap<time_point, std::function<void()>> queue_;
    std::vector<std::function<void()>> long_polls_;
    std::map<endpoint, node*> by_port_;
    actions out_;
};

} // namespace jackdawvane
