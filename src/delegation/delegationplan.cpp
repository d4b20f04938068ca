#include "delegation/delegationplan.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

namespace flamingousher::delegation {

using fleet::NodeInfo;

namespace {

    // A VM delegates to VMs with at least this many times its processor share: the gain must exceed the cost of the
    // hop.
    constexpr std::uint32_t MinProcessorRatio = 2;

    // With fewer large VMs in the region, the loss of one would move too much load at once.
    constexpr std::size_t MinDelegates = 3;

    // Each VM keeps connections to this many delegates only.
    constexpr std::size_t DelegatesPerVm = 4;

    // The VMs of one region that accept delegated requests and have the largest processor shares.
    struct LargeVms {
        std::uint32_t maxProcessor { 0 };
        std::vector<NodeInfo> vms;
    };

    LargeVms findLargeVms(const std::vector<NodeInfo>& vms, const std::string& region)
    {
        LargeVms large;
        const auto isCandidate = [&](const NodeInfo& vm) { return vm.region == region && !vm.fanouts.empty(); };
        for (const NodeInfo& vm : vms) {
            if (isCandidate(vm))
                large.maxProcessor = std::max(large.maxProcessor, vm.processorMilli);
        }
        for (const NodeInfo& vm : vms) {
            // All are alike while no size is known.
            const bool isLarge = vm.processorMilli * MinProcessorRatio > large.maxProcessor || large.maxProcessor == 0;
            if (isCandidate(vm) && isLarge)
                large.vms.push_back(vm);
        }
        return large;
    }

    bool isDelegating(const NodeInfo& vm, const LargeVms& large)
    {
        return vm.processorMilli > 0 && large.vms.size() >= MinDelegates
            && vm.processorMilli * MinProcessorRatio <= large.maxProcessor;
    }

    // Leaves out the VMs that are unlinked. If all large VMs are, any linked one of the region will do, and if there is
    // none, the news may be old.
    void keepLinked(std::vector<NodeInfo>& delegates, const std::vector<NodeInfo>& vms, const NodeInfo& self,
        const std::vector<fleet::NodeId>& unlinked)
    {
        const auto isUnlinked
            = [&](const NodeInfo& vm) { return std::ranges::find(unlinked, vm.id) != unlinked.end(); };
        if (std::ranges::none_of(delegates, isUnlinked))
            return;
        std::vector<NodeInfo> linked;
        const auto isUsable = [&](const NodeInfo& vm) { return !isUnlinked(vm) && !vm.fanouts.empty(); };
        std::ranges::copy_if(delegates, std::back_inserter(linked), isUsable);
        if (linked.empty())
            std::ranges::copy_if(vms, std::back_inserter(linked),
                [&](const NodeInfo& vm) { return isUsable(vm) && vm.id != self.id && vm.region == self.region; });
        if (!linked.empty())
            delegates = std::move(linked);
    }

} // namespace

DelegationPlan makeDelegationPlan(const std::vector<NodeInfo>& vms, const NodeInfo& self,
    const std::set<std::string>& upstreamZones, const std::vector<fleet::NodeId>& unlinked)
{
    DelegationPlan plan;
    std::map<std::string, LargeVms> largeByRegion;
    for (const NodeInfo& vm : vms) {
        const auto [large, isNew] = largeByRegion.try_emplace(vm.region);
        if (isNew)
            large->second = findLargeVms(vms, vm.region);
        if (!isDelegating(vm, large->second))
            plan.executors.push_back(vm);
    }
    const LargeVms& large = largeByRegion[self.region];
    plan.isDelegatingFanouts = isDelegating(self, large);
    plan.delegates = large.vms;
    std::erase_if(plan.delegates, [&](const NodeInfo& vm) { return vm.id == self.id; });
    keepLinked(plan.delegates, vms, self, unlinked);
    const auto isNearUpstreams = [&](const NodeInfo& vm) { return upstreamZones.contains(vm.zone); };
    if (static_cast<std::size_t>(std::ranges::count_if(plan.delegates, isNearUpstreams)) >= MinDelegates)
        std::erase_if(plan.delegates, [&](const NodeInfo& vm) { return !isNearUpstreams(vm); });
    // The hash spreads the VMs of other zones evenly over the delegates.
    std::ranges::sort(plan.delegates, {}, [&](const NodeInfo& vm) {
        return std::tuple(vm.zone != self.zone, ~fleet::rendezvousWeight(vm, self.id.endpoint), vm.id);
    });
    plan.delegates.resize(std::min(plan.delegates.size(), DelegatesPerVm));
    return plan;
}

} // namespace flamingousher::delegation
