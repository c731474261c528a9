#include "programs/jackdawvane-limits/world.hpp"

#include <algorithm>
#include <chrono>
#include <random>

namespace jackdawvane::limits {

namespace {

constexpr duration same_domain_latency = std::chrono::microseconds{150};
constexpr duration cross_domain_latency = std::chrono::microseconds{500};
constexpr duration cross_region_latency = std::chrono::milliseconds{8};
/// Upper bound of the random delay per message that stands for scheduling and queueing.
constexpr duration max_jitter = std::chrono::microseconds{300};
constexpr duration store_timeout = std::chrono::seconds{1};
/// The store is in the first failure domain.
constexpr std::size_t store_slot = 0;
/// Size of the JSON-RPC envelope of an encoded message.
constexpr std::size_t envelope_bytes = 55;

} // namespace

void simulation::after(duration delay, std::function<void()> work) {
    queue_.emplace(std::pair{now_ + delay, ++sequence_}, std::move(work));
}

void simulation::run() {
    const auto end = time_point{scenario_.length};
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key().first;
        next.mapped()();
    }
    queue_.clear();
}

void simulation::send(std::size_t from, std::size_t to, std::size_t size,
                      std::function<void()> on_arrival) {
    ++messages;
    bytes += size + envelope_bytes;
    if (!partitioned(from, to)) {
        after(latency(from, to), std::move(on_arrival));
    }
}

void simulation::call(std::size_t from, const store_request& request,
                      std::function<void(const store_answer&)> on_answer) {
    ++store_calls;
    if (scenario_.store_outage.covers(now_) || partitioned(from, store_slot)) {
        after(store_timeout, [request, on_answer = std::move(on_answer)] {
            on_answer({request.id, store_status::unavailable, {}, 0, {}});
        });
        return;
    }
    const auto return_latency = latency(store_slot, from);
    after(latency(from, store_slot),
          [this, request, return_latency, on_answer = std::move(on_answer)] {
              after(return_latency, [answer = perform(request), on_answer] { on_answer(answer); });
          });
}

std::size_t simulation::serving_slot(std::size_t slot) const noexcept {
    for (std::size_t i = 0; i < vm_count && !present_[slot]; ++i) {
        slot = (slot + 1) % vm_count;
    }
    return slot;
}

store_answer simulation::perform(const store_request& request) {
    store_answer answer{request.id, store_status::ok, {}, 0, {}};
    if (request.operation == store_operation::renew_lease) {
        leases_[request.key] = {request.value, now_ + request.lease};
    } else if (request.operation == store_operation::release_lease) {
        leases_.erase(request.key);
    } else if (request.key.starts_with("vms/")) {
        const auto found = leases_.find(request.key);
        const bool held = found != leases_.end() && found->second.end > now_;
        answer.status = held ? store_status::ok : store_status::not_found;
        answer.value = held ? found->second.text : "";
    } else {
        access(request, answer);
    }
    return answer;
}

void simulation::access(const store_request& request, store_answer& answer) {
    auto& stored = values_[request.key];
    if (request.operation == store_operation::compare_and_swap) {
        if (request.version == stored.version) {
            stored.text = request.value;
            ++stored.version;
        } else {
            answer.status = store_status::conflict;
        }
    } else if (stored.version == 0) {
        answer.status = store_status::not_found;
    }
    answer.value = stored.text;
    answer.version = stored.version;
}

duration simulation::latency(std::size_t from, std::size_t to) {
    std::uniform_int_distribution<duration::rep> extra{0, max_jitter.count()};
    const auto a = domain_of(from);
    const auto b = domain_of(to);
    const auto distant = domain_count - 1;
    auto base = a == b ? same_domain_latency : cross_domain_latency;
    if (a != b && (a == distant || b == distant)) {
        base = cross_region_latency;
    }
    return base + duration{extra(random_)};
}

bool simulation::partitioned(std::size_t from, std::size_t to) const noexcept {
    const auto isolated = domain_count - 1;
    return scenario_.domain_partition.covers(now_) &&
           (domain_of(from) == isolated) != (domain_of(to) == isolated);
}

} // namespace jackdawvane::limits
