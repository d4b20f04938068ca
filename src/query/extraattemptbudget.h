#pragma once

#include "base/types.h"

namespace flamingousher::query {

// Token bucket that limits hedges or retries to a fraction of the first attempts. Grants none for a while after
// upstreams have shed load, since hedges and retries would add to the overload.
class ExtraAttemptBudget {
public:
    // fraction: tokens added for each first attempt.
    explicit ExtraAttemptBudget(double fraction);

    void onFirstAttempt();
    void onShed(base::TimePoint now);
    bool tryAcquire(base::TimePoint now);

private:
    double fraction_;
    double tokens_ { 0 };
    base::TimePoint blockedUntil_;
};

} // namespace flamingousher::query
