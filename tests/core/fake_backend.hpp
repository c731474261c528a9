#pragma once

#include "jackdawvane/foundation/time.hpp"
#include "jackdawvane/node/backend.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace jackdawvane {

/// @brief In-memory backend server: accept_term, promote, follow, status and writes.
class fake_backend {
  public:
    struct entry {
        term written;
        std::uint64_t payload{0};
        time_point at;
        friend bool operator==(const entry&, const entry&) = default;
    };

    bool alive{true};
    bool frozen{false};
    duration lag{0}; ///< Minimum age of the entries that it replicates.
    std::vector<entry> log;
    endpoint following;

    [[nodiscard]] backend_status status() const {
        backend_status made;
        made.role = role_;
        made.accepted_term = accepted_;
        made.position = log_position{log.size()};
        made.last_entry_term = log.empty() ? term{} : log.back().written;
        for (std::size_t i = 0; i < log.size(); ++i) {
            if (made.history.empty() || made.history.back().term != log[i].written) {
                made.history.push_back({log[i].written, log_position{i + 1}});
            }
        }
        return made;
    }

    /// @return whether the request was carried out; false is `fenced`
    bool run(const backend_request& request, time_point now) {
        using handler = bool (fake_backend::*)(const backend_request&, time_point);
        static const std::map<backend_operation, handler> handlers{
            {backend_operation::accept_term, &fake_backend::accept},
            {backend_operation::promote, &fake_backend::promote},
            {backend_operation::follow, &fake_backend::follow},
            {backend_operation::execute, &fake_backend::write}};
        const auto found = handlers.find(request.operation);
        return found == handlers.end() || (this->*found->second)(request, now);
    }

    /// @brief Restarts after a crash with its durable state.
    void restart() {
        alive = true;
        role_ = backend_role::replica;
        following = {};
    }

    void replicate_from(const fake_backend& primary, time_point now) {
        const bool same_term = primary.role_ == backend_role::primary &&
                               primary.accepted_ == accepted_ && role_ == backend_role::replica;
        if (!same_term) {
            return;
        }
        const auto differs =
            std::mismatch(log.begin(), log.end(), primary.log.begin(), primary.log.end());
        log.erase(differs.first, log.end());
        for (auto next = differs.second; next != primary.log.end() && next->at + lag <= now;
             ++next) {
            log.push_back(*next);
        }
    }

  private:
    bool accept(const backend_request& request, time_point /*now*/) {
        if (request.expected_term == accepted_) {
            return request.candidate == accepted_by_;
        }
        if (request.expected_term < accepted_) {
            return false;
        }
        accepted_ = request.expected_term;
        accepted_by_ = request.candidate;
        role_ = backend_role::replica;
        following = {};
        return true;
    }
    bool promote(const backend_request& request, time_point now) {
        if (request.expected_term != accepted_ || request.candidate != accepted_by_) {
            return false;
        }
        if (role_ != backend_role::primary) {
            role_ = backend_role::primary;
            log.push_back({accepted_, 0, now});
        }
        return true;
    }
    bool follow(const backend_request& request, time_point /*now*/) {
        const bool own_term = request.expected_term == accepted_ && role_ == backend_role::primary;
        if (request.expected_term < accepted_ || own_term) {
            return false;
        }
        if (request.expected_term > accepted_) {
            accepted_by_ = vm_id{};
        }
        accepted_ = request.expected_term;
        role_ = backend_role::replica;
        following = request.primary;
        return true;
    }
    bool write(const backend_request& request, time_point now) {
        if (role_ != backend_role::primary || request.expected_term != accepted_) {
            return false;
        }
        log.push_back({accepted_, request.after.value(), now});
        return true;
    }

    backend_role role_{backend_role::replica};
    term accepted_;
    vm_id accepted_by_;
};

} // namespace jackdawvane
