#include "fleet/crashgossip.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace flamingousher::fleet {

namespace {

    constexpr std::size_t RecordsPerMessage = 4;
    constexpr std::size_t MaxRecords = 1'024;

    // As long as a request stays suspected.
    constexpr base::Duration Retention = quarantine::QuarantineSettings {}.retention;
    constexpr base::Duration ExpiryInterval = std::chrono::seconds(10);

    // Two nodes exchange several messages in this time, as each is probed about once a second.
    constexpr base::Duration RepeatTime = std::chrono::seconds(2);

    std::uint64_t hash(const quarantine::CrashRecord& record)
    {
        const std::array<std::uint64_t, 3> words { record.fingerprint, record.version, record.crashes };
        return XXH3_64bits(words.data(), sizeof(words));
    }

} // namespace

bool CrashGossip::put(const quarantine::CrashRecord& record, base::TimePoint changedAt, base::TimePoint now)
{
    expire(now);
    if (now - changedAt >= Retention)
        return false;
    const auto known = entries_.find(record.fingerprint);
    if (known != entries_.end() && !record.isNewerThan(known->second.record))
        return false;
    if (known != entries_.end())
        erase(known);
    else if (entries_.size() >= MaxRecords)
        erase(std::ranges::min_element(entries_, {}, [](const auto& entry) { return entry.second.changedAt; }));
    entries_.emplace(record.fingerprint, Entry { record, changedAt, 0 });
    digest_ ^= hash(record);
    return true;
}

CrashGossip::Entries::iterator CrashGossip::erase(Entries::iterator position)
{
    digest_ ^= hash(position->second.record);
    return entries_.erase(position);
}

void CrashGossip::expire(base::TimePoint now)
{
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + ExpiryInterval;
    for (auto position = entries_.begin(); position != entries_.end();)
        position = now - position->second.changedAt >= Retention ? erase(position) : std::next(position);
}

void CrashGossip::add(const Entry& entry, base::TimePoint now, Gossip& gossip)
{
    gossip.crashes.push_back({ entry.record, std::max(base::Duration::zero(), now - entry.changedAt) });
}

void CrashGossip::addTo(Gossip& gossip, std::uint32_t maxSends, base::TimePoint now)
{
    expire(now);
    gossip.crashDigest = digest_;
    for (auto& [fingerprint, entry] : entries_) {
        if (gossip.crashes.size() >= RecordsPerMessage)
            return;
        if (entry.sends >= maxSends)
            continue;
        ++entry.sends;
        add(entry, now, gossip);
    }
    if (!differsUntil_ || now >= *differsUntil_)
        return;
    const std::size_t count = std::min(entries_.size(), RecordsPerMessage) - gossip.crashes.size();
    for (std::size_t added = 0; added < count;) {
        auto next = entries_.upper_bound(lastRepeated_);
        if (next == entries_.end())
            next = entries_.begin();
        lastRepeated_ = next->first;
        const bool isNews = std::ranges::any_of(
            gossip.crashes, [&](const CrashReport& report) { return report.record == next->second.record; });
        if (isNews)
            continue;
        add(next->second, now, gossip);
        ++added;
    }
}

void CrashGossip::onDigest(std::uint64_t digest, base::TimePoint now)
{
    if (digest != digest_)
        differsUntil_ = now + RepeatTime;
}

} // namespace flamingousher::fleet
