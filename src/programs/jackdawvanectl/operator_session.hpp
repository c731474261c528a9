#pragma once

#include "jackdawvane/configuration/configuration_editor.hpp"

#include <string>
#include <vector>

namespace jackdawvane::ctl {

/// @brief Connection of the operator's tool to the platform's store and to the VMs.
class operator_session {
  public:
    /// @param store address of the platform's store
    /// @param operator_name name that the edits carry
    operator_session(endpoint store, std::string operator_name);

    /// @brief Document as it is stored; the empty one when there is none.
    [[nodiscard]] result<configuration_document> document();

    /// @brief Submits @a changes as one edit and waits for its outcome.
    /// @param seen revision that the changes were made from; becomes a part of the edit's id
    [[nodiscard]] edit_outcome submit(revision seen, std::vector<row_change> changes);

    /// @brief Finds out what became of an earlier edit.
    [[nodiscard]] edit_outcome settle(const edit_id& id);

    /// @brief The platform's VM list.
    [[nodiscard]] result<std::vector<vm_entry>> vms();

    /// @brief Answer of a VM to `/admin/status`.
    [[nodiscard]] static result<Json::Value> status_of(const vm_entry& vm);

  private:
    store_answer call(const store_request& request);
    edit_outcome run(actions out);

    endpoint store_;
    std::string operator_name_;
    random_engine random_;
    id_sequence<request_id> ids_;
    configuration_editor editor_;
};

/// @brief Random bytes of OpenSSL as lower-case hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace jackdawvane::ctl
