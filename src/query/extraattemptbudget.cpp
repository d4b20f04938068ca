#include "query/extraattemptbudget.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    // First attempts for which unused tokens accumulate. Bounds a burst to about one query over many shards.
    constexpr double MaxAccumulatedFirstAttempts = 200;

    constexpr base::Duration PauseAfterShed = std::chrono::seconds(1);

} // namespace

ExtraAttemptBudget::ExtraAttemptBudget(double fraction)
    : fraction_(fraction)
{
}

void ExtraAttemptBudget::onFirstAttempt()
{
    tokens_ = std::min(tokens_ + fraction_, fraction_ * MaxAccumulatedFirstAttempts);
}

void ExtraAttemptBudget::onShed(base::TimePoint now)
{
    blockedUntil_ = now + PauseAfterShed;
    tokens_ = 0;
}

bool ExtraAttemptBudget::tryAcquire(base::TimePoint now)
{
    if (now < blockedUntil_ || tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace flamingousher::query
