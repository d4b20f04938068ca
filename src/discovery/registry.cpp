#include "discovery/registry.h"

#include <algorithm>
#include <set>

namespace flamingousher::discovery {

namespace {

    // Living upstreams publish again within about 2 s of the store's return (protocol of the store).
    constexpr base::Duration RepublishTime = std::chrono::milliseconds(2'500);

    // Late reports of a departed upstream are older than this only when it has started again.
    constexpr base::Duration DepartedMemory = std::chrono::seconds(60);

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
    const auto departed = departed_.find(entry.id);
    if (departed != departed_.end()) {
        if (!departed->second.entry.isOlderThan(entry))
            return;
        departed_.erase(departed);
    }
    const base::TimePoint coldUntil = now + entry.warmUpLeft;
    const auto found = known_.find(entry.id);
    if (found == known_.end()) {
        known_.emplace(entry.id, Known { { entry, coldUntil }, std::nullopt });
        report(entry, entry.isDraining ? "found draining" : "found");
        return;
    }
    Known& known = found->second;
    UpstreamEntry& current = known.upstream.entry;
    if (entry.isOlderThan(current))
        return;
    known.lapsesAt.reset();
    const bool isNewStart = entry.startedAt != current.startedAt;
    const bool isChanged = isNewStart || entry.isDraining != current.isDraining || entry.endpoint != current.endpoint
        || entry.service != current.service || entry.slots != current.slots || entry.zone != current.zone;
    // A process that has said it drains does not come back; only its next start does.
    const bool staysDraining = current.isDraining && !isNewStart;
    current = entry;
    current.isDraining = entry.isDraining || staysDraining;
    if (isNewStart)
        known.upstream.coldUntil = coldUntil;
    if (isChanged)
        report(current, isNewStart ? "started again" : current.isDraining ? "draining" : "changed");
}

bool Registry::mayHaveLapsed(base::TimePoint now) const
{
    return isStoreAway_ || (storeBackAt_ && now < *storeBackAt_ + RepublishTime);
}

void Registry::drop(std::map<std::string, Known>::iterator position, base::TimePoint now)
{
    const UpstreamEntry entry = position->second.upstream.entry;
    known_.erase(position);
    departed_[entry.id] = { entry, now };
    report(entry, "gone");
}

void Registry::remove(const std::string& id, base::TimePoint now)
{
    const auto found = known_.find(id);
    if (found == known_.end())
        return;
    if (mayHaveLapsed(now)) {
        if (!found->second.lapsesAt)
            found->second.lapsesAt = storeBackAt_.value_or(now) + RepublishTime;
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
    for (const auto& [id, known] : known_) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        remove(id, now);
}

void Registry::noteStoreAway(base::TimePoint)
{
    isStoreAway_ = true;
    storeBackAt_.reset();
}

void Registry::noteStoreBack(base::TimePoint now)
{
    if (!isStoreAway_)
        return;
    isStoreAway_ = false;
    storeBackAt_ = now;
    for (auto& [id, known] : known_) {
        if (known.lapsesAt)
            known.lapsesAt = now + RepublishTime;
    }
}

void Registry::tick(base::TimePoint now)
{
    std::erase_if(departed_, [now](const auto& entry) { return entry.second.at + DepartedMemory < now; });
    if (isStoreAway_)
        return;
    for (auto position = known_.begin(); position != known_.end();) {
        const auto current = position++;
        if (current->second.lapsesAt && now >= *current->second.lapsesAt)
            drop(current, now);
    }
}

std::vector<KnownUpstream> Registry::upstreams() const
{
    std::vector<KnownUpstream> result;
    result.reserve(known_.size());
    for (const auto& [id, known] : known_)
        result.push_back(known.upstream);
    return result;
}

} // namespace flamingousher::discovery
