#include "query/replicachooser.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    constexpr double LatencyWeight = 0.2;
    constexpr double UnknownServiceMs = 2;

    // Work in flight shows load sooner than times do. A replica this much slower counts as if its work were doubled.
    constexpr double ServiceScaleMs = 20;
    constexpr std::uint32_t FailuresBeforeEjection = 3;
    constexpr std::size_t FewReplicas = 4;

    // An answer given up after this many times the usual latency counts as a failure.
    constexpr double PatienceFactor = 4;
    constexpr double LeastPatienceMs = 20;
    constexpr base::Duration ShortestEjection = std::chrono::seconds(1);
    constexpr std::uint32_t MostEjectionDoublings = 5;

    // A cold upstream receives a growing part of its share over this many answers.
    constexpr std::uint32_t RampAnswers = 50;
    constexpr double ColdPenalty = 3;
    constexpr std::size_t ReturnTrialInterval = 4;

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
        (mayReceive(upstream, now) ? usable : ejected).push_back(upstream);
    }
    // Ejection is a guess. When it leaves nothing, or concerns most replicas, the guess is not trusted.
    if (usable.empty() || ejected.size() * 2 > candidates.size())
        usable.insert(usable.end(), ejected.begin(), ejected.end());
    if (usable.empty())
        return std::nullopt;
    // An upstream that comes back from ejection looks dear until it is tried: it gets a small part of the work.
    const UpstreamId candidate = usable[hooks_.random(usable.size())];
    const bool isReturning = stats(candidate).ejections > 0 && stats(candidate).answers < RampAnswers;
    if (isReturning && hooks_.random(ReturnTrialInterval) == 0)
        return candidate;
    // Compares all of a few replicas, two at random of many: what is known of each is old by then.
    const std::size_t compared = usable.size() <= FewReplicas ? usable.size() : 2;
    const std::size_t first = hooks_.random(usable.size());
    UpstreamId best = usable[first];
    for (std::size_t index = 1; index < compared; ++index) {
        const std::size_t next = usable.size() <= FewReplicas ? first + index : hooks_.random(usable.size());
        const UpstreamId other = usable[next % usable.size()];
        if (cost(other, rank) < cost(best, rank))
            best = other;
    }
    return best;
}

bool ReplicaChooser::mayReceive(UpstreamId upstream, base::TimePoint now)
{
    return stats(upstream).ejectedUntil <= now;
}

bool ReplicaChooser::isEjected(UpstreamId upstream, base::TimePoint now) const
{
    return upstream < stats_.size() && stats_[upstream].ejectedUntil > now;
}

double ReplicaChooser::cost(UpstreamId upstream, base::Rank rank)
{
    const Stats& known = stats(upstream);
    // Without the wait for a slot: the waits of one rank say nothing to another, and by the time an answer tells of
    // a queue, every VM would turn to the same other replica.
    const double service = known.answers > 0 ? known.serviceMs : UnknownServiceMs;
    const double warmth = std::min(1.0, static_cast<double>(known.answers) / RampAnswers);
    const double penalty = known.ejections > 0 ? ColdPenalty - (ColdPenalty - 1) * warmth : 1;
    const double inFlight = known.inFlight[base::indexOf(rank)];
    return (1 + inFlight) * (1 + service / ServiceScaleMs) * penalty * hooks_.distance(upstream);
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
    Stats& known = stats(upstream);
    const double response = base::toMilliseconds(total);
    const double service = base::toMilliseconds(total - queued);
    const double weight = known.answers == 0 ? 1 : LatencyWeight;
    known.serviceMs += weight * (service - known.serviceMs);
    known.responseMs += weight * (response - known.responseMs);
    ++known.answers;
    known.consecutiveFailures = 0;
    if (known.answers >= RampAnswers)
        known.ejections = 0;
}

void ReplicaChooser::onCancelled(UpstreamId upstream, base::Rank rank, base::Duration elapsed, base::TimePoint now)
{
    Stats& known = stats(upstream);
    const double atLeast = base::toMilliseconds(elapsed);
    if (atLeast > std::max(LeastPatienceMs, PatienceFactor * known.responseMs)) {
        onFailed(upstream, rank, now);
        return;
    }
    onReleased(upstream, rank);
    const double excess = atLeast - known.responseMs;
    if (known.answers == 0 || excess <= 0)
        return;
    known.serviceMs += LatencyWeight * excess;
    known.responseMs += LatencyWeight * excess;
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
    Stats& known = stats(upstream);
    if (++known.consecutiveFailures < FailuresBeforeEjection)
        return;
    const std::uint32_t doublings = std::min(known.ejections, MostEjectionDoublings);
    known.ejectedUntil = now + ShortestEjection * (1U << doublings);
    ++known.ejections;
    known.answers = 0;
    // One success is enough to stay; one failure is enough to be ejected again.
    known.consecutiveFailures = FailuresBeforeEjection - 1;
}

void ReplicaChooser::setDraining(UpstreamId upstream, bool isDraining)
{
    stats(upstream).isDraining = isDraining;
}

} // namespace flamingousher::query
