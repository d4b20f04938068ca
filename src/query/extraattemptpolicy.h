#pragma once

#include "query/extraattemptbudget.h"
#include "query/latencyestimate.h"

namespace flamingousher::query {

// Decides for one rank of one pool when a sub-request is worth sending a second time, and how often.
class ExtraAttemptPolicy {
public:
    ExtraAttemptPolicy();

    // Returns the delay after which a sub-request is hedged: a quantile of recent latencies.
    base::Duration hedgeDelay() const;

    bool acquireHedge(base::TimePoint now) { return hedges_.tryAcquire(now); }
    bool acquireRetry(base::TimePoint now) { return retries_.tryAcquire(now); }

    void onFirstAttempt();
    void onAnswered(base::Duration latency) { latency_.observe(latency); }

    // Called when an upstream has shed load or its owner has refused more work.
    void onShed(base::TimePoint now);

private:
    LatencyEstimate latency_;
    ExtraAttemptBudget hedges_;
    ExtraAttemptBudget retries_;
};

} // namespace flamingousher::query
