#include "fleet/connectionallotment.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace flamingousher::fleet {

ConnectionAllotment::ConnectionAllotment(
    const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream, std::string_view upstreamZone)
{
    const auto rank = [&](const NodeInfo& node) {
        return std::tuple(node.zone != upstreamZone, ~rendezvousWeight(node, upstream), node.id);
    };
    const auto selfRank = rank(self);
    precedingVms_ = static_cast<std::size_t>(
        std::ranges::count_if(vms, [&](const NodeInfo& node) { return node.id != self.id && rank(node) < selfRank; }));
    const bool isListed = std::ranges::any_of(vms, [&](const NodeInfo& node) { return node.id == self.id; });
    vmCount_ = vms.size() + (isListed ? 0 : 1);
}

std::size_t ConnectionAllotment::shareOf(std::size_t connections) const
{
    return connections <= precedingVms_ ? 0 : (connections - precedingVms_ - 1) / vmCount_ + 1;
}

} // namespace flamingousher::fleet
