#include "entry/internal/answertimes.h"

#include <algorithm>

namespace flamingousher::entry {

namespace {

    // Without an estimate: callers in the same region.
    constexpr base::Duration AssumedRoundTrip = std::chrono::milliseconds(2);

} // namespace

AnswerTimes computeAnswerTimes(base::TimePoint receivedAt, const TimeLimits& limits,
    std::optional<base::Duration> roundTrip, bool isFirstOnConnection)
{
    const base::Duration oneTrip = roundTrip.value_or(AssumedRoundTrip);
    // The caller's clock also ran while it opened the connection.
    const base::Duration onTheWay = isFirstOnConnection ? 2 * oneTrip : oneTrip;
    const base::Duration spent = onTheWay + limits.reserve;
    const base::Duration allowed = std::max(limits.allowed - spent, base::Duration::zero());
    const base::Duration goal = std::clamp(limits.goal - spent, base::Duration::zero(), allowed);
    return { receivedAt + goal, receivedAt + allowed };
}

} // namespace flamingousher::entry
