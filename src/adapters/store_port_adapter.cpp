#include "jackdawvane/adapters/store_port_adapter.hpp"

#include "jackdawvane/foundation/json_codec.hpp"

#include <utility>

namespace jackdawvane {

namespace {

http_call_pool_settings pool_settings(const store_port_settings& settings) {
    return {settings.store, settings.local_address, settings.connection_limit,
            settings.queue_limit};
}

} // namespace

store_port_adapter::store_port_adapter(boost::asio::io_context& context,
                                       store_port_settings settings, event_sink sink)
    : settings_{std::move(settings)}, sink_{std::move(sink)}, pool_{context,
                                                                    pool_settings(settings_)} {}

store_port_adapter::~store_port_adapter() = default;

void store_port_adapter::call(const store_request& request) {
    http_call call;
    call.method = "POST";
    call.target = "/store";
    call.body = write_json(to_json(request));
    call.timeout = settings_.call_timeout + request.wait;
    pool_.submit(std::move(call), [this, id = request.id](const result<http_answer>& received) {
        handle_answer(id, received);
    });
}

void store_port_adapter::handle_answer(request_id id, const result<http_answer>& received) {
    store_answer answer;
    if (received && received.value().status == 200) {
        const auto json = parse_json(received.value().body);
        auto decoded =
            json ? from_json<store_answer>(json.value()) : result<store_answer>{json.error()};
        if (decoded) {
            answer = std::move(decoded).value();
        }
    }
    if (answer.id != id) {
        answer = {id, store_status::unavailable, {}, 0, {}};
    }
    if (answer.status == store_status::unavailable) {
        ++failures_;
    }
    sink_(answer);
}

} // namespace jackdawvane
