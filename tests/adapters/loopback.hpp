#pragma once

#include "jackdawvane/adapters/http_client.hpp"
#include "jackdawvane/adapters/http_server.hpp"
#include "jackdawvane/node/ports.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace jackdawvane::loopback {

/// Maximum time that a test waits for a condition; only a failing test reaches it.
constexpr auto patience = std::chrono::seconds{10};

/// Runs @a context until @a condition holds; false on a timeout.
inline bool run_until(boost::asio::io_context& context, const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + patience;
    context.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        context.run_one_for(std::chrono::milliseconds{20});
        if (context.stopped()) {
            context.restart();
        }
    }
    return true;
}

/// Runs @a context for a short time, for checks that something does not happen.
inline void run_briefly(boost::asio::io_context& context) {
    context.restart();
    context.run_for(std::chrono::milliseconds{60});
}

/// Events of one adapter, in order.
struct event_log {
    std::vector<event> events;

    std::function<void(event&&)> sink() {
        return [this](event&& each) { events.push_back(std::move(each)); };
    }
    template <class Event>
    [[nodiscard]] std::vector<Event> all() const {
        std::vector<Event> found;
        for (const auto& each : events) {
            if (const auto* matching = std::get_if<Event>(&each)) {
                found.push_back(*matching);
            }
        }
        return found;
    }
    template <class Event>
    [[nodiscard]] std::size_t count() const {
        return all<Event>().size();
    }
};

/// Client that sends one request and stores the answer.
struct caller {
    caller(boost::asio::io_context& context, const endpoint& remote,
           const std::string& local_address = {})
        : client{context, settings_of(remote, local_address)} {
        client.connect([](const result<void>&) {});
        run_until(context, [this] { return client.connected(); });
    }

    static http_client_settings settings_of(const endpoint& remote, const std::string& local) {
        http_client_settings settings;
        settings.remote = remote;
        settings.local_address = local;
        return settings;
    }

    void post(const std::string& target, const std::string& body) {
        answer.reset();
        client.request("POST", target, body, {},
                       [this](result<http_answer> got) { answer.emplace(std::move(got)); });
    }

    http_client client;
    std::optional<result<http_answer>> answer;
};

} // namespace jackdawvane::loopback
