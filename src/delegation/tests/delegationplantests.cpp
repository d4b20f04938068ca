#include "delegation/delegationplan.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace flamingousher;
using namespace flamingousher::delegation;

namespace {

fleet::NodeInfo makeVm(const std::string& name, const std::string& zone, std::uint32_t processorMilli)
{
    fleet::NodeInfo vm { { "10.0.0.1:" + name, 1 }, zone, "r", "10.0.0.1:9180" };
    vm.fanouts = "10.0.0.1:7740";
    vm.processorMilli = processorMilli;
    return vm;
}

// Five zones with three large and 56 small VMs each.
std::vector<fleet::NodeInfo> largeFleet()
{
    std::vector<fleet::NodeInfo> vms;
    for (int zone = 1; zone <= 5; ++zone) {
        for (int index = 0; index < 59; ++index)
            vms.push_back(
                makeVm(std::to_string(zone * 100 + index), "z" + std::to_string(zone), index < 3 ? 500 : 120));
    }
    return vms;
}

bool isLarge(const fleet::NodeInfo& vm)
{
    return vm.processorMilli == 500;
}

} // namespace

Test(DelegationPlan, similarVmsDelegateNothing)
{
    std::vector<fleet::NodeInfo> vms;
    for (int index = 0; index < 9; ++index)
        vms.push_back(makeVm(std::to_string(index), "z1", index % 2 ? 250 : 300));
    const DelegationPlan plan = makeDelegationPlan(vms, vms.front(), { "z1" });
    cr_assert(!plan.isDelegatingFanouts);
    cr_assert_eq(plan.executors.size(), vms.size());
}

Test(DelegationPlan, smallVmsDelegateToLargeOnesNearUpstreams)
{
    const auto vms = largeFleet();
    const std::set<std::string> upstreamZones { "z1", "z2", "z3" };
    for (const fleet::NodeInfo& vm : vms) {
        const DelegationPlan plan = makeDelegationPlan(vms, vm, upstreamZones);
        cr_assert_eq(plan.isDelegatingFanouts, !isLarge(vm));
        cr_assert_eq(plan.executors.size(), 15);
        cr_assert(std::ranges::all_of(plan.delegates, isLarge));
        for (const fleet::NodeInfo& delegate : plan.delegates)
            cr_assert(upstreamZones.contains(delegate.zone));
        if (plan.isDelegatingFanouts && upstreamZones.contains(vm.zone))
            cr_assert_eq(plan.delegates.front().zone, vm.zone);
    }
}

Test(DelegationPlan, spreadsVmsOfOtherZonesOverDelegates)
{
    const auto vms = largeFleet();
    std::map<std::string, int> users;
    for (const fleet::NodeInfo& vm : vms) {
        if (vm.zone != "z5" || isLarge(vm))
            continue;
        for (const fleet::NodeInfo& delegate : makeDelegationPlan(vms, vm, { "z1", "z2", "z3" }).delegates)
            ++users[delegate.id.endpoint];
    }
    cr_assert_eq(users.size(), 9);
    for (const auto& [delegate, count] : users)
        cr_assert(count >= 10 && count <= 45, "%s has %d of 56 VMs", delegate.c_str(), count);
}

Test(DelegationPlan, usesOtherZonesWithoutEnoughLargeVmsNearUpstreams)
{
    auto vms = largeFleet();
    std::erase_if(vms, [](const fleet::NodeInfo& vm) { return isLarge(vm) && vm.zone != "z5" && vm.zone != "z4"; });
    const DelegationPlan plan = makeDelegationPlan(vms, vms.front(), { "z1", "z2", "z3" });
    cr_assert(plan.isDelegatingFanouts);
    cr_assert_eq(plan.executors.size(), 6);
}

Test(DelegationPlan, runsRequestsItselfWhenLargeVmsAreLost)
{
    auto vms = largeFleet();
    int kept = 0;
    std::erase_if(vms, [&](const fleet::NodeInfo& vm) { return isLarge(vm) && ++kept > 2; });
    const DelegationPlan plan = makeDelegationPlan(vms, vms.back(), { "z1" });
    cr_assert(!plan.isDelegatingFanouts);
    cr_assert_eq(plan.executors.size(), vms.size());
}

Test(DelegationPlan, excludesOtherRegionsAndVmsThatAcceptNoRequests)
{
    auto vms = largeFleet();
    for (fleet::NodeInfo& vm : vms) {
        if (isLarge(vm) && vm.zone == "z1")
            vm.region = "other";
        else if (isLarge(vm))
            vm.fanouts.clear();
    }
    const fleet::NodeInfo self = vms.back();
    cr_assert(!makeDelegationPlan(vms, self, { "z1" }).isDelegatingFanouts);
}

// VMs of an earlier version neither state their processor share nor accept requests.
Test(DelegationPlan, countsVmsWithoutProcessorShareAsExecutors)
{
    auto vms = largeFleet();
    vms.push_back(makeVm("old", "z1", 0));
    vms.back().fanouts.clear();
    const DelegationPlan plan = makeDelegationPlan(vms, vms.back(), { "z1" });
    cr_assert(!plan.isDelegatingFanouts);
    cr_assert_eq(plan.executors.size(), 16);
}

// Load pattern: a VM loses its links. Its callers need another VM, whatever the sizes are.
Test(DelegationPlan, everyVmHasDelegatesAndIsNotItsOwn)
{
    for (const std::uint32_t processor : { 0U, 250U }) {
        std::vector<fleet::NodeInfo> vms;
        for (int index = 0; index < 9; ++index)
            vms.push_back(makeVm(std::to_string(index), "z" + std::to_string(index % 3), processor));
        for (const fleet::NodeInfo& vm : vms) {
            const DelegationPlan plan = makeDelegationPlan(vms, vm, { "z0", "z1", "z2" });
            cr_expect(!plan.isDelegatingFanouts);
            cr_expect_eq(plan.delegates.size(), 4);
            cr_expect(std::ranges::none_of(
                plan.delegates, [&](const fleet::NodeInfo& delegate) { return delegate.id == vm.id; }));
        }
    }
}

// Failure: most large VMs are cut off from all upstreams.
Test(DelegationPlan, leavesOutVmsThatReachNoUpstream)
{
    const auto vms = largeFleet();
    std::vector<fleet::NodeId> unlinked;
    for (const fleet::NodeInfo& vm : vms) {
        if (isLarge(vm) && vm.zone != "z5")
            unlinked.push_back(vm.id);
    }
    const auto isUnlinked
        = [&](const fleet::NodeInfo& vm) { return std::ranges::find(unlinked, vm.id) != unlinked.end(); };
    DelegationPlan plan = makeDelegationPlan(vms, vms.back(), {}, unlinked);
    cr_expect_eq(plan.delegates.size(), 3);
    cr_expect(std::ranges::none_of(plan.delegates, isUnlinked));
    for (const fleet::NodeInfo& vm : vms) {
        if (isLarge(vm) && vm.zone == "z5")
            unlinked.push_back(vm.id);
    }
    plan = makeDelegationPlan(vms, vms.back(), {}, unlinked);
    cr_expect_gt(plan.delegates.size(), 0, "smaller VMs will do");
    cr_expect(std::ranges::none_of(plan.delegates, isUnlinked));
    for (const fleet::NodeInfo& vm : vms)
        unlinked.push_back(vm.id);
    cr_expect_gt(makeDelegationPlan(vms, vms.back(), {}, unlinked).delegates.size(), 0, "the news may be old");
}
