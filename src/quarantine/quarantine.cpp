#include "quarantine/quarantine.h"

#include <algorithm>

namespace flamingousher::quarantine {

Quarantine::Quarantine(QuarantineSettings settings)
    : settings_(settings)
{
}

void Quarantine::onCrash(Fingerprint fingerprint, const std::string& upstream, base::TimePoint now)
{
    expire(now);
    recentCrashes_.push_back({ now, fingerprint, upstream });
    if (isMassFailure()) {
        removeRecentEvidence();
        return;
    }
    if (evidence_.size() >= settings_.capacity && !evidence_.contains(fingerprint)) {
        const auto oldest
            = std::ranges::min_element(evidence_, {}, [](const auto& entry) { return entry.second.lastCrashAt; });
        evidence_.erase(oldest);
    }
    Evidence& evidence = evidence_[fingerprint];
    evidence.upstreams.insert(upstream);
    evidence.lastCrashAt = now;
    if (const auto safe = knownSafeIndex_.find(fingerprint); safe != knownSafeIndex_.end()) {
        knownSafe_.erase(safe->second);
        knownSafeIndex_.erase(safe);
    }
}

bool Quarantine::isMassFailure() const
{
    std::set<std::string> upstreams;
    for (const Crash& crash : recentCrashes_)
        upstreams.insert(crash.upstream);
    return upstreams.size() >= settings_.massFailureUpstreams;
}

// Removes the evidence of all crashes within the window, including crashes from before the threshold was reached.
void Quarantine::removeRecentEvidence()
{
    for (const Crash& crash : recentCrashes_) {
        const auto found = evidence_.find(crash.fingerprint);
        if (found == evidence_.end())
            continue;
        found->second.upstreams.erase(crash.upstream);
        if (found->second.upstreams.empty())
            evidence_.erase(found);
    }
}

void Quarantine::onAnswered(Fingerprint fingerprint)
{
    evidence_.erase(fingerprint);
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

bool Quarantine::isQuarantined(Fingerprint fingerprint, base::TimePoint now)
{
    const auto found = evidence_.find(fingerprint);
    if (found == evidence_.end())
        return false;
    if (now - found->second.lastCrashAt >= settings_.retention) {
        evidence_.erase(found);
        return false;
    }
    return found->second.upstreams.size() >= settings_.crashThreshold;
}

std::size_t Quarantine::crashCount(Fingerprint fingerprint) const
{
    const auto found = evidence_.find(fingerprint);
    return found == evidence_.end() ? 0 : found->second.upstreams.size();
}

std::size_t Quarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        evidence_, [&](const auto& entry) { return entry.second.upstreams.size() >= settings_.crashThreshold; }));
}

void Quarantine::expire(base::TimePoint now)
{
    while (!recentCrashes_.empty() && now - recentCrashes_.front().at >= settings_.massFailureWindow)
        recentCrashes_.pop_front();
    std::erase_if(evidence_, [&](const auto& entry) { return now - entry.second.lastCrashAt >= settings_.retention; });
}

} // namespace flamingousher::quarantine
