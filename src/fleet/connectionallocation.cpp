#include "fleet/connectionallocation.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace flamingousher::fleet {

ConnectionAllocation::ConnectionAllocation(
    const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream, std::string_view upstreamZone)
{
    const auto rank = [&](const NodeInfo& node) {
        return std::tuple(node.zone != upstreamZone, ~rendezvousWeight(node, upstream), node.id);
    };
    const auto own = rank(self);
    before_ = static_cast<std::size_t>(
        std::ranges::count_if(vms, [&](const NodeInfo& node) { return node.id != self.id && rank(node) < own; }));
    const bool isListed = std::ranges::any_of(vms, [&](const NodeInfo& node) { return node.id == self.id; });
    vms_ = vms.size() + (isListed ? 0 : 1);
}

std::size_t ConnectionAllocation::shareOf(std::size_t connections) const
{
    return connections <= before_ ? 0 : (connections - before_ - 1) / vms_ + 1;
}

} // namespace flamingousher::fleet
