#pragma once

#include "fleet/types.h"

#include <functional>
#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// The hash of node and key by which nodes are ordered.
std::uint64_t rendezvousWeight(const NodeInfo&, std::string_view key);

using NodePredicate = std::function<bool(const NodeInfo&)>;

// Of the nodes that the predicate accepts, the one with the highest hash of node and key (Thaler, Ravishankar 1998).
// Losing a node moves only what that node had. Null when there is none.
const NodeInfo* rendezvousNode(
    const std::vector<NodeInfo>& nodes, std::string_view key, const NodePredicate& isCandidate);

// The nodes with the highest hashes, best first, at most the given number.
std::vector<const NodeInfo*> rendezvousNodes(
    const std::vector<NodeInfo>& nodes, std::string_view key, std::size_t count);

} // namespace flamingousher::fleet
