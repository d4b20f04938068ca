#pragma once

#include "fleet/types.h"

#include <functional>
#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// Returns the hash of node and key by which nodes are ranked.
std::uint64_t rendezvousWeight(const NodeInfo&, std::string_view key);

using NodePredicate = std::function<bool(const NodeInfo&)>;

// Returns the candidate with the highest hash of node and key (Thaler, Ravishankar 1998), or null if there is none. The
// loss of a node reassigns only the keys of that node.
const NodeInfo* rendezvousNode(
    const std::vector<NodeInfo>& nodes, std::string_view key, const NodePredicate& isCandidate);

// Returns up to count nodes with the highest hashes, highest first.
std::vector<const NodeInfo*> rendezvousNodes(
    const std::vector<NodeInfo>& nodes, std::string_view key, std::size_t count);

} // namespace flamingousher::fleet
