#include "fanout/subrequestlatency.h"

#include <algorithm>

namespace flamingousher::fanout {

namespace {

    // Initial estimates, as fractions of the goal.
    constexpr int InitialTypicalDivisor = 8;
    constexpr int InitialHedgeDivisor = 4;

    // Answers above this quantile are stragglers: 1 in 20 is hedged, which uses a quarter of the default retry budget.
    constexpr double HedgeQuantile = 0.95;
    constexpr double HedgeMargin = 1.15;

    // As a fraction of the goal, so that the hedge can still be answered within the goal.
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
    if (++samplesSinceRefresh_ >= RefreshInterval)
        refresh();
}

void SubRequestLatency::refresh()
{
    samplesSinceRefresh_ = 0;
    typical_ = estimate_.quantile(0.5);
    const auto stragglerDelay
        = std::chrono::duration_cast<base::Duration>(estimate_.quantile(HedgeQuantile) * HedgeMargin);
    const auto maxDelay = std::chrono::duration_cast<base::Duration>(goal_ * MaxHedgeDelayFraction);
    hedgeDelay_ = std::max(MinHedgeDelay, std::min(stragglerDelay, maxDelay));
}

} // namespace flamingousher::fanout
