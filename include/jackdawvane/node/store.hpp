#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/json_codec.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/backend.hpp"

#include <utility>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Calls to the platform's key-value store and VM list.

namespace jackdawvane {

struct configuration_document;

/// @brief Position in the store's history. A store that comes back from a copy begins a new era,
/// and its revisions may go back.
struct store_position {
    std::uint64_t era{0}; ///< Restores of the store from a copy; 0 if the store doesn't count them.
    std::uint64_t revision{0}; ///< Changes within the era.
};

/// @brief Bits of a version that hold the revision; the bits above them hold the era.
inline constexpr unsigned version_revision_bits = 40;
/// @brief Highest era that a version holds, so that a version is below 2^53.
inline constexpr std::uint64_t highest_store_era = (std::uint64_t{1} << 13U) - 1;

/// @brief Version of @a position, which only rises, also across eras; 0 for revision 0.
[[nodiscard]] constexpr std::uint64_t make_version(const store_position& position) noexcept {
    return position.revision == 0 ? 0 : (position.era << version_revision_bits) + position.revision;
}

/// @brief Inverse of `make_version`.
[[nodiscard]] constexpr store_position split_version(std::uint64_t version) noexcept {
    return {version >> version_revision_bits,
            version & ((std::uint64_t{1} << version_revision_bits) - 1)};
}

/// @brief Operations of the platform's store service.
enum class store_operation {
    read,             ///< Value and version of a key.
    watch,            ///< As `read`, answered when the version is past `version` or after `wait`.
    compare_and_swap, ///< Write if the current version is `version`; 0 creates the key.
    renew_lease,      ///< Create or renew the lease `key` for `lease` time with `value`. The
                      ///< version in the answer changes only when it is created anew.
    release_lease,    ///< End the lease `key`.
    list_vms,         ///< The VM list, answered when its version is past `version`.
    acquire_lease,    ///< Create the lease `key` with `value` unless it exists.
    keep_lease,       ///< Renew the lease `key`; `not_found` when it has ended.
    list_backends,    ///< The registered backend servers.
};

template <>
struct enum_names<store_operation> {
    static constexpr std::array<std::pair<store_operation, const char*>, 9> table{
        {{store_operation::read, "read"},
         {store_operation::watch, "watch"},
         {store_operation::compare_and_swap, "compare_and_swap"},
         {store_operation::renew_lease, "renew_lease"},
         {store_operation::release_lease, "release_lease"},
         {store_operation::list_vms, "list_vms"},
         {store_operation::acquire_lease, "acquire_lease"},
         {store_operation::keep_lease, "keep_lease"},
         {store_operation::list_backends, "list_backends"}}};
};

/// @brief One call to the store.
struct store_request {
    request_id id;
    store_operation operation{store_operation::read};
    std::string key;
    std::string value;
    std::uint64_t version{0}; ///< Expected or last known version; 0 if absent or unknown.
    duration wait{0};         ///< `watch`, `list_vms`: maximum time to hold the answer.
    duration lease{0};        ///< `renew_lease`, `acquire_lease`: duration of the lease.

    static constexpr auto fields() {
        return std::tuple{field("id", &store_request::id),
                          field("operation", &store_request::operation),
                          field("key", &store_request::key),
                          field("value", &store_request::value),
                          field("version", &store_request::version),
                          field("wait_us", &store_request::wait),
                          field("lease_us", &store_request::lease)};
    }
};

/// @brief State of a VM in the platform's list.
enum class vm_state { live, leaving };

template <>
struct enum_names<vm_state> {
    static constexpr std::array<std::pair<vm_state, const char*>, 2> table{
        {{vm_state::live, "live"}, {vm_state::leaving, "leaving"}}};
};

/// @brief Entry of the platform's VM list.
struct vm_entry {
    vm_id vm;
    endpoint peer;   ///< Address for messages from other VMs.
    endpoint caller; ///< Address for callers and operators.
    location place;
    vm_state state{vm_state::live};

    static constexpr auto fields() {
        return std::tuple{field("vm", &vm_entry::vm), field("peer", &vm_entry::peer),
                          field("caller", &vm_entry::caller), field("place", &vm_entry::place),
                          field("state", &vm_entry::state)};
    }
    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

/// @brief Entry that a backend server registers for itself in the platform's registry.
struct backend_registration {
    backend_server_id backend;
    group_id group;
    jackdawvane::endpoint endpoint;
    failure_domain_id domain;
    std::uint32_t slots{1}; ///< Maximum number of concurrent statements.
    bool leaving{false};    ///< Shutting down; still serves until it exits.
    backend_role role{backend_role::replica};
    duration warm_up_remaining{0};  ///< Remaining time for which it is slow.
    std::uint64_t started_at_ms{0}; ///< Unix time of its start; a restart keeps the id.

    static constexpr auto fields() {
        using self = backend_registration;
        return std::tuple{field("backend", &self::backend),
                          field("group", &self::group),
                          field("endpoint", &self::endpoint),
                          field("domain", &self::domain),
                          field("slots", &self::slots),
                          field("leaving", &self::leaving),
                          field("role", &self::role),
                          field("warm_up_left_us", &self::warm_up_remaining),
                          field("started_at_ms", &self::started_at_ms)};
    }
    friend bool operator==(const backend_registration&, const backend_registration&) = default;
};

/// @brief Result of a store call.
enum class store_status {
    ok,
    conflict, ///< The version did not match; nothing was written.
    not_found,
    unavailable, ///< No answer or an error; a write may have taken effect.
};

template <>
struct enum_names<store_status> {
    static constexpr std::array<std::pair<store_status, const char*>, 4> table{
        {{store_status::ok, "ok"},
         {store_status::conflict, "conflict"},
         {store_status::not_found, "not_found"},
         {store_status::unavailable, "unavailable"}}};
};

/// @brief Failure domains that the operator has evacuated.
struct evacuated_domains {
    std::uint64_t version{0}; ///< Version of the store that was read.
    std::vector<failure_domain_id> domains;

    static constexpr auto fields() {
        return std::tuple{field("version", &evacuated_domains::version),
                          field("domains", &evacuated_domains::domains)};
    }
};

/// @brief Answer of the store.
struct store_answer {
    request_id id;
    store_status status{store_status::unavailable};
    std::string value;                            ///< Current value; empty when the key is absent.
    std::uint64_t version{0};                     ///< Current version of the key or list.
    std::vector<vm_entry> vms;                    ///< `list_vms`: the complete list.
    std::vector<backend_registration> backends{}; ///< `list_backends`: the complete list.
    /// Newest era of the store that any answer has shown; also set without an answer.
    std::uint64_t era{0};
    /// `list_backends`: absent if evacuations are not read or their read failed.
    std::optional<evacuated_domains> evacuations{};
    /// The configuration, from a store that decodes it; `value` is empty then. Not encoded.
    std::shared_ptr<const configuration_document> document{};

    static constexpr auto fields() {
        return std::tuple{
            field("id", &store_answer::id),       field("status", &store_answer::status),
            field("value", &store_answer::value), field("version", &store_answer::version),
            field("vms", &store_answer::vms),     field("backends", &store_answer::backends),
            field("era", &store_answer::era),     field("evacuations", &store_answer::evacuations)};
    }
};

} // namespace jackdawvane
