#pragma once

#include "jackdawvane/foundation/random.hpp"
#include "jackdawvane/node/store.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

/// @file
/// @brief Which VMs are told of a configuration, and which one is asked for it.

namespace jackdawvane {

/// @brief VMs of a failure domain that the VM @a self tells of a new revision.
///
/// The VMs form a tree in the order of their rank, with the delegates as its roots, so that each VM
/// sends a document to few others.
/// @param ranked VMs of the domain, delegates first
/// @param fan_out number of VMs that one VM tells
[[nodiscard]] std::vector<vm_id> tree_children(std::span<const vm_id> ranked, const vm_id& self,
                                               std::size_t delegates, std::size_t fan_out);

/// @brief Knowledge of which VM has which revision, for the choice of a source.
class configuration_sources {
  public:
    /// @brief Forgets the VMs that are not in @a live.
    void set_live(std::span<const vm_entry> live);

    /// @brief Notes that @a vm has the revision @a heard, and may be asked again.
    void note(const vm_id& vm, revision heard);

    void mark_tried(const vm_id& vm) { tried_.insert(vm); }
    void forget_tried() { tried_.clear(); }

    /// @brief VM to ask for the revision @a wanted: one of the same failure domain that has it, one
    /// of another that has it, or any other one, the same failure domain first.
    /// @return nothing when all live VMs have been tried
    [[nodiscard]] std::optional<vm_id> choose(const vm_id& self, const failure_domain_id& domain,
                                              std::span<const vm_entry> live, revision wanted,
                                              random_engine& random) const;

  private:
    std::map<vm_id, revision> heard_;
    std::set<vm_id> tried_;
};

} // namespace jackdawvane
