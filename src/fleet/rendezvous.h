#pragma once

#include "fleet/types.h"

#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// The node with the highest hash of node and key (Thaler, Ravishankar 1998). Losing a node moves only what
// that node had. Null when there is no node.
const NodeInfo* rendezvousNode(const std::vector<NodeInfo>& nodes, std::string_view key);

// The same among the nodes of one zone, or among all when the zone has none.
const NodeInfo* rendezvousNodeNear(const std::vector<NodeInfo>& nodes, std::string_view key, std::string_view zone);

// The nodes with the highest hashes, best first, at most the given number.
std::vector<const NodeInfo*> rendezvousNodes(
    const std::vector<NodeInfo>& nodes, std::string_view key, std::size_t count);

} // namespace flamingousher::fleet
