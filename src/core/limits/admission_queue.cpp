#include "jackdawvane/limits/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <random>

namespace jackdawvane {

namespace {

/// Time constant of the decaying count of served requests.
constexpr double served_seconds = 0.5;
constexpr double microseconds_per_second = 1e6;
/// Part of the remaining time that the expected wait may not use. Without it the queue fills up to
/// the limit of the estimate, and 4% of the requests expired in it at twice the load.
constexpr int wait_margin_divisor = 8;
constexpr duration shortest_retry = std::chrono::milliseconds{1};
/// Rounding errors in sums of the lower classes' share must not delay their turn by one.
constexpr double rounding = 1e-9;

double seconds(duration value) noexcept {
    return static_cast<double>(value.count()) / microseconds_per_second;
}

duration from_seconds(double value) noexcept {
    constexpr double longest = 1e6;
    return duration{static_cast<duration::rep>(std::min(value, longest) * microseconds_per_second)};
}

} // namespace

std::size_t admission_queue::class_of(std::uint32_t priority) noexcept {
    return std::min<std::size_t>(priority, classes - 1);
}

std::size_t admission_queue::size_of_class(std::size_t index) const noexcept {
    return index < classes ? sizes_.at(index) : 0;
}

time_point admission_queue::next_deadline() const noexcept {
    if (!expired_.empty()) {
        return time_point::min();
    }
    return deadlines_.empty() ? no_deadline : deadlines_.begin()->first;
}

/// Entries of the same class that are served before @a entry: those of its own organisation with an
/// earlier deadline, and of each other organisation as many as their weights allow meanwhile.
double admission_queue::entries_ahead(const class_queue& own, const admission_entry& entry) const {
    double earlier{0};
    if (const auto same = own.organisations.find(entry.organisation);
        same != own.organisations.end()) {
        for (const auto& [key, each] : same->second.entries) {
            if (key.first > entry.deadline) {
                break;
            }
            ++earlier;
        }
    }
    const double rounds = (earlier + 1) / std::max(1U, entry.weight);
    double ahead = earlier;
    for (const auto& [organisation, each] : own.organisations) {
        if (organisation != entry.organisation) {
            ahead +=
                std::min(static_cast<double>(each.entries.size()), std::ceil(rounds * each.weight));
        }
    }
    return ahead;
}

/// Service that is left for the class while the higher classes arrive as they did, and at least the
/// share that it is promised.
double admission_queue::rate_of_class(time_point now, std::size_t index) const noexcept {
    double rest = service_rate_;
    for (std::size_t i = 0; i < classes; ++i) {
        if (i < index) {
            rest -= served_rate(now, i);
        } else if (i > index && sizes_.at(i) > 0) {
            rest -= service_rate_ * settings_.lower_class_share;
        }
    }
    return std::max(rest, service_rate_ * settings_.lower_class_share);
}

duration admission_queue::expected_wait(time_point now, const admission_entry& entry) const {
    if (service_rate_ <= 0) {
        return duration{0};
    }
    const auto index = class_of(entry.priority);
    const double own = entries_ahead(classes_.at(index), entry) + 1;
    const auto higher =
        std::accumulate(sizes_.begin(), sizes_.begin() + static_cast<std::ptrdiff_t>(index), 0.0);
    const double by_order = (higher + own) / rate_of_class(now, index);
    if (index == 0) {
        return from_seconds(by_order);
    }
    return from_seconds(std::min(by_order, own / (service_rate_ * settings_.lower_class_share)));
}

bool admission_queue::can_serve(time_point now, const admission_entry& entry) const {
    if (entry.deadline <= now) {
        return false;
    }
    const auto& own = classes_.at(class_of(entry.priority)).organisations;
    const auto same = own.find(entry.organisation);
    if (same != own.end() && same->second.entries.size() >= settings_.limit) {
        return false;
    }
    const auto room = entry.deadline - now;
    return expected_wait(now, entry) <= room - room / wait_margin_divisor;
}

bool admission_queue::push(const admission_entry& entry) {
    const auto index = class_of(entry.priority);
    auto& target = classes_.at(index);
    const auto found = target.organisations.find(entry.organisation);
    const bool full =
        found != target.organisations.end() && found->second.entries.size() >= settings_.limit;
    if (full || settings_.limit == 0 || index_.contains(entry.id)) {
        return false;
    }
    auto& own = target.organisations[entry.organisation];
    own.weight = std::max(1U, entry.weight);
    if (own.entries.empty()) {
        target.turns.push_back(entry.organisation);
        own.turn = std::prev(target.turns.end());
    }
    const order key{entry.deadline, entry.id};
    own.entries.emplace(key, entry);
    index_.emplace(entry.id, place{index, entry.organisation, entry.deadline});
    deadlines_.insert(key);
    ++sizes_.at(index);
    return true;
}

/// The highest lower class that is owed a whole turn, else the highest class with entries.
std::size_t admission_queue::next_class() const noexcept {
    std::size_t first = classes;
    for (std::size_t i = 0; i < classes; ++i) {
        if (sizes_.at(i) == 0) {
            continue;
        }
        if (first == classes) {
            first = i;
        } else if (classes_.at(i).credit + rounding >= 1) {
            return i;
        }
    }
    return first;
}

/// Each turn of another class adds the promised share to the classes that wait.
void admission_queue::settle_credits(std::size_t served) noexcept {
    for (std::size_t i = 0; i < classes; ++i) {
        auto& credit = classes_.at(i).credit;
        if (sizes_.at(i) == 0) {
            credit = 0;
        } else if (i == served) {
            credit = std::max(0.0, credit - 1);
        } else {
            credit = std::min(1.0, credit + settings_.lower_class_share);
        }
    }
}

void admission_queue::record_served(time_point now, std::uint32_t priority) {
    count_served(now, class_of(priority));
}

void admission_queue::count_served(time_point now, std::size_t index) noexcept {
    auto& own = classes_.at(index);
    own.served = served_rate(now, index) * served_seconds + 1;
    own.served_at = now;
}

double admission_queue::served_rate(time_point now, std::size_t index) const noexcept {
    const auto& own = classes_.at(index);
    const auto age = std::max(duration{0}, now - own.served_at);
    return own.served / served_seconds * std::exp(-seconds(age) / served_seconds);
}

/// Deficit round robin: an organisation whose turn comes gains its weight as credit and is served
/// while it has credit.
admission_entry admission_queue::take_next(std::size_t index) {
    auto& from = classes_.at(index);
    const auto organisation = from.turns.front();
    auto& own = from.organisations.at(organisation);
    if (own.credit == 0) {
        own.credit = own.weight;
    }
    if (--own.credit == 0) {
        from.turns.splice(from.turns.end(), from.turns, from.turns.begin());
    }
    return extract(index, organisation, own.entries.begin()->first);
}

std::optional<admission_entry> admission_queue::pop(time_point now) {
    collect_expired(now);
    const auto index = next_class();
    if (index == classes) {
        return std::nullopt;
    }
    auto taken = take_next(index);
    settle_credits(index);
    count_served(now, index);
    return taken;
}

void admission_queue::collect_expired(time_point now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired_.push_back(*remove(deadlines_.begin()->second));
    }
}

std::vector<admission_entry> admission_queue::expire(time_point now) {
    collect_expired(now);
    return std::exchange(expired_, {});
}

std::optional<admission_entry> admission_queue::remove(request_id id) {
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return std::nullopt;
    }
    const auto at = found->second;
    return extract(at.index, at.organisation, {at.deadline, id});
}

admission_entry admission_queue::extract(std::size_t index, const organisation_id& organisation,
                                         order key) {
    auto& from = classes_.at(index);
    const auto own = from.organisations.find(organisation);
    const auto entry = own->second.entries.find(key);
    auto taken = std::move(entry->second);
    own->second.entries.erase(entry);
    if (own->second.entries.empty()) {
        from.turns.erase(own->second.turn);
        from.organisations.erase(own);
    }
    index_.erase(key.second);
    deadlines_.erase(key);
    --sizes_.at(index);
    return taken;
}

duration admission_queue::retry_after(time_point now, const admission_entry& entry,
                                      random_engine& random) {
    const auto index = class_of(entry.priority);
    auto& returns = classes_.at(index).returns_until;
    const auto queue = std::max(expected_wait(now, entry), shortest_retry);
    const auto wait = std::min(std::max(queue, returns - now), settings_.longest_retry);
    if (service_rate_ > 0) {
        returns = std::min(std::max(returns, now) + from_seconds(1 / rate_of_class(now, index)),
                           now + settings_.longest_retry);
    }
    std::uniform_int_distribution<duration::rep> jitter{0, wait.count()};
    return std::min(wait + duration{jitter(random)}, settings_.longest_retry);
}

} // namespace jackdawvane
