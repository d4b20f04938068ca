#include "quarantine/quarantine.h"

#include <algorithm>

namespace flamingousher::quarantine {

namespace {

    // Time from the loss of a connection until it is known whether the upstream has ended.
    constexpr base::Duration CrashDetectionTime = std::chrono::milliseconds(100);

    constexpr base::Duration ExpiryInterval = std::chrono::seconds(10);

} // namespace

Quarantine::Quarantine(QuarantineSettings settings)
    : settings_(settings)
{
}

std::uint32_t Quarantine::crashes(Fingerprint fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.record.crashes;
}

Quarantine::Entry& Quarantine::add(Fingerprint fingerprint, base::TimePoint now)
{
    expire(now);
    if (entries_.size() >= settings_.capacity && !entries_.contains(fingerprint)) {
        const auto oldest
            = std::ranges::min_element(entries_, {}, [](const auto& entry) { return entry.second.changedAt; });
        entries_.erase(oldest);
    }
    Entry& entry = entries_[fingerprint];
    entry.record.fingerprint = fingerprint;
    return entry;
}

std::optional<CrashRecord> Quarantine::onCrash(
    Fingerprint fingerprint, std::uint32_t crashesWhenSent, const std::string& upstream, base::TimePoint now)
{
    if (const auto safe = knownSafeIndex_.find(fingerprint); safe != knownSafeIndex_.end()) {
        knownSafe_.erase(safe->second);
        knownSafeIndex_.erase(safe);
    }
    Entry& entry = add(fingerprint, now);
    // A response since the attempt was sent has cleared what was known then.
    const bool isCleared = entry.record.version > 0 && entry.record.crashes == 0;
    const std::uint32_t known = isCleared ? 0 : crashesWhenSent;
    if (known < entry.record.crashes)
        return std::nullopt;
    entry.record.crashes = known + 1;
    ++entry.record.version;
    entry.record.upstream = upstream;
    entry.changedAt = now;
    return entry.record;
}

std::optional<CrashRecord> Quarantine::onAnswered(Fingerprint fingerprint, base::TimePoint now)
{
    setKnownSafe(fingerprint);
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.record.crashes == 0)
        return std::nullopt;
    Entry& entry = found->second;
    entry.record.crashes = 0;
    ++entry.record.version;
    entry.changedAt = now;
    return entry.record;
}

bool Quarantine::merge(const CrashRecord& record, base::TimePoint changedAt)
{
    Entry& entry = add(record.fingerprint, changedAt);
    if (!record.isNewerThan(entry.record))
        return false;
    entry.record = record;
    entry.changedAt = changedAt;
    return true;
}

bool Quarantine::isQuarantined(const Entry& entry, base::TimePoint now) const
{
    return entry.record.crashes >= settings_.threshold && now < entry.changedAt + settings_.quarantineTime;
}

Verdict Quarantine::verdict(Fingerprint fingerprint, base::TimePoint now)
{
    if (entries_.empty())
        return Verdict::Unsuspected;
    expire(now);
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.record.crashes == 0)
        return Verdict::Unsuspected;
    return isQuarantined(found->second, now) ? Verdict::Quarantined : Verdict::Suspected;
}

base::TimePoint Quarantine::probeAllowedAt(const Entry& entry) const
{
    return entry.record.crashes < 2 ? entry.changedAt : entry.changedAt + settings_.probeInterval;
}

bool Quarantine::beginProbe(Fingerprint fingerprint, base::TimePoint now, base::TimePoint until)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return true;
    Entry& entry = found->second;
    if (now < entry.probedUntil || now < probeAllowedAt(entry) || isQuarantined(entry, now))
        return false;
    entry.probedUntil = until;
    return true;
}

void Quarantine::endProbe(Fingerprint fingerprint, base::TimePoint now)
{
    if (const auto found = entries_.find(fingerprint); found != entries_.end())
        found->second.probedUntil = now + CrashDetectionTime;
}

base::Duration Quarantine::retryAfter(Fingerprint fingerprint, base::TimePoint now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return base::Duration::zero();
    const Entry& entry = found->second;
    const base::TimePoint allowedAt
        = isQuarantined(entry, now) ? entry.changedAt + settings_.quarantineTime : probeAllowedAt(entry);
    return std::max(allowedAt - now, CrashDetectionTime);
}

void Quarantine::setKnownSafe(Fingerprint fingerprint)
{
    if (settings_.knownSafeCapacity == 0)
        return;
    if (const auto safe = knownSafeIndex_.find(fingerprint); safe != knownSafeIndex_.end()) {
        knownSafe_.splice(knownSafe_.begin(), knownSafe_, safe->second);
        return;
    }
    knownSafe_.push_front(fingerprint);
    knownSafeIndex_.emplace(fingerprint, knownSafe_.begin());
    if (knownSafe_.size() <= settings_.knownSafeCapacity)
        return;
    knownSafeIndex_.erase(knownSafe_.back());
    knownSafe_.pop_back();
}

std::size_t Quarantine::suspectedCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& entry) { return entry.second.record.crashes > 0; }));
}

std::size_t Quarantine::quarantinedCount(base::TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [&](const auto& entry) { return isQuarantined(entry.second, now); }));
}

void Quarantine::expire(base::TimePoint now)
{
    if (now < nextExpiry_)
        return;
    nextExpiry_ = now + ExpiryInterval;
    std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.changedAt >= settings_.retention; });
}

} // namespace flamingousher::quarantine
