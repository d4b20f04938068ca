#include "fleet/connectionallotment.h"

#include <criterion/criterion.h>

using namespace flamingousher::fleet;

namespace {

std::vector<NodeInfo> makeVms(std::size_t count, std::size_t zones)
{
    std::vector<NodeInfo> vms;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string name = "10.0." + std::to_string(index % zones) + "." + std::to_string(index) + ":7000";
        vms.push_back({ { name, index + 1 }, "z" + std::to_string(index % zones), "r", name, 1 });
    }
    return vms;
}

std::size_t allot(const std::vector<NodeInfo>& vms, std::size_t vm, const std::string& upstream,
    const std::string& zone, std::size_t limit)
{
    return ConnectionAllotment(vms, vms[vm], upstream, zone).shareOf(limit);
}

} // namespace

Test(ConnectionAllotment, allocatesExactlyTheLimit)
{
    for (const auto& [count, limit] : { std::pair(9, 30), std::pair(8, 24), std::pair(72, 66), std::pair(80, 70) }) {
        const auto vms = makeVms(static_cast<std::size_t>(count), 3);
        std::size_t sum = 0;
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
            sum += allot(vms, vm, "u", "z1", static_cast<std::size_t>(limit));
        cr_assert_eq(sum, static_cast<std::size_t>(limit));
    }
}

// Load pattern: 72 VMs and searchers that accept 68 connections each.
Test(ConnectionAllotment, connectsEveryVmToItsZoneAndMostOtherReplicas)
{
    const auto vms = makeVms(72, 3);
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        std::size_t near = 0;
        std::size_t far = 0;
        for (int shard = 0; shard < 36; ++shard) {
            for (int zone = 0; zone < 3; ++zone) {
                const std::string upstream = std::to_string(shard) + "-" + std::to_string(zone);
                const std::string upstreamZone = "z" + std::to_string(zone);
                const std::size_t connections = allot(vms, vm, upstream, upstreamZone, 66);
                (upstreamZone == vms[vm].zone ? near : far) += connections;
            }
        }
        cr_assert_eq(near, 36);
        cr_assert_geq(far, 48);
    }
}

Test(ConnectionAllotment, includesAnUnlistedVm)
{
    auto vms = makeVms(3, 3);
    const NodeInfo self = vms.back();
    vms.pop_back();
    std::size_t sum = 0;
    for (const NodeInfo& vm : makeVms(3, 3))
        sum += ConnectionAllotment(vm.id == self.id ? vms : makeVms(3, 3), vm, "u", "z0").shareOf(31);
    cr_assert_eq(sum, 31);
    cr_assert_eq(ConnectionAllotment({}, self, "u", "z0").shareOf(5), 5);
}
