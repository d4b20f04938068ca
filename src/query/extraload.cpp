#include "query/extraload.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    // Extra sub-requests as a fraction of first attempts: 5% together.
    constexpr double HedgeFraction = 0.04;
    constexpr double RetryFraction = 0.01;

    // The part above the quantile must fit into the budget, or the budget is spent on ordinary answers.
    constexpr double HedgeQuantile = 0.975;

    constexpr base::Duration InitialHedgeDelay = std::chrono::milliseconds(20);
    constexpr base::Duration LeastHedgeDelay = std::chrono::milliseconds(1);

} // namespace

ExtraLoad::ExtraLoad()
    : latency_(InitialHedgeDelay)
    , hedges_(HedgeFraction)
    , retries_(RetryFraction)
{
}

base::Duration ExtraLoad::hedgeDelay() const
{
    return std::max(LeastHedgeDelay, latency_.quantile(HedgeQuantile));
}

void ExtraLoad::onFirstAttempt()
{
    hedges_.onFirstAttempt();
    retries_.onFirstAttempt();
}

void ExtraLoad::onShed(base::TimePoint now)
{
    hedges_.onShed(now);
    retries_.onShed(now);
}

} // namespace flamingousher::query
