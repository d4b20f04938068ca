#include "fanout/subrequestlatency.h"

#include <algorithm>

namespace flamingousher::fanout {

namespace {

    // Initial estimates, as fractions of the goal.
    constexpr int InitialTypicalDivisor = 8;
    constexpr int InitialHedgeDivisor = 4;

    // Answers above this quantile are stragglers: 1 in 20 costs a hedge, a quarter of the usual retry budget.
    constexpr double HedgeQuantile = 0.95;
    constexpr double HedgeMargin = 1.15;

    // A hedge must leave time for its own answer within the goal.
    constexpr double MaxHedgeDelayFraction = 0.4;

    constexpr base::Duration MinHedgeDelay = std::chrono::milliseconds(3);
    constexpr std::uint32_t RefreshInterval = 64; // observations

} // namespace

SubRequestLatency::SubRequestLatency(base::Duration goal)
    : goal_(goal)
    , estimate_(goal / InitialTypicalDivisor)
    , typical_(goal / InitialTypicalDivisor)
    , hedgeDelay_(goal / InitialHedgeDivisor)
{
}

void SubRequestLatency::observe(base::Duration time)
{
    estimate_.observe(time);
    if (++sinceRefresh_ >= RefreshInterval)
        refresh();
}

void SubRequestLatency::refresh()
{
    sinceRefresh_ = 0;
    typical_ = estimate_.quantile(0.5);
    const auto straggling = std::chrono::duration_cast<base::Duration>(estimate_.quantile(HedgeQuantile) * HedgeMargin);
    const auto maxDelay = std::chrono::duration_cast<base::Duration>(goal_ * MaxHedgeDelayFraction);
    hedgeDelay_ = std::max(MinHedgeDelay, std::min(straggling, maxDelay));
}

} // namespace flamingousher::fanout
