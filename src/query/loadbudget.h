#pragma once

#include "base/types.h"

namespace flamingousher::query {

// Limits extra sub-requests (hedges, retries) to a fraction of the first attempts. Gives nothing for a
// while after upstreams have shed load, so that extra load shrinks when there is too much already.
class LoadBudget {
public:
    // fraction: extra sub-requests allowed for each first attempt.
    explicit LoadBudget(double fraction);

    void onFirstAttempt();
    void onShed(base::TimePoint now);
    bool take(base::TimePoint now);

private:
    double fraction_;
    double tokens_ { 0 };
    base::TimePoint blockedUntil_;
};

} // namespace flamingousher::query
