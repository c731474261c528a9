#include "programs/jackdawvanectl/operator_session.hpp"

#include <utility>

#include <charconv>
#include <stdexcept>
#include <thread>

#include "programs/jackdawvanectl/http.hpp"
#include <openssl/rand.h>

namespace jackdawvane::ctl {

namespace {

/// Longest time for one store call or status query.
constexpr duration call_timeout = std::chrono::seconds{3};

time_point present_time() {
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(elapsed)};
}

/// Revision in an id of the form `eREVISION-RANDOM`; 0 for another form.
revision revision_in(const edit_id& id) {
    const auto& text = id.str();
    std::uint64_t number{0};
    if (text.size() > 1 && text.front() == 'e') {
        std::from_chars(text.data() + 1, text.data() + text.size(), number);
    }
    return revision{number};
}

} // namespace

std::string random_hex(std::size_t bytes) {
    std::vector<unsigned char> drawn(bytes);
    if (RAND_bytes(drawn.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error{"no random bytes; check the OpenSSL installation"};
    }
    std::string text;
    for (const auto byte : drawn) {
        static constexpr std::string_view digits{"0123456789abcdef"};
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

operator_session::operator_session(endpoint store, std::string operator_name)
    : store_{std::move(store)}, operator_name_{std::move(operator_name)},
      random_{std::random_device{}()}, editor_{editor_settings{}, ids_, random_} {}

store_answer operator_session::call(const store_request& request) {
    auto lost = store_answer{request.id, store_status::unavailable, "", 0, {}};
    const auto body =
        exchange(store_, "POST", "/store", write_json(to_json(request)), call_timeout);
    if (!body) {
        return lost;
    }
    const auto json = parse_json(body.value());
    auto answer = json ? from_json<store_answer>(json.value()) : json.error();
    return answer ? std::move(answer).value() : lost;
}

result<configuration_document> operator_session::document() {
    store_request request;
    request.id = ids_.next();
    request.key = configuration_key;
    const auto answer = call(request);
    if (answer.status == store_status::unavailable) {
        return error{error_kind::store_unavailable, "the store does not answer", {}};
    }
    return parse_document(answer.value);
}

edit_outcome operator_session::submit(revision seen, std::vector<row_change> changes) {
    configuration_edit edit;
    edit.id = edit_id{"e" + std::to_string(seen.value()) + "-" + random_hex(8)};
    edit.operator_name = operator_name_;
    edit.changes = std::move(changes);
    actions out;
    editor_.submit(present_time(), std::move(edit), out);
    return run(std::move(out));
}

edit_outcome operator_session::settle(const edit_id& id) {
    actions out;
    editor_.settle(present_time(), id, revision_in(id), out);
    return run(std::move(out));
}

edit_outcome operator_session::run(actions out) {
    while (!editor_.outcome()) {
        for (const auto& wanted : std::exchange(out, {})) {
            if (const auto* const request = std::get_if<store_request>(&wanted)) {
                const auto answer = call(*request);
                editor_.on_store(present_time(), answer, out);
            }
        }
        if (out.empty() && !editor_.outcome()) {
            std::this_thread::sleep_for(editor_.next_deadline() - present_time());
            editor_.tick(present_time(), out);
        }
    }
    return *editor_.outcome();
}

result<std::vector<vm_entry>> operator_session::vms() {
    store_request request;
    request.id = ids_.next();
    request.operation = store_operation::list_vms;
    auto answer = call(request);
    if (answer.status != store_status::ok) {
        return error{error_kind::store_unavailable, "the store does not answer", {}};
    }
    return std::move(answer.vms);
}

result<Json::Value> operator_session::status_of(const vm_entry& vm) {
    const auto body = exchange(vm.caller, "GET", "/admin/status", "", call_timeout);
    if (!body) {
        return body.error();
    }
    return parse_json(body.value());
}

} // namespace jackdawvane::ctl
