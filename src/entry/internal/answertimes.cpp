#include "entry/internal/answertimes.h"

#include <algorithm>

namespace flamingousher::entry {

namespace {

    // Used if there is no estimate; fits callers in the same region.
    constexpr base::Duration AssumedRoundTrip = std::chrono::milliseconds(2);

} // namespace

AnswerTimes computeAnswerTimes(base::TimePoint receivedAt, const TimeLimits& limits,
    std::optional<base::Duration> roundTrip, bool isFirstOnConnection)
{
    const base::Duration estimatedRoundTrip = roundTrip.value_or(AssumedRoundTrip);
    // The caller's time limit also covers opening the connection, which takes one more round trip.
    const base::Duration networkTime = isFirstOnConnection ? 2 * estimatedRoundTrip : estimatedRoundTrip;
    const base::Duration overhead = networkTime + limits.reserve;
    const base::Duration remaining = std::max(limits.timeout - overhead, base::Duration::zero());
    const base::Duration goal = std::clamp(limits.goal - overhead, base::Duration::zero(), remaining);
    return { receivedAt + goal, receivedAt + remaining };
}

} // namespace flamingousher::entry
