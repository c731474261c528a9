#pragma once

#include "jackdawvane/configuration/configuration_editor.hpp"

#include <string>
#include <vector>

namespace jackdawvane::ctl {

/// @brief Access of jackdawvanectl to the platform's store and to the VMs.
class operator_session {
  public:
    /// @param store address of the platform's store
    /// @param operator_name recorded in the edits
    operator_session(endpoint store, std::string operator_name);

    /// @brief Reads the stored document; an empty one when there is none.
    [[nodiscard]] result<configuration_document> document();

    /// @brief Submits @a changes as one edit and waits for its outcome.
    /// @param base_revision revision that the changes are based on; becomes a part of the edit's id
    [[nodiscard]] edit_outcome submit(revision base_revision, std::vector<row_change> changes);

    /// @brief Queries the outcome of an earlier edit.
    [[nodiscard]] edit_outcome settle(const edit_id& id);

    /// @brief Reads the platform's VM list.
    [[nodiscard]] result<std::vector<vm_entry>> vms();

    /// @brief Queries `/admin/status` of a VM.
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

/// @brief Returns random bytes from OpenSSL as lower-case hexadecimal digits.
[[nodiscard]] std::string random_hex(std::size_t bytes);

} // namespace jackdawvane::ctl
