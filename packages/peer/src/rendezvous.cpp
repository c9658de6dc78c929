#include "rattanrack/peer/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace rattanrack::peer {

std::uint64_t rendezvousWeight(std::string_view name, const NodeId& node)
{
    const std::uint64_t seed = XXH64(node.value().data(), node.value().size(), 0);
    return XXH64(name.data(), name.size(), seed);
}

std::size_t rendezvousRank(std::string_view name, const NodeId& node, const std::vector<NodeId>& nodes)
{
    const std::uint64_t own = rendezvousWeight(name, node);
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [&](const NodeId& other) { return rendezvousWeight(name, other) > own; }));
}

NodeId rendezvousChoice(std::string_view name, const std::vector<NodeId>& nodes)
{
    const auto best = std::max_element(nodes.begin(), nodes.end(), [&](const NodeId& left, const NodeId& right) {
        return rendezvousWeight(name, left) < rendezvousWeight(name, right);
    });
    return best == nodes.end() ? NodeId {} : *best;
}

} // namespace rattanrack::peer
