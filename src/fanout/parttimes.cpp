#include "fanout/parttimes.h"

#include <algorithm>

namespace flamingousher::fanout {

namespace {

    // First guesses, as parts of the goal.
    constexpr int TypicalPart = 8;
    constexpr int HedgePart = 4;

    // Answers above this quantile are stragglers: 1 in 20 costs a hedge, a quarter of the usual retry budget.
    constexpr double HedgeQuantile = 0.95;
    constexpr double HedgeMargin = 1.15;

    // A hedge must leave time for its own answer within the goal.
    constexpr double LatestHedgePart = 0.4;

    constexpr base::Duration LeastHedgeDelay = std::chrono::milliseconds(3);
    constexpr std::uint32_t RefreshInterval = 64; // observations

} // namespace

PartTimes::PartTimes(base::Duration goal)
    : goal_(goal)
    , estimate_(goal / TypicalPart)
    , typical_(goal / TypicalPart)
    , hedgeDelay_(goal / HedgePart)
{
}

void PartTimes::observe(base::Duration time)
{
    estimate_.observe(time);
    if (++sinceRefresh_ >= RefreshInterval)
        refresh();
}

void PartTimes::refresh()
{
    sinceRefresh_ = 0;
    typical_ = estimate_.quantile(0.5);
    const auto straggling = std::chrono::duration_cast<base::Duration>(estimate_.quantile(HedgeQuantile) * HedgeMargin);
    const auto latest = std::chrono::duration_cast<base::Duration>(goal_ * LatestHedgePart);
    hedgeDelay_ = std::max(LeastHedgeDelay, std::min(straggling, latest));
}

} // namespace flamingousher::fanout
