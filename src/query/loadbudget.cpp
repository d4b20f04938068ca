#include "query/loadbudget.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    // Bounds a burst of extra load, in first attempts, to about one wide query.
    constexpr double SavedFirstAttempts = 200;

    constexpr base::Duration PauseAfterShed = std::chrono::seconds(1);

} // namespace

LoadBudget::LoadBudget(double fraction)
    : fraction_(fraction)
{
}

void LoadBudget::onFirstAttempt()
{
    tokens_ = std::min(tokens_ + fraction_, fraction_ * SavedFirstAttempts);
}

void LoadBudget::onShed(base::TimePoint now)
{
    blockedUntil_ = now + PauseAfterShed;
    tokens_ = 0;
}

bool LoadBudget::take(base::TimePoint now)
{
    if (now < blockedUntil_ || tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace flamingousher::query
