#include "programs/jackdawvanectl/operator_session.hpp"

#include <utility>

#include <charconv>
#include <stdexcept>
#include <thread>

#include "programs/jackdawvanectl/http.hpp"
#include <openssl/rand.h>

namespace jackdawvane::ctl {

namespace {

/// Timeout of one store call or status query.
constexpr duration call_timeout = std::chrono::seconds{3};

time_point steady_now() {
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(elapsed)};
}

/// Parses the revision of an edit id of the form `eREVISION-RANDOM`; 0 for another form.
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
    std::vector<unsigned char> random_bytes(bytes);
    if (RAND_bytes(random_bytes.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error{"OpenSSL returned no random bytes; check its installation"};
    }
    std::string text;
    for (const auto byte : random_bytes) {
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
    auto no_answer = store_answer{request.id, store_status::unavailable, "", 0, {}};
    const auto body =
        send_request(store_, "POST", "/store", write_json(to_json(request)), call_timeout);
    if (!body) {
        return no_answer;
    }
    const auto json = parse_json(body.value());
    auto answer = json ? from_json<store_answer>(json.value()) : json.error();
    return answer ? std::move(answer).value() : no_answer;
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

edit_outcome operator_session::submit(revision base_revision, std::vector<row_change> changes) {
    configuration_edit edit;
    edit.id = edit_id{"e" + std::to_string(base_revision.value()) + "-" + random_hex(8)};
    edit.operator_name = operator_name_;
    edit.changes = std::move(changes);
    actions out;
    editor_.submit(steady_now(), std::move(edit), out);
    return run(std::move(out));
}

edit_outcome operator_session::settle(const edit_id& id) {
    actions out;
    editor_.settle(steady_now(), id, revision_in(id), out);
    return run(std::move(out));
}

edit_outcome operator_session::run(actions out) {
    while (!editor_.outcome()) {
        for (const auto& output : std::exchange(out, {})) {
            if (const auto* const request = std::get_if<store_request>(&output)) {
                const auto answer = call(*request);
                editor_.on_store(steady_now(), answer, out);
            }
        }
        if (out.empty() && !editor_.outcome()) {
            std::this_thread::sleep_for(editor_.next_deadline() - steady_now());
            editor_.tick(steady_now(), out);
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
    const auto body = send_request(vm.caller, "GET", "/admin/status", "", call_timeout);
    if (!body) {
        return body.error();
    }
    return parse_json(body.value());
}

} // namespace jackdawvane::ctl
