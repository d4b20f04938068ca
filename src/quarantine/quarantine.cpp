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
    recent_.push_back({ now, fingerprint, upstream });
    if (isMassFailure()) {
        forgetRecent();
        return;
    }
    if (evidence_.size() >= settings_.capacity && !evidence_.contains(fingerprint)) {
        const auto oldest
            = std::ranges::min_element(evidence_, {}, [](const auto& entry) { return entry.second.lastAt; });
        evidence_.erase(oldest);
    }
    Evidence& evidence = evidence_[fingerprint];
    evidence.upstreams.insert(upstream);
    evidence.lastAt = now;
    if (const auto proved = provedIndex_.find(fingerprint); proved != provedIndex_.end()) {
        proved_.erase(proved->second);
        provedIndex_.erase(proved);
    }
}

bool Quarantine::isMassFailure() const
{
    std::set<std::string> upstreams;
    for (const Crash& crash : recent_)
        upstreams.insert(crash.upstream);
    return upstreams.size() >= settings_.massUpstreams;
}

// Takes back what the upstreams lost together have added, also before it was seen that there were many.
void Quarantine::forgetRecent()
{
    for (const Crash& crash : recent_) {
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
    if (const auto known = provedIndex_.find(fingerprint); known != provedIndex_.end()) {
        proved_.splice(proved_.begin(), proved_, known->second);
        return;
    }
    proved_.push_front(fingerprint);
    provedIndex_.emplace(fingerprint, proved_.begin());
    if (proved_.size() <= settings_.provedCapacity)
        return;
    provedIndex_.erase(proved_.back());
    proved_.pop_back();
}

bool Quarantine::isQuarantined(Fingerprint fingerprint, base::TimePoint now)
{
    const auto found = evidence_.find(fingerprint);
    if (found == evidence_.end())
        return false;
    if (now - found->second.lastAt >= settings_.memory) {
        evidence_.erase(found);
        return false;
    }
    return found->second.upstreams.size() >= settings_.crashesToQuarantine;
}

std::size_t Quarantine::crashCount(Fingerprint fingerprint) const
{
    const auto found = evidence_.find(fingerprint);
    return found == evidence_.end() ? 0 : found->second.upstreams.size();
}

std::size_t Quarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        evidence_, [&](const auto& entry) { return entry.second.upstreams.size() >= settings_.crashesToQuarantine; }));
}

void Quarantine::expire(base::TimePoint now)
{
    while (!recent_.empty() && now - recent_.front().at >= settings_.massWindow)
        recent_.pop_front();
    std::erase_if(evidence_, [&](const auto& entry) { return now - entry.second.lastAt >= settings_.memory; });
}

} // namespace flamingousher::quarantine
