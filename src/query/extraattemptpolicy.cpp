#include "query/extraattemptpolicy.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    // Hedges and retries per first attempt, 5% in total.
    constexpr double HedgeFraction = 0.04;
    constexpr double RetryFraction = 0.01;

    // The fraction of answers above this quantile must be within the budget, or ordinary answers exhaust it.
    constexpr double HedgeQuantile = 0.975;

    constexpr base::Duration InitialHedgeDelay = std::chrono::milliseconds(20);
    constexpr base::Duration MinHedgeDelay = std::chrono::milliseconds(1);

} // namespace

ExtraAttemptPolicy::ExtraAttemptPolicy()
    : latency_(InitialHedgeDelay)
    , hedges_(HedgeFraction)
    , retries_(RetryFraction)
{
}

base::Duration ExtraAttemptPolicy::hedgeDelay() const
{
    return std::max(MinHedgeDelay, latency_.quantile(HedgeQuantile));
}

void ExtraAttemptPolicy::onFirstAttempt()
{
    hedges_.onFirstAttempt();
    retries_.onFirstAttempt();
}

void ExtraAttemptPolicy::onShed(base::TimePoint now)
{
    hedges_.onShed(now);
    retries_.onShed(now);
}

} // namespace flamingousher::query
