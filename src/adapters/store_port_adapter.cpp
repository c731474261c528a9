#include "jackdawvane/adapters/store_port_adapter.hpp"

#include "jackdawvane/adapters/http_client.hpp"
#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace jackdawvane {

struct store_port_adapter::pending_call {
    request_id id;
    std::string body;
    duration timeout;
    std::chrono::steady_clock::time_point queued;
};

struct store_port_adapter::worker {
    std::unique_ptr<http_client> client;
    std::optional<pending_call> current;
};

store_port_adapter::store_port_adapter(boost::asio::io_context& context,
                                       store_port_settings settings, event_sink sink)
    : context_{context}, settings_{std::move(settings)}, sink_{std::move(sink)} {}

store_port_adapter::~store_port_adapter() = default;

void store_port_adapter::call(const store_request& request) {
    if (waiting_.size() >= settings_.queue_limit) {
        const auto id = request.id;
        boost::asio::post(context_, [this, id, alive = std::weak_ptr<bool>{alive_}] {
            if (!alive.expired()) {
                answer_unavailable(id);
            }
        });
        return;
    }
    waiting_.push_back({request.id, write_json(to_json(request)),
                        settings_.call_timeout + request.wait, std::chrono::steady_clock::now()});
    const auto idle = std::find_if(workers_.begin(), workers_.end(),
                                   [](const auto& each) { return !each->current; });
    if (idle != workers_.end()) {
        start_next(**idle);
    } else if (workers_.size() < settings_.connection_limit) {
        workers_.push_back(std::make_unique<worker>());
        start_next(*workers_.back());
    }
}

void store_port_adapter::start_next(worker& idle) {
    if (waiting_.empty()) {
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

void store_port_adapter::open(worker& idle) {
    http_client_settings client;
    client.remote = settings_.store;
    client.local_address = settings_.local_address;
    idle.client = std::make_unique<http_client>(context_, client);
    idle.client->connect([this, &idle](const result<void>& connected) {
        if (!connected) {
            finish(idle, {idle.current->id, store_status::unavailable, {}, 0, {}});
            return;
        }
        run(idle);
    });
}

void store_port_adapter::run(worker& busy) {
    const auto waited = std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() -
                                                             busy.current->queued);
    const auto left = std::max(busy.current->timeout - waited, duration{1});
    ++calls_;
    busy.client->on_idle_close([this, &busy](const std::string&) { drop_connection(busy); });
    busy.client->request("POST", "/store", std::move(busy.current->body), left,
                         [this, &busy](const result<http_answer>& received) {
                             store_answer answer;
                             if (received && received.value().status == 200) {
                                 const auto json = parse_json(received.value().body);
                                 auto decoded = json ? from_json<store_answer>(json.value())
                                                     : result<store_answer>{json.error()};
                                 if (decoded) {
                                     answer = std::move(decoded).value();
                                 }
                             }
                             const bool matches = answer.id == busy.current->id;
                             if (!matches) {
                                 answer = {busy.current->id, store_status::unavailable, {}, 0, {}};
                             }
                             finish(busy, answer);
                         });
}

void store_port_adapter::finish(worker& busy, const store_answer& answer) {
    busy.current.reset();
    if (answer.status == store_status::unavailable) {
        ++failures_;
        drop_connection(busy);
    }
    start_next(busy);
    sink_(answer);
}

void store_port_adapter::drop_connection(worker& broken) {
    broken.client.reset();
}

void store_port_adapter::answer_unavailable(request_id id) {
    ++failures_;
    sink_(store_answer{id, store_status::unavailable, {}, 0, {}});
}

} // namespace jackdawvane
