#pragma once

#include "rattanrack/base/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// Rendezvous hashing: every node computes the same order of preference, and a node that joins or leaves changes the
/// assignment only of the names that it gains or loses.
namespace rattanrack::peer {

/// Weight of `node` for `name`; the node with the highest weight is preferred.
std::uint64_t rendezvousWeight(std::string_view name, const NodeId& node);

/// How many of `nodes` are preferred to `node` for `name`; 0 when it is the first choice.
std::size_t rendezvousRank(std::string_view name, const NodeId& node, const std::vector<NodeId>& nodes);

/// The preferred node for `name`; empty when `nodes` is empty.
NodeId rendezvousChoice(std::string_view name, const std::vector<NodeId>& nodes);

} // namespace rattanrack::peer
