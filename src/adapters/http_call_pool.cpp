#include "jackdawvane/adapters/http_call_pool.hpp"

#include <utility>

#include <algorithm>
#include <chrono>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace jackdawvane {

struct http_call_pool::pending_call {
    http_call call;
    callback done;
    std::chrono::steady_clock::time_point queued;
};

struct http_call_pool::worker {
    std::unique_ptr<http_client> client;
    std::optional<pending_call> current;
};

http_call_pool::http_call_pool(boost::asio::io_context& context, http_call_pool_settings settings)
    : context_{context}, settings_{std::move(settings)} {}

http_call_pool::~http_call_pool() = default;

void http_call_pool::submit(http_call call, callback done) {
    if (waiting_.size() >= settings_.queue_limit) {
        boost::asio::post(context_, [done = std::move(done), alive = std::weak_ptr<bool>{alive_}] {
            if (!alive.expired()) {
                done(error{error_kind::queue_full, "too many calls wait for a connection", {}});
            }
        });
        return;
    }
    waiting_.push_back({std::move(call), std::move(done), std::chrono::steady_clock::now()});
    const auto idle = std::find_if(workers_.begin(), workers_.end(),
                                   [](const auto& each) { return !each->current; });
    if (idle != workers_.end()) {
        start_next(**idle);
    } else if (workers_.size() < settings_.connection_limit) {
        workers_.push_back(std::make_unique<worker>());
        start_next(*workers_.back());
    }
}

void http_call_pool::redirect(const endpoint& remote) {
    settings_.remote = remote;
    for (const auto& each : workers_) {
        if (!each->current) {
            each->client.reset();
        }
    }
}

void http_call_pool::start_next(worker& idle) {
    if (waiting_.empty() || idle.current) {
        return;
    }
    idle.current = std::move(waiting_.front());
    waiting_.pop_front();
    if (idle.client) {
        run(idle);
    } else {
        open(idle);
    }
}

void http_call_pool::open(worker& idle) {
    http_client_settings client;
    client.remote = settings_.remote;
    client.local_address = settings_.local_address;
    idle.client = std::make_unique<http_client>(context_, client);
    idle.client->connect([this, &idle](const result<void>& connected) {
        if (!connected) {
            finish(idle, connected.error());
            return;
        }
        run(idle);
    });
}

void http_call_pool::run(worker& busy) {
    auto& call = busy.current->call;
    const auto waited = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() -
                                                             busy.current->queued);
    const auto left = std::max(call.timeout - waited, duration{1});
    ++calls_;
    busy.client->on_idle_close([&busy](const std::string&) { busy.client.reset(); });
    busy.client->request(
        call.method, call.target, std::move(call.body), left,
        [this, &busy](const result<http_answer>& received) { finish(busy, received); },
        call.headers);
}

void http_call_pool::finish(worker& busy, const result<http_answer>& answer) {
    const auto done = std::move(busy.current->done);
    busy.current.reset();
    const bool closed = !answer; // An error has closed the connection.
    if (closed || settings_.connection_per_call) {
        busy.client.reset();
    }
    start_next(busy);
    done(answer);
}

} // namespace jackdawvane
