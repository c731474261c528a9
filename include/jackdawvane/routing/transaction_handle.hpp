#pragma once

#include "jackdawvane/foundation/error.hpp"
#include "jackdawvane/foundation/types.hpp"
#include "jackdawvane/node/caller.hpp"

#include <cstdint>

namespace jackdawvane {

/// @brief Contents of a transaction id: the connection that the transaction is pinned to.
struct transaction_handle {
    vm_id owner;                ///< VM that holds the pinned connection.
    vm_incarnation incarnation; ///< Incarnation of that VM's process.
    std::uint64_t number{0};    ///< Number of the transaction at that VM.
    access_mode mode{access_mode::read};
    group_id group;
    backend_server_id backend;
    route_name route; ///< Route that began it; its key rules apply to all its requests.

    friend bool operator==(const transaction_handle&, const transaction_handle&) = default;
};

/// @brief Encodes @a handle as a transaction id.
[[nodiscard]] transaction_id encode_transaction(const transaction_handle& handle);

/// @brief Decodes a transaction id.
/// @return the handle, or `unknown_transaction` if @a id was not made by @ref encode_transaction
[[nodiscard]] result<transaction_handle> decode_transaction(const transaction_id& id);

} // namespace jackdawvane
