#include "fleet/sourcechooser.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace flamingousher::fleet {

namespace {

    constexpr std::string_view WatcherKey = "store-watcher";

    // Long enough not to return immediately to a source that hangs, short enough to return soon to the regular source.
    constexpr base::Duration FailureCooldown = std::chrono::milliseconds(2'000);
    constexpr base::Duration PreferenceDuration = std::chrono::milliseconds(3'000);

    // A watcher answers all VMs of its zone at each change, so small VMs are not chosen where there are large ones.
    void removeSmallVms(std::vector<NodeInfo>& vms)
    {
        const std::uint32_t maxProcessor = std::ranges::max(vms, {}, &NodeInfo::processorMilli).processorMilli;
        std::erase_if(vms, [&](const NodeInfo& vm) { return vm.processorMilli * 2 < maxProcessor; });
    }

    std::vector<NodeInfo> watchersOf(const std::vector<NodeInfo>& vms)
    {
        std::map<std::string, std::vector<NodeInfo>> zones;
        for (const NodeInfo& vm : vms)
            zones[vm.zone].push_back(vm);
        for (auto& [zone, members] : zones)
            removeSmallVms(members);
        std::vector<NodeInfo> watchers;
        watchers.reserve(zones.size());
        for (const auto& [zone, members] : zones)
            watchers.push_back(*rendezvousNodes(members, WatcherKey, 1).front());
        return watchers;
    }

} // namespace

SourceChooser::SourceChooser(std::string storeEndpoint)
    : store_(std::move(storeEndpoint))
{
}

bool SourceChooser::isFailing(const std::string& endpoint, base::TimePoint now) const
{
    const auto found = failedUntil_.find(endpoint);
    return found != failedUntil_.end() && now < found->second;
}

bool SourceChooser::isWatcher(const std::vector<NodeInfo>& vms, const NodeInfo& self)
{
    return std::ranges::any_of(watchersOf(vms), [&](const NodeInfo& watcher) { return watcher.id == self.id; });
}

Source SourceChooser::choose(const std::vector<NodeInfo>& vms, const NodeInfo& self, base::TimePoint now) const
{
    if (preferred_ && now < preferredUntil_ && !isFailing(*preferred_, now))
        return { *preferred_, false };
    std::vector<NodeInfo> watchers = watchersOf(vms);
    const bool isSelfWatcher = isWatcher(vms, self);
    if (isSelfWatcher && !isFailing(store_, now))
        return { store_, true };
    std::erase_if(
        watchers, [&](const NodeInfo& watcher) { return watcher.id == self.id || isFailing(watcher.operators, now); });
    if (watchers.empty())
        return { store_, true };
    const auto rank = [&](const NodeInfo& watcher) {
        return std::tuple(
            watcher.zone != self.zone, watcher.region != self.region, ~rendezvousWeight(watcher, self.id.endpoint));
    };
    return { std::ranges::min(watchers, {}, rank).operators, false };
}

void SourceChooser::onFailed(const Source& source, base::TimePoint now)
{
    std::erase_if(failedUntil_, [&](const auto& entry) { return entry.second < now; });
    failedUntil_[source.endpoint] = now + FailureCooldown;
}

void SourceChooser::prefer(const std::string& endpoint, base::TimePoint now)
{
    preferred_ = endpoint;
    preferredUntil_ = now + PreferenceDuration;
}

} // namespace flamingousher::fleet
