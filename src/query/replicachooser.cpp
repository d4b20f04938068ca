#include "query/replicachooser.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    constexpr double LatencyWeight = 0.2;
    constexpr double UnknownLatencyMs = 2;
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

std::optional<UpstreamId> ReplicaChooser::choose(const std::vector<UpstreamId>& candidates, base::TimePoint now)
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
        if (cost(other, now) < cost(best, now))
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

double ReplicaChooser::cost(UpstreamId upstream, base::TimePoint)
{
    const Stats& known = stats(upstream);
    const double latency = known.answers > 0 ? known.latencyMs : UnknownLatencyMs;
    const double warmth = std::min(1.0, static_cast<double>(known.answers) / RampAnswers);
    const double penalty = known.ejections > 0 ? ColdPenalty - (ColdPenalty - 1) * warmth : 1;
    return latency * (1 + known.inFlight) * penalty * hooks_.distance(upstream);
}

void ReplicaChooser::onSent(UpstreamId upstream, base::TimePoint)
{
    ++stats(upstream).inFlight;
}

void ReplicaChooser::onReleased(UpstreamId upstream)
{
    Stats& known = stats(upstream);
    known.inFlight -= known.inFlight > 0 ? 1 : 0;
}

void ReplicaChooser::onAnswered(UpstreamId upstream, base::Duration latency, base::TimePoint)
{
    onReleased(upstream);
    Stats& known = stats(upstream);
    const double observed = base::toMilliseconds(latency);
    known.latencyMs = known.answers == 0 ? observed : known.latencyMs + LatencyWeight * (observed - known.latencyMs);
    ++known.answers;
    known.consecutiveFailures = 0;
    if (known.answers >= RampAnswers)
        known.ejections = 0;
}

void ReplicaChooser::onCancelled(UpstreamId upstream, base::Duration elapsed, base::TimePoint now)
{
    Stats& known = stats(upstream);
    const double atLeast = base::toMilliseconds(elapsed);
    if (atLeast > std::max(LeastPatienceMs, PatienceFactor * known.latencyMs)) {
        onFailed(upstream, now);
        return;
    }
    onReleased(upstream);
    if (known.answers > 0 && atLeast > known.latencyMs)
        known.latencyMs += LatencyWeight * (atLeast - known.latencyMs);
}

void ReplicaChooser::onFailed(UpstreamId upstream, base::TimePoint now)
{
    onReleased(upstream);
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
