#include "balancing/admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace flamingousher::balancing {

namespace {

    // A caller that returns sooner would meet the same queue.
    constexpr base::Duration LeastRetryAfter = std::chrono::milliseconds(20);

    // Without any usable upstream: about the time in which one is found or comes back.
    constexpr base::Duration RetryAfterUnusable = std::chrono::milliseconds(500);

    base::Duration expectedTime(const ShardLoad& shard)
    {
        if (shard.hasRoom)
            return shard.serviceTime;
        const auto turns
            = static_cast<base::Duration::rep>(shard.ahead / std::max<std::size_t>(1, shard.connections) + 1);
        return shard.serviceTime * (turns + 1);
    }

    base::Duration longestServiceTime(std::span<const ShardLoad> shards)
    {
        return std::ranges::max(shards, {}, &ShardLoad::serviceTime).serviceTime;
    }

} // namespace

AdmissionVerdict admit(std::span<const ShardLoad> shards, double leastCoverage, base::Duration goalLeft)
{
    std::vector<base::Duration> times;
    times.reserve(shards.size());
    for (const ShardLoad& shard : shards) {
        if (shard.isUsable)
            times.push_back(expectedTime(shard));
    }
    const auto needed = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(leastCoverage * static_cast<double>(shards.size()) - 1e-9)));
    if (times.size() < needed)
        return { AdmissionReason::TooFewUsable, RetryAfterUnusable, RetryAfterUnusable };
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(needed - 1));
    const base::Duration expected = times[needed - 1];
    if (expected <= goalLeft)
        return { AdmissionReason::Admitted, expected, {} };
    // An idle system that is slow by itself serves late rather than not at all: waiting would not help.
    const bool isQueued = std::ranges::any_of(shards, [](const ShardLoad& shard) { return !shard.hasRoom; });
    if (!isQueued)
        return { AdmissionReason::Admitted, expected, {} };
    // The queue moves by whole service times: a caller that returned within one would find it as long as now.
    const base::Duration turn = std::max<base::Duration>(LeastRetryAfter, longestServiceTime(shards));
    const auto turns = (expected - goalLeft + turn - base::Duration(1)) / turn;
    return { AdmissionReason::TooLate, expected, turn * turns };
}

} // namespace flamingousher::balancing
