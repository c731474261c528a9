// Measures the resource use of a fleet without traffic, of a configuration by its size, and of the
// messages of a forwarded request.
//
// usage: capacity_study fleet [VMS]...             messages, bytes, store calls, processor time
//        capacity_study configuration [BACKENDS]... document size, memory, decoding, placement
//        capacity_study messages                    size and codec time of a forwarded request

#include "jackdawvane/backends/owned_backends.hpp"
#include "jackdawvane/configuration/configuration_rules.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>

#include "studies/capacity_fleet.hpp"
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace jackdawvane;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 42;

/// Longer than the about 75 s after a start in which holders of rate shares correct each other's
/// records.
constexpr auto settling = seconds{120};

/// Processor time of this process in seconds.
double processor_time() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto in_seconds = [](const timeval& value) {
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / 1e6;
    };
    return in_seconds(used.ru_utime) + in_seconds(used.ru_stime);
}

/// Resident memory of this process in bytes.
double resident() {
    std::ifstream file{"/proc/self/statm"};
    std::uint64_t total{0};
    std::uint64_t pages{0};
    file >> total >> pages;
    return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

traffic print(const char* kind, const std::map<std::string, traffic>& counts, double node_seconds) {
    traffic sum;
    for (const auto& [name, count] : counts) {
        const auto messages = static_cast<double>(count.messages);
        const auto bytes = static_cast<double>(count.bytes);
        std::cout << "  " << kind << ' ' << name << ": " << messages / node_seconds
                  << " messages/s, " << bytes / node_seconds << " B/s, " << bytes / messages
                  << " B each\n";
        sum.messages += count.messages;
        sum.bytes += count.bytes;
    }
    std::cout << "  " << kind << " sum: " << static_cast<double>(sum.messages) / node_seconds
              << " messages/s, " << static_cast<double>(sum.bytes) / node_seconds << " B/s\n";
    return sum;
}

void study_fleet(std::size_t vms) {
    constexpr double groups_per_vm = 0.8; // 1,900 backend servers in groups of 3 over 790 VMs
    const auto groups = static_cast<std::size_t>(groups_per_vm * static_cast<double>(vms) + 0.5);
    const auto memory_before = resident();
    capacity_fleet fleet{vms, groups, seed};
    fleet.run(settling);
    const auto start_calls = fleet.store_calls;
    const auto start_conflicts = fleet.store_conflicts;
    fleet.reset_counts();
    const auto length = seconds{30};
    const auto node_seconds = static_cast<double>(vms) * 30.0;
    fleet.run(length);
    const auto [owned, confirmed] = fleet.owned();
    std::cout << vms << " VMs, " << 3 * groups << " backend servers: ready " << fleet.ready()
              << ", owned " << owned << ", confirmed " << confirmed << "\n per node:\n";
    print("peer", fleet.peers, node_seconds);
    print("backend", fleet.backends, node_seconds);
    std::cout << " whole fleet, store calls/s:";
    double calls{0};
    for (const auto& [operation, number] : fleet.store_calls) {
        const auto rate = static_cast<double>(number) / 30.0;
        std::cout << ' ' << operation << ' ' << rate << ',';
        calls += rate;
    }
    std::cout << " sum " << calls << "\n whole fleet, store calls of the first 120 s:";
    for (const auto& [operation, number] : start_calls) {
        std::cout << ' ' << operation << ' ' << number << ',';
    }
    std::cout << " conflicts " << start_conflicts << '\n';
    const auto with_encoding_before = processor_time();
    fleet.run(length);
    const auto with_encoding = processor_time() - with_encoding_before;
    fleet.count_bytes = false;
    const auto without_encoding_before = processor_time();
    fleet.run(length);
    const auto without_encoding = processor_time() - without_encoding_before;
    std::cout << " processor time per node: " << 100 * without_encoding / node_seconds
              << "% of a core with harness, " << 100 * with_encoding / node_seconds
              << "% with encoding; memory of the process per VM "
              << (resident() - memory_before) / static_cast<double>(vms) / 1024 << " KiB"
              << std::endl;
}

/// Heap memory in use, in bytes. Unlike resident memory, it excludes memory that was freed.
double allocated() {
    const auto heap = mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

template <class Work>
double milliseconds_of(Work work) {
    const auto before = processor_time();
    work();
    return 1e3 * (processor_time() - before);
}

configuration_edit edit_of(const char* table, const std::string& row, Json::Value content) {
    configuration_edit edit;
    edit.id = edit_id{"edit-0123456789"};
    edit.revision = revision{1};
    edit.operator_name = "operator";
    edit.changes.push_back({table, row, content, content});
    return edit;
}

/// Encoded bytes of an edit of one organisation, and of an edit of the first pool, which is the
/// largest.
std::pair<std::size_t, std::size_t> edit_sizes(const configuration_document& document) {
    const auto& organisation = *document.organisations.begin();
    const auto& pool = *document.pools.begin();
    const auto size = [](const configuration_edit& edit) {
        return write_json(to_json(edit)).size();
    };
    return {size(edit_of("organisations", organisation.first.str(), to_json(organisation.second))),
            size(edit_of("pools", pool.first.str(), to_json(pool.second)))};
}

void study_placement(const configuration_document& document) {
    constexpr std::size_t vms = 790;
    std::vector<vm_entry> live;
    for (std::size_t i = 0; i < vms; ++i) {
        live.push_back(capacity_vm(i));
    }
    owned_backends_settings settings;
    settings.self = live.front().vm;
    settings.incarnation = vm_incarnation{1};
    settings.place = live.front().place;
    random_engine random{seed};
    id_sequence<connection_id> connections;
    id_sequence<request_id> requests;
    owned_backends owned{settings, random, {connections, requests}};
    actions out;
    const time_point now{seconds{1}};
    owned.reconcile(now, document, live, out);
    constexpr int rounds = 20;
    const auto spent = milliseconds_of([&] {
        for (int i = 0; i < rounds; ++i) {
            owned.reconcile(now, document, live, out);
        }
    });
    std::cout << "; one reconcile with " << vms << " VMs " << spent / rounds << " ms";
}

void study_configuration(std::size_t backends) {
    constexpr int copies = 20;
    const auto document = capacity_configuration((backends + 2) / 3);
    const auto text = write_json(to_json(document));
    const auto [small, pool] = edit_sizes(document);
    std::vector<configuration_document> kept;
    kept.reserve(copies);
    const auto memory_before = allocated();
    const auto decoding = milliseconds_of([&] {
        for (int i = 0; i < copies; ++i) {
            kept.push_back(parse_document(text).value());
        }
    });
    const auto memory = (allocated() - memory_before) / copies;
    const auto encoding = milliseconds_of([&] { (void)write_json(to_json(document)); });
    std::cout << backends << " backend servers, " << document.pools.size()
              << " pools: " << text.size() << " B of JSON; edit of an organisation " << small
              << " B, of a whole pool " << pool << " B; heap memory per decoded copy "
              << memory / 1024 << " KiB; decode " << decoding / copies << " ms, encode " << encoding
              << " ms";
    study_placement(document);
    const auto edit = edit_of("organisations", document.organisations.begin()->first.str(),
                              to_json(document.organisations.begin()->second));
    constexpr int rounds = 10;
    const auto applying = milliseconds_of([&] {
        for (int i = 0; i < rounds; ++i) {
            (void)apply(document, edit);
        }
    });
    std::cout << "; apply one edit " << applying / rounds << " ms" << std::endl;
}

/// Prints the size of @a message on the wire and the times to encode and to parse and decode it.
void study_message(const peer_message& message) {
    constexpr int rounds = 20'000;
    const std::string method{method_of(message)};
    const auto text = write_json(encode(message));
    std::size_t written{0};
    const auto encoding = milliseconds_of([&] {
        for (int i = 0; i < rounds; ++i) {
            written += write_json(encode(message)).size();
        }
    });
    const auto decoding = milliseconds_of([&] {
        for (int i = 0; i < rounds; ++i) {
            const auto decoded = decode_peer_message(method, parse_json(text).value());
            written += decoded ? 1 : 0;
        }
    });
    const auto frame_bytes =
        capacity_fleet::frame_bytes + capacity_fleet::stream_header_bytes + method.size();
    std::cout << method << ": " << text.size() << " B of JSON, " << text.size() + frame_bytes
              << " B on the wire, encode " << 1e3 * encoding / rounds << " us, decode "
              << 1e3 * decoding / rounds << " us" << (written == 0 ? "?" : "") << std::endl;
}

void study_messages() {
    const session_position seen{group_id{"group-100"}, term{3}, log_position{1'234'567}};
    forward_request request;
    request.id = request_id{1'234'567};
    request.organisation = organisation_id{"organisation-1"};
    request.route = route_name{"route-1"};
    request.group = seen.group;
    request.backend = backend_server_id{"backend-300"};
    request.name = request_name{"0123456789abcdef"};
    request.fingerprint = std::string(64, 'f');
    request.statements.append("INSERT INTO orders VALUES ('part-17', 3, 'workshop-5')");
    request.session = {seen};
    request.remaining = seconds{2};
    study_message(request);
    forward_reply reply;
    reply.id = request.id;
    reply.result = outcome::done;
    reply.results.append("one row of sixty characters that an order table returns here");
    reply.seen = seen;
    reply.backend = request.backend;
    reply.summary = {seen.group, seen.term, request.backend, true};
    study_message(reply);
}

std::vector<std::size_t> sizes_of(int argc, char** argv, std::vector<std::size_t> defaults) {
    if (argc <= 2) {
        return defaults;
    }
    std::vector<std::size_t> sizes;
    for (int i = 2; i < argc; ++i) {
        sizes.push_back(std::stoul(argv[i]));
    }
    return sizes;
}

} // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    std::cout << std::setprecision(4) << "seed " << seed << '\n';
    if (what == "fleet") {
        for (const auto size : sizes_of(argc, argv, {9, 30, 90, 200})) {
            study_fleet(size);
        }
        return 0;
    }
    if (what == "configuration") {
        for (const auto size : sizes_of(argc, argv, {9, 100, 500, 1900})) {
            study_configuration(size);
        }
        return 0;
    }
    if (what == "messages") {
        study_messages();
        return 0;
    }
    std::cerr << "usage: capacity_study fleet [VMS]... | configuration [BACKENDS]... | messages\n";
    return 1;
}
