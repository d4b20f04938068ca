#include "discovery/registry.h"

#include <algorithm>
#include <set>

namespace flamingousher::discovery {

namespace {

    // By the protocol of the store, running upstreams publish again within about 2 s after it becomes available.
    constexpr base::Duration RepublishWindow = std::chrono::milliseconds(2'500);

    // Reports arrive with delays of up to this time, by which the end of a warm-up seems to shift.
    constexpr base::Duration WarmUpTolerance = std::chrono::milliseconds(500);

    // How long removed upstreams are remembered. A report that arrives later can only come from a restarted process.
    constexpr base::Duration RemovedRetention = std::chrono::seconds(60);

} // namespace

Registry::Registry(ChangeListener onChange)
    : onChange_(std::move(onChange))
{
}

void Registry::report(const UpstreamEntry& entry, const char* change)
{
    ++changes_;
    if (onChange_)
        onChange_(entry, change);
}

void Registry::put(const UpstreamEntry& entry, base::TimePoint now)
{
    const auto removed = removed_.find(entry.id);
    if (removed != removed_.end()) {
        if (!removed->second.entry.isOlderThan(entry))
            return;
        removed_.erase(removed);
    }
    const base::TimePoint warmUpUntil = now + entry.warmUpRemaining;
    const auto found = tracked_.find(entry.id);
    if (found == tracked_.end()) {
        tracked_.emplace(entry.id, TrackedUpstream { { entry, warmUpUntil }, std::nullopt });
        report(entry, entry.isDraining ? "found draining" : "found");
        return;
    }
    TrackedUpstream& tracked = found->second;
    UpstreamEntry& current = tracked.upstream.entry;
    if (entry.isOlderThan(current))
        return;
    tracked.expiresAt.reset();
    const bool isRestart = entry.startedAt != current.startedAt;
    const bool isChanged = isRestart || entry.isDraining != current.isDraining || entry.endpoint != current.endpoint
        || entry.service != current.service || entry.slots != current.slots || entry.zone != current.zone;
    // Draining is final for a process; only a restart ends it.
    const bool remainsDraining = current.isDraining && !isRestart;
    current = entry;
    current.isDraining = entry.isDraining || remainsDraining;
    const bool isColdAgain
        = entry.warmUpRemaining > WarmUpTolerance && warmUpUntil > tracked.upstream.warmUpUntil + WarmUpTolerance;
    if (isRestart || isColdAgain)
        tracked.upstream.warmUpUntil = warmUpUntil;
    if (isChanged || isColdAgain)
        report(current,
            isRestart                ? "started again"
                : current.isDraining ? "draining"
                : isColdAgain        ? "cold again"
                                     : "changed");
}

bool Registry::isExpiryUncertain(base::TimePoint now) const
{
    return isStoreUnavailable_ || (storeAvailableSince_ && now < *storeAvailableSince_ + RepublishWindow);
}

void Registry::drop(std::map<std::string, TrackedUpstream>::iterator position, base::TimePoint now)
{
    const UpstreamEntry entry = position->second.upstream.entry;
    tracked_.erase(position);
    removed_[entry.id] = { entry, now };
    report(entry, "gone");
}

void Registry::remove(const std::string& id, base::TimePoint now)
{
    const auto found = tracked_.find(id);
    if (found == tracked_.end())
        return;
    if (isExpiryUncertain(now)) {
        if (!found->second.expiresAt)
            found->second.expiresAt = storeAvailableSince_.value_or(now) + RepublishWindow;
        return;
    }
    drop(found, now);
}

void Registry::replaceAll(const std::vector<UpstreamEntry>& entries, base::TimePoint now)
{
    std::set<std::string> listed;
    for (const UpstreamEntry& entry : entries) {
        listed.insert(entry.id);
        put(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, tracked] : tracked_) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        remove(id, now);
}

void Registry::onStoreUnavailable(base::TimePoint)
{
    isStoreUnavailable_ = true;
    storeAvailableSince_.reset();
}

void Registry::onStoreAvailable(base::TimePoint now)
{
    if (!isStoreUnavailable_)
        return;
    isStoreUnavailable_ = false;
    beginRepublishing(now);
}

void Registry::onStoreRestored(base::TimePoint now)
{
    if (!isStoreUnavailable_)
        beginRepublishing(now);
}

void Registry::beginRepublishing(base::TimePoint now)
{
    storeAvailableSince_ = now;
    for (auto& [id, tracked] : tracked_) {
        if (tracked.expiresAt)
            tracked.expiresAt = now + RepublishWindow;
    }
}

void Registry::tick(base::TimePoint now)
{
    std::erase_if(removed_, [now](const auto& entry) { return entry.second.at + RemovedRetention < now; });
    if (isStoreUnavailable_)
        return;
    for (auto position = tracked_.begin(); position != tracked_.end();) {
        const auto current = position++;
        if (current->second.expiresAt && now >= *current->second.expiresAt)
            drop(current, now);
    }
}

std::vector<DiscoveredUpstream> Registry::upstreams() const
{
    std::vector<DiscoveredUpstream> result;
    result.reserve(tracked_.size());
    for (const auto& [id, tracked] : tracked_)
        result.push_back(tracked.upstream);
    return result;
}

} // namespace flamingousher::discovery
