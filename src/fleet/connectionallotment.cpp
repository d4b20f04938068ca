#include "fleet/connectionallotment.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace flamingousher::fleet {

std::size_t allotConnections(const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream,
    std::string_view upstreamZone, std::size_t limit)
{
    const auto rank = [&](const NodeInfo& node) {
        return std::tuple(node.zone != upstreamZone, ~rendezvousWeight(node, upstream), node.id);
    };
    const auto own = rank(self);
    const auto before = static_cast<std::size_t>(
        std::ranges::count_if(vms, [&](const NodeInfo& node) { return node.id != self.id && rank(node) < own; }));
    const bool isListed = std::ranges::any_of(vms, [&](const NodeInfo& node) { return node.id == self.id; });
    const std::size_t count = vms.size() + (isListed ? 0 : 1);
    return limit <= before ? 0 : (limit - before - 1) / count + 1;
}

} // namespace flamingousher::fleet
