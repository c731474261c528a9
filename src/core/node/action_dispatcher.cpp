#include "jackdawvane/node/action_dispatcher.hpp"

namespace jackdawvane {

struct action_dispatcher::visitor {
    action_dispatcher& self;

    void operator()(const caller_answer& value) const { self.ports_.callers.answer(value); }
    void operator()(const open_connection& value) const { self.ports_.backends.open(value); }
    void operator()(const send_to_backend& value) const { self.ports_.backends.send(value); }
    void operator()(const close_connection& value) const { self.ports_.backends.close(value); }
    void operator()(const store_request& value) const { self.ports_.store.call(value); }
    void operator()(const send_to_peer& value) const { self.ports_.peers.send(value); }
    void operator()(const log_record& value) const { self.ports_.diagnostics.log(value); }
    void operator()(const measurement& value) const { self.ports_.diagnostics.measure(value); }
    void operator()(const jackdawvane::stopped& /*value*/) const { self.stopped_ = true; }
};

void action_dispatcher::dispatch(const actions& batch) {
    for (const auto& item : batch) {
        std::visit(visitor{*this}, item);
    }
}

} // namespace jackdawvane
