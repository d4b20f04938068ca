#include "balancing/replicaselector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingousher::balancing {

namespace {

    constexpr double SlownessWeight = 0.3;
    constexpr double FailureWeight = 0.25;

    // Caps the ratio, so that one answer after a pause doesn't mark the upstream as slow.
    constexpr double MaxSlownessPerAnswer = 4;

    // Without new samples an upstream is tried again after a few half-lives, about the duration of a typical slowdown.
    constexpr base::Duration SlownessHalfLife = std::chrono::milliseconds(1'500);
    constexpr base::Duration FailureHalfLife = std::chrono::milliseconds(2'000);

    // Statistics are retained over this many further requests to the upstream, but not far beyond a slowdown's
    // duration.
    constexpr double RetainedRequests = 3;
    constexpr double MaxHalfLifeFactor = 6;
    constexpr double IntervalWeight = 0.1;
    constexpr std::uint32_t MinIntervals = 8; // a single long gap must not extend the half-life
    constexpr base::Duration MaxInterval
        = std::chrono::seconds(10); // longer gaps are ignored: they don't reflect the request rate

    // An attempt in flight for longer than this multiple of its expected time indicates a stalled upstream.
    constexpr double StallFactor = 2.5;

    // Fraction of a service time added for each request in flight; upstreams process several concurrently.
    constexpr double QueueFactor = 0.4;

    constexpr double FailureFactor = 10;
    constexpr double WarmUpFactor = 1.6; // slowdown of a searcher that has just started

    base::Duration scaled(base::Duration duration, double factor)
    {
        return std::chrono::duration_cast<base::Duration>(duration * factor);
    }

    double decayFactor(base::Duration elapsed, base::Duration halfLife)
    {
        return std::exp2(-std::max(0.0, std::chrono::duration<double>(elapsed) / halfLife));
    }

} // namespace

ReplicaSelector::ReplicaSelector(Hooks hooks)
    : hooks_(std::move(hooks))
{
}

ReplicaSelector::Stats& ReplicaSelector::stats(UpstreamId upstream)
{
    if (upstream >= stats_.size())
        stats_.resize(upstream + 1);
    return stats_[upstream];
}

void ReplicaSelector::setUpstream(UpstreamId upstream, const Distance& distance, base::TimePoint warmUpUntil)
{
    Stats& upstreamStats = stats(upstream);
    upstreamStats.distance = distance;
    upstreamStats.warmUpUntil = warmUpUntil;
}

void ReplicaSelector::recordCandidate(Stats& stats, std::size_t candidates, base::TimePoint now)
{
    const base::Duration interval = now - std::exchange(stats.lastCandidateAt, now);
    if (interval > MaxInterval)
        return;
    ++stats.intervalCount;
    stats.candidateInterval
        += std::chrono::duration_cast<base::Duration>(IntervalWeight * (interval - stats.candidateInterval));
    if (stats.intervalCount < MinIntervals)
        return;
    const base::Duration retention = std::chrono::duration_cast<base::Duration>(
        RetainedRequests * static_cast<double>(candidates) * stats.candidateInterval);
    stats.halfLifeFactor
        = std::clamp(std::chrono::duration<double>(retention) / SlownessHalfLife, 1.0, MaxHalfLifeFactor);
}

double ReplicaSelector::decayedSlowness(const Stats& stats, base::TimePoint now)
{
    return 1
        + (stats.slowness - 1) * decayFactor(now - stats.slownessAt, scaled(SlownessHalfLife, stats.halfLifeFactor));
}

double ReplicaSelector::decayedFailureRate(const Stats& stats, base::TimePoint now)
{
    return stats.failureRate * decayFactor(now - stats.failureAt, scaled(FailureHalfLife, stats.halfLifeFactor));
}

base::Duration ReplicaSelector::expectedLatency(UpstreamId upstream, base::Duration typical, base::TimePoint now) const
{
    if (upstream >= stats_.size())
        return typical;
    const Stats& upstreamStats = stats_[upstream];
    const double slowness = decayedSlowness(upstreamStats, now);
    const double typicalMs = base::toMilliseconds(typical);
    double expectedMs = typicalMs * slowness * (1 + QueueFactor * static_cast<double>(upstreamStats.inFlight.size()));
    if (now < upstreamStats.warmUpUntil)
        expectedMs *= WarmUpFactor;
    if (!upstreamStats.inFlight.empty()) {
        const double oldestMs = base::toMilliseconds(now - upstreamStats.inFlight.front().sentAt);
        if (oldestMs > StallFactor * typicalMs * slowness)
            expectedMs += oldestMs;
    }
    expectedMs = (expectedMs * upstreamStats.distance.factor + base::toMilliseconds(upstreamStats.distance.latency))
        * (1 + FailureFactor * decayedFailureRate(upstreamStats, now));
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(expectedMs));
}

ReplicaSelector::Choice ReplicaSelector::choose(std::span<const UpstreamId> candidates,
    std::span<const UpstreamId> tried, base::Duration typical, base::TimePoint now)
{
    if (tried.empty()) {
        for (UpstreamId upstream : candidates)
            recordCandidate(stats(upstream), candidates.size(), now);
    }
    Choice choice;
    base::Duration lowestCost = base::Duration::max();
    std::optional<UpstreamId> busy;
    base::Duration lowestBusyCost = base::Duration::max();
    for (UpstreamId upstream : candidates) {
        if (std::ranges::find(tried, upstream) != tried.end() || !hooks_.isReachable(upstream))
            continue;
        const base::Duration cost = expectedLatency(upstream, typical, now);
        if (!hooks_.hasCapacity(upstream)) {
            if (choice.outcome == Outcome::NoneUsable)
                choice.outcome = Outcome::NoCapacity;
            if (cost < lowestBusyCost) {
                lowestBusyCost = cost;
                busy = upstream;
            }
            continue;
        }
        if (cost < lowestCost) {
            lowestCost = cost;
            choice = { Outcome::Chosen, upstream };
        }
    }
    if (busy && lowestBusyCost < lowestCost && hooks_.onSkipped)
        hooks_.onSkipped(*busy);
    return choice;
}

void ReplicaSelector::onSent(UpstreamId upstream, AttemptId attempt, base::Duration typical, base::TimePoint now)
{
    stats(upstream).inFlight.push_back({ attempt, typical, now });
}

std::optional<ReplicaSelector::InFlight> ReplicaSelector::removeInFlight(Stats& stats, AttemptId attempt)
{
    const auto found = std::ranges::find(stats.inFlight, attempt, &InFlight::attempt);
    if (found == stats.inFlight.end())
        return std::nullopt;
    const InFlight ended = *found;
    stats.inFlight.erase(found);
    return ended;
}

void ReplicaSelector::updateSlowness(Stats& stats, double ratio, base::TimePoint now)
{
    const double previous = decayedSlowness(stats, now);
    stats.slowness = previous + SlownessWeight * (std::min(ratio, MaxSlownessPerAnswer) - previous);
    stats.slownessAt = now;
}

void ReplicaSelector::onAnswered(UpstreamId upstream, AttemptId attempt, base::TimePoint now)
{
    Stats& upstreamStats = stats(upstream);
    const auto ended = removeInFlight(upstreamStats, attempt);
    if (!ended || ended->typical <= base::Duration::zero())
        return;
    updateSlowness(upstreamStats, std::chrono::duration<double>(now - ended->sentAt) / ended->typical, now);
    upstreamStats.failureRate = decayedFailureRate(upstreamStats, now) * (1 - FailureWeight);
    upstreamStats.failureAt = now;
}

void ReplicaSelector::onFailed(UpstreamId upstream, AttemptId attempt, base::TimePoint now)
{
    Stats& upstreamStats = stats(upstream);
    removeInFlight(upstreamStats, attempt);
    const double previous = decayedFailureRate(upstreamStats, now);
    upstreamStats.failureRate = previous + FailureWeight * (1 - previous);
    upstreamStats.failureAt = now;
}

void ReplicaSelector::onInconclusive(UpstreamId upstream, AttemptId attempt)
{
    removeInFlight(stats(upstream), attempt);
}

std::size_t ReplicaSelector::inFlight(UpstreamId upstream) const
{
    return upstream < stats_.size() ? stats_[upstream].inFlight.size() : 0;
}

double ReplicaSelector::slowness(UpstreamId upstream, base::TimePoint now) const
{
    return upstream < stats_.size() ? decayedSlowness(stats_[upstream], now) : 1;
}

double ReplicaSelector::failureRate(UpstreamId upstream, base::TimePoint now) const
{
    return upstream < stats_.size() ? decayedFailureRate(stats_[upstream], now) : 0;
}

} // namespace flamingousher::balancing
