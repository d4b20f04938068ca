#include "fleet/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace flamingousher::fleet {

std::uint64_t rendezvousWeight(const NodeInfo& node, std::string_view key)
{
    const XXH64_hash_t seed = XXH3_64bits_withSeed(node.id.endpoint.data(), node.id.endpoint.size(), node.id.boot);
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

std::vector<const NodeInfo*> rendezvousNodes(
    const std::vector<NodeInfo>& nodes, std::string_view key, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const NodeInfo*>> weighted;
    weighted.reserve(nodes.size());
    for (const NodeInfo& node : nodes)
        weighted.emplace_back(rendezvousWeight(node, key), &node);
    const std::size_t chosen = std::min(count, weighted.size());
    std::ranges::partial_sort(weighted, weighted.begin() + static_cast<std::ptrdiff_t>(chosen),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<const NodeInfo*> best;
    best.reserve(chosen);
    for (std::size_t index = 0; index < chosen; ++index)
        best.push_back(weighted[index].second);
    return best;
}

const NodeInfo* rendezvousNode(
    const std::vector<NodeInfo>& nodes, std::string_view key, const NodePredicate& isCandidate)
{
    const NodeInfo* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const NodeInfo& node : nodes) {
        if (!isCandidate(node))
            continue;
        const std::uint64_t weight = rendezvousWeight(node, key);
        if (!best || weight > bestWeight) {
            best = &node;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace flamingousher::fleet
