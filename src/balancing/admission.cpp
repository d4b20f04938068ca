#include "balancing/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace flamingousher::balancing {

namespace {

    // A retry after less time would find the same queue.
    constexpr base::Duration MinRetryAfter = std::chrono::milliseconds(20);

    // Delay for a shard without a usable upstream: about the time until one is discovered or recovers.
    constexpr base::Duration RetryAfterUnusable = std::chrono::milliseconds(500);

    // A shard whose upstreams are all much slower than usual still does some work.
    constexpr double MinParallelism = 0.01;

    base::Duration expectedLatency(const ShardLoad& shard)
    {
        if (shard.hasCapacity)
            return shard.serviceTime;
        if (shard.limitWait > base::Duration::zero())
            return shard.limitWait + shard.serviceTime;
        const std::chrono::duration<double> wait(std::chrono::duration<double>(shard.workAhead + shard.work).count()
            / std::max(shard.parallelism, MinParallelism));
        return std::chrono::ceil<base::Duration>(wait) + shard.serviceTime;
    }

    base::Duration maxServiceTime(std::span<const ShardLoad> shards)
    {
        return std::ranges::max(shards, {}, &ShardLoad::serviceTime).serviceTime;
    }

    // Returns the time until enough of the unusable shards are usable.
    base::Duration timeUntilUsable(std::span<const ShardLoad> shards, std::size_t missingShards)
    {
        std::vector<base::Duration> times;
        for (const ShardLoad& shard : shards) {
            if (!shard.isUsable)
                times.push_back(shard.usableIn > base::Duration::zero() ? shard.usableIn : RetryAfterUnusable);
        }
        std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(missingShards - 1));
        return times[missingShards - 1];
    }

} // namespace

std::size_t requiredShards(std::size_t shards, double minCoverage)
{
    constexpr double RoundingTolerance = 1e-9;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(minCoverage * static_cast<double>(shards) - RoundingTolerance)));
}

base::Duration workInterval(std::span<const ShardLoad> shards)
{
    base::Duration longest { 0 };
    for (const ShardLoad& shard : shards) {
        if (shard.isUsable)
            longest = std::max(longest,
                std::chrono::duration_cast<base::Duration>(shard.work / std::max(shard.parallelism, MinParallelism)));
    }
    return longest;
}

AdmissionDecision admit(
    std::span<const ShardLoad> shards, double minCoverage, base::Duration timeToGoal, double correction)
{
    std::vector<base::Duration> latencies;
    latencies.reserve(shards.size());
    for (const ShardLoad& shard : shards) {
        if (shard.isUsable)
            latencies.push_back(expectedLatency(shard));
    }
    const std::size_t required = requiredShards(shards.size(), minCoverage);
    if (latencies.size() < required) {
        const base::Duration wait = timeUntilUsable(shards, required - latencies.size());
        return { AdmissionReason::TooFewUsable, wait, wait };
    }
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(required - 1));
    const auto expected = std::chrono::duration_cast<base::Duration>(latencies[required - 1] * correction);
    if (expected <= timeToGoal)
        return { AdmissionReason::Admitted, expected, {} };
    // Without a queue, here or at the upstreams, the upstreams themselves are slow: a retry would not be faster, so a
    // late answer is better than none.
    const bool isQueued
        = std::ranges::any_of(shards, [](const ShardLoad& shard) { return !shard.hasCapacity || shard.isCongested; });
    if (!isQueued)
        return { AdmissionReason::Admitted, expected, {} };
    // The queue drains in steps of a service time: a retry within one step would find it unchanged.
    const base::Duration roundTime = std::max<base::Duration>(MinRetryAfter, maxServiceTime(shards));
    const auto rounds = (expected - timeToGoal + roundTime - base::Duration(1)) / roundTime;
    return { AdmissionReason::TooLate, expected, roundTime * rounds };
}

} // namespace flamingousher::balancing
