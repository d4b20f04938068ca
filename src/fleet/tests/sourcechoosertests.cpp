#include "fleet/sourcechooser.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace flamingousher;
using namespace flamingousher::fleet;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
const std::string Store = "10.9.9.9:1";

std::vector<NodeInfo> makeVms(std::size_t count)
{
    std::vector<NodeInfo> vms;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string address = "10.0." + std::to_string(index % 3) + "." + std::to_string(index);
        vms.push_back({ { address + ":7000", index + 1 }, "z" + std::to_string(index % 3), "r", address + ":9180", 1 });
    }
    return vms;
}

} // namespace

Test(SourceChooser, selectsOneWatcherPerZone)
{
    const auto vms = makeVms(72);
    const SourceChooser chooser(Store);
    std::set<std::string> zones;
    for (const NodeInfo& vm : vms) {
        const Source source = chooser.choose(vms, vm, Start);
        cr_assert_eq(source.isStore, SourceChooser::isWatcher(vms, vm));
        if (source.isStore)
            cr_assert(zones.insert(vm.zone).second);
        else
            cr_assert_eq(std::ranges::find(vms, source.endpoint, &NodeInfo::operators)->zone, vm.zone);
    }
    cr_assert_eq(zones.size(), 3);
}

// Load pattern: a watcher answers the hundred VMs of its zone at each change of a configuration.
Test(SourceChooser, selectsLargeVmsAsWatchers)
{
    auto vms = makeVms(90);
    for (std::size_t index = 0; index < vms.size(); ++index)
        vms[index].processorMilli = index % 10 == 3 ? 500 : 120;
    std::size_t watchers = 0;
    for (const NodeInfo& vm : vms) {
        if (!SourceChooser::isWatcher(vms, vm))
            continue;
        ++watchers;
        cr_expect_eq(vm.processorMilli, 500);
    }
    cr_assert_eq(watchers, 3);
}

Test(SourceChooser, followsTheStoreWhenNoOtherVmExists)
{
    const auto vms = makeVms(1);
    cr_assert(SourceChooser(Store).choose(vms, vms.front(), Start).isStore);
}

Test(SourceChooser, skipsFailingSourcesAndFallsBackToTheStore)
{
    const auto vms = makeVms(9);
    const auto follower
        = std::ranges::find_if(vms, [&](const NodeInfo& vm) { return !SourceChooser::isWatcher(vms, vm); });
    SourceChooser chooser(Store);
    std::set<std::string> triedSources;
    for (int failure = 0; failure < 3; ++failure) {
        const Source source = chooser.choose(vms, *follower, Start);
        cr_assert(!source.isStore);
        triedSources.insert(source.endpoint);
        chooser.onFailed(source, Start);
    }
    cr_assert_eq(triedSources.size(), 3);
    cr_assert(chooser.choose(vms, *follower, Start).isStore);
    cr_assert(!chooser.choose(vms, *follower, Start + milliseconds(2'500)).isStore, "the failures have expired");
}

// Load pattern: the store rejects some VMs and serves the others.
Test(SourceChooser, followsAnotherWatcherWhenTheStoreRejectsIt)
{
    const auto vms = makeVms(9);
    const auto watcher
        = std::ranges::find_if(vms, [&](const NodeInfo& vm) { return SourceChooser::isWatcher(vms, vm); });
    SourceChooser chooser(Store);
    chooser.onFailed({ Store, true }, Start);
    cr_assert(!chooser.choose(vms, *watcher, Start).isStore);
    cr_assert(chooser.choose(vms, *watcher, Start + milliseconds(2'500)).isStore);
}

Test(SourceChooser, temporarilyPrefersAVmWithNewerContents)
{
    const auto vms = makeVms(9);
    SourceChooser chooser(Store);
    chooser.prefer("10.0.0.99:9180", Start);
    cr_assert_eq(chooser.choose(vms, vms.front(), Start).endpoint, "10.0.0.99:9180");
    chooser.onFailed({ "10.0.0.99:9180", false }, Start);
    cr_assert_neq(chooser.choose(vms, vms.front(), Start).endpoint, "10.0.0.99:9180");
}
