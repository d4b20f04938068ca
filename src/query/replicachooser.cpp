#include "query/replicachooser.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    constexpr double LatencyEwmaWeight = 0.2;
    constexpr double DefaultServiceMs = 2;

    // Service time that doubles a replica's cost. Large, since work in flight shows load sooner than latency does.
    constexpr double ServiceScaleMs = 20;
    constexpr std::uint32_t FailuresBeforeEjection = 3;
    constexpr std::size_t MaxReplicasToCompareAll = 4;

    // A sub-request cancelled after this multiple of the mean response time counts as a failure.
    constexpr double SlowCancelFactor = 4;
    constexpr double MinSlowCancelMs = 20;
    constexpr base::Duration MinEjection = std::chrono::seconds(1);
    constexpr std::uint32_t MaxEjectionDoublings = 5;

    // Answers after an ejection until an upstream receives its full share of the work again.
    constexpr std::uint32_t SlowStartAnswers = 50;
    constexpr double SlowStartPenalty = 3;
    constexpr std::size_t SlowStartTrialInterval = 4;

    bool isEvidenceAgainstUpstream(const base::Error& error)
    {
        switch (error.code) {
        case base::ErrorCode::Unreachable:
        case base::ErrorCode::UpstreamCrashed:
        case base::ErrorCode::ConnectionLost:
        case base::ErrorCode::ProtocolViolation:
            return true;
        case base::ErrorCode::DeadlineExceeded:
            return error.step == base::Step::Receive;
        default:
            return false;
        }
    }

} // namespace

ReplicaChooser::ReplicaChooser(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

ReplicaChooser::Stats& ReplicaChooser::stats(UpstreamId upstream)
{
    if (upstream >= stats_.size())
        stats_.resize(upstream + 1);
    return stats_[upstream];
}

std::optional<UpstreamId> ReplicaChooser::choose(
    const std::vector<UpstreamId>& candidates, base::Rank rank, base::TimePoint now)
{
    std::vector<UpstreamId> usable;
    std::vector<UpstreamId> ejected;
    for (UpstreamId upstream : candidates) {
        if (stats(upstream).isDraining)
            continue;
        (isAvailable(upstream, now) ? usable : ejected).push_back(upstream);
    }
    // Ejection is a heuristic. It is ignored if it leaves no replica or affects most of them.
    if (usable.empty() || ejected.size() * 2 > candidates.size())
        usable.insert(usable.end(), ejected.begin(), ejected.end());
    if (usable.empty())
        return std::nullopt;
    // An upstream in slow start has a high cost until it has answered, so it gets a small share regardless of cost.
    const UpstreamId candidate = usable[hooks_.random(usable.size())];
    const bool isInSlowStart = stats(candidate).ejections > 0 && stats(candidate).answers < SlowStartAnswers;
    if (isInSlowStart && hooks_.random(SlowStartTrialInterval) == 0)
        return candidate;
    // Compares all of a few replicas, but two random ones of many, since the statistics of many are outdated.
    const std::size_t comparedCount = usable.size() <= MaxReplicasToCompareAll ? usable.size() : 2;
    const std::size_t first = hooks_.random(usable.size());
    UpstreamId best = usable[first];
    for (std::size_t index = 1; index < comparedCount; ++index) {
        const std::size_t next
            = usable.size() <= MaxReplicasToCompareAll ? first + index : hooks_.random(usable.size());
        const UpstreamId other = usable[next % usable.size()];
        if (cost(other, rank) < cost(best, rank))
            best = other;
    }
    return best;
}

bool ReplicaChooser::isAvailable(UpstreamId upstream, base::TimePoint now)
{
    return stats(upstream).ejectedUntil <= now;
}

bool ReplicaChooser::isEjected(UpstreamId upstream, base::TimePoint now) const
{
    return upstream < stats_.size() && stats_[upstream].ejectedUntil > now;
}

double ReplicaChooser::cost(UpstreamId upstream, base::Rank rank)
{
    const Stats& upstreamStats = stats(upstream);
    // Excludes the wait for a slot: the waits of one rank do not apply to another, and answers reveal a queue so late
    // that every VM would switch to the same other replica.
    const double service = upstreamStats.answers > 0 ? upstreamStats.serviceMs : DefaultServiceMs;
    const double slowStartProgress = std::min(1.0, static_cast<double>(upstreamStats.answers) / SlowStartAnswers);
    const double penalty
        = upstreamStats.ejections > 0 ? SlowStartPenalty - (SlowStartPenalty - 1) * slowStartProgress : 1;
    const double inFlight = upstreamStats.inFlight[base::indexOf(rank)];
    return (1 + inFlight) * (1 + service / ServiceScaleMs) * penalty * hooks_.costFactor(upstream);
}

void ReplicaChooser::onSent(UpstreamId upstream, base::Rank rank)
{
    ++stats(upstream).inFlight[base::indexOf(rank)];
}

void ReplicaChooser::onReleased(UpstreamId upstream, base::Rank rank)
{
    std::uint32_t& inFlight = stats(upstream).inFlight[base::indexOf(rank)];
    inFlight -= inFlight > 0 ? 1 : 0;
}

void ReplicaChooser::onAnswered(UpstreamId upstream, base::Rank rank, base::Duration queued, base::Duration total)
{
    onReleased(upstream, rank);
    Stats& upstreamStats = stats(upstream);
    const double response = base::toMilliseconds(total);
    const double service = base::toMilliseconds(total - queued);
    const double weight = upstreamStats.answers == 0 ? 1 : LatencyEwmaWeight;
    upstreamStats.serviceMs += weight * (service - upstreamStats.serviceMs);
    upstreamStats.responseMs += weight * (response - upstreamStats.responseMs);
    ++upstreamStats.answers;
    upstreamStats.consecutiveFailures = 0;
    if (upstreamStats.answers >= SlowStartAnswers)
        upstreamStats.ejections = 0;
}

void ReplicaChooser::onCancelled(UpstreamId upstream, base::Rank rank, base::Duration elapsed, base::TimePoint now)
{
    Stats& upstreamStats = stats(upstream);
    const double minResponseMs = base::toMilliseconds(elapsed);
    if (minResponseMs > std::max(MinSlowCancelMs, SlowCancelFactor * upstreamStats.responseMs)) {
        onFailed(upstream, rank, now);
        return;
    }
    onReleased(upstream, rank);
    const double excess = minResponseMs - upstreamStats.responseMs;
    if (upstreamStats.answers == 0 || excess <= 0)
        return;
    upstreamStats.serviceMs += LatencyEwmaWeight * excess;
    upstreamStats.responseMs += LatencyEwmaWeight * excess;
}

void ReplicaChooser::onError(UpstreamId upstream, base::Rank rank, const base::Error& error, base::TimePoint now)
{
    if (isEvidenceAgainstUpstream(error))
        onFailed(upstream, rank, now);
    else
        onReleased(upstream, rank);
}

void ReplicaChooser::onFailed(UpstreamId upstream, base::Rank rank, base::TimePoint now)
{
    onReleased(upstream, rank);
    Stats& upstreamStats = stats(upstream);
    if (++upstreamStats.consecutiveFailures < FailuresBeforeEjection)
        return;
    const std::uint32_t doublings = std::min(upstreamStats.ejections, MaxEjectionDoublings);
    upstreamStats.ejectedUntil = now + MinEjection * (1U << doublings);
    ++upstreamStats.ejections;
    upstreamStats.answers = 0;
    // After the ejection, one success resets the count and one failure ejects the upstream again.
    upstreamStats.consecutiveFailures = FailuresBeforeEjection - 1;
}

void ReplicaChooser::setDraining(UpstreamId upstream, bool isDraining)
{
    stats(upstream).isDraining = isDraining;
}

} // namespace flamingousher::query
