#include "balancing/replicaselector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingousher::balancing {

namespace {

    constexpr double SlownessWeight = 0.3;
    constexpr double FailureWeight = 0.25;

    // One answer after a pause must not look like a slow upstream.
    constexpr double MostSlownessOfOneAnswer = 4;

    // Without news an upstream is tried again after a few half-lives: about as long as a disturbance lasts.
    constexpr base::Duration SlownessHalfLife = std::chrono::milliseconds(1'500);
    constexpr base::Duration FailureHalfLife = std::chrono::milliseconds(2'000);

    // What is learnt is to outlast this many further requests at the upstream, but no disturbance by far.
    constexpr double RememberedRequests = 3;
    constexpr double MostMemoryFactor = 6;
    constexpr double IntervalWeight = 0.1;
    constexpr std::uint32_t LeastIntervals = 8; // one gap between two requests does not make them rare
    constexpr base::Duration LongestInterval = std::chrono::seconds(10); // a longer gap says nothing about the rate

    // An attempt older than this many usual times is taken as a sign that the upstream stands still.
    constexpr double StallFactor = 2.5;

    // Each request in flight adds this part of a service time; upstreams work on several at once.
    constexpr double QueueFactor = 0.4;

    constexpr double FailureFactor = 10;
    constexpr double ColdFactor = 1.6; // a searcher that has just started needs about this much longer

    base::Duration scaled(base::Duration duration, double factor)
    {
        return std::chrono::duration_cast<base::Duration>(duration * factor);
    }

    double halvings(base::Duration elapsed, base::Duration halfLife)
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

void ReplicaSelector::setUpstream(UpstreamId upstream, base::Duration distance, base::TimePoint coldUntil)
{
    Stats& known = stats(upstream);
    known.distance = distance;
    known.coldUntil = coldUntil;
}

void ReplicaSelector::noteConsidered(Stats& stats, std::size_t candidates, base::TimePoint now)
{
    const base::Duration interval = now - std::exchange(stats.lastConsidered, now);
    if (interval > LongestInterval)
        return;
    ++stats.intervals;
    stats.considerInterval
        += std::chrono::duration_cast<base::Duration>(IntervalWeight * (interval - stats.considerInterval));
    if (stats.intervals < LeastIntervals)
        return;
    const base::Duration remembered = std::chrono::duration_cast<base::Duration>(
        RememberedRequests * static_cast<double>(candidates) * stats.considerInterval);
    stats.memoryFactor
        = std::clamp(std::chrono::duration<double>(remembered) / SlownessHalfLife, 1.0, MostMemoryFactor);
}

double ReplicaSelector::decayedSlowness(const Stats& stats, base::TimePoint now)
{
    return 1 + (stats.slowness - 1) * halvings(now - stats.slownessAt, scaled(SlownessHalfLife, stats.memoryFactor));
}

double ReplicaSelector::decayedFailureRate(const Stats& stats, base::TimePoint now)
{
    return stats.failureRate * halvings(now - stats.failureAt, scaled(FailureHalfLife, stats.memoryFactor));
}

base::Duration ReplicaSelector::expected(UpstreamId upstream, base::Duration typical, base::TimePoint now) const
{
    if (upstream >= stats_.size())
        return typical;
    const Stats& known = stats_[upstream];
    const double slowness = decayedSlowness(known, now);
    const double typicalMs = base::toMilliseconds(typical);
    double expectedMs = typicalMs * slowness * (1 + QueueFactor * static_cast<double>(known.inFlight.size()));
    if (now < known.coldUntil)
        expectedMs *= ColdFactor;
    if (!known.inFlight.empty()) {
        const double oldestMs = base::toMilliseconds(now - known.inFlight.front().sentAt);
        if (oldestMs > StallFactor * typicalMs * slowness)
            expectedMs += oldestMs;
    }
    expectedMs
        = (expectedMs + base::toMilliseconds(known.distance)) * (1 + FailureFactor * decayedFailureRate(known, now));
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(expectedMs));
}

ReplicaSelector::Choice ReplicaSelector::choose(std::span<const UpstreamId> candidates,
    std::span<const UpstreamId> tried, base::Duration typical, base::TimePoint now)
{
    if (tried.empty()) {
        for (UpstreamId upstream : candidates)
            noteConsidered(stats(upstream), candidates.size(), now);
    }
    Choice choice;
    base::Duration least = base::Duration::max();
    for (UpstreamId upstream : candidates) {
        if (std::ranges::find(tried, upstream) != tried.end() || !hooks_.isReachable(upstream))
            continue;
        if (!hooks_.hasRoom(upstream)) {
            if (choice.verdict == Verdict::NoneUsable)
                choice.verdict = Verdict::NoRoom;
            continue;
        }
        const base::Duration cost = expected(upstream, typical, now);
        if (cost < least) {
            least = cost;
            choice = { Verdict::Chosen, upstream };
        }
    }
    return choice;
}

void ReplicaSelector::onSent(UpstreamId upstream, AttemptId attempt, base::Duration typical, base::TimePoint now)
{
    stats(upstream).inFlight.push_back({ attempt, typical, now });
}

std::optional<ReplicaSelector::InFlight> ReplicaSelector::take(Stats& stats, AttemptId attempt)
{
    const auto found = std::ranges::find(stats.inFlight, attempt, &InFlight::attempt);
    if (found == stats.inFlight.end())
        return std::nullopt;
    const InFlight ended = *found;
    stats.inFlight.erase(found);
    return ended;
}

void ReplicaSelector::learnSlowness(Stats& stats, double ratio, base::TimePoint now)
{
    const double before = decayedSlowness(stats, now);
    stats.slowness = before + SlownessWeight * (std::min(ratio, MostSlownessOfOneAnswer) - before);
    stats.slownessAt = now;
}

void ReplicaSelector::onAnswered(UpstreamId upstream, AttemptId attempt, base::TimePoint now)
{
    Stats& known = stats(upstream);
    const auto ended = take(known, attempt);
    if (!ended || ended->typical <= base::Duration::zero())
        return;
    learnSlowness(known, std::chrono::duration<double>(now - ended->sentAt) / ended->typical, now);
    known.failureRate = decayedFailureRate(known, now) * (1 - FailureWeight);
    known.failureAt = now;
}

void ReplicaSelector::onFailed(UpstreamId upstream, AttemptId attempt, base::TimePoint now)
{
    Stats& known = stats(upstream);
    take(known, attempt);
    const double before = decayedFailureRate(known, now);
    known.failureRate = before + FailureWeight * (1 - before);
    known.failureAt = now;
}

void ReplicaSelector::onEnded(UpstreamId upstream, AttemptId attempt)
{
    take(stats(upstream), attempt);
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
