#pragma once

#include "query/latencyestimate.h"
#include "query/loadbudget.h"

namespace flamingousher::query {

// Decides for one rank of one pool when to hedge a sub-request, and limits hedges and retries.
class ExtraLoad {
public:
    ExtraLoad();

    // Returns the delay after which a sub-request is hedged: a quantile of recent latencies.
    base::Duration hedgeDelay() const;

    bool takeHedge(base::TimePoint now) { return hedges_.take(now); }
    bool takeRetry(base::TimePoint now) { return retries_.take(now); }

    void onFirstAttempt();
    void onAnswered(base::Duration latency) { latency_.observe(latency); }

    // Called when an upstream has shed load or its owner has refused more work.
    void onShed(base::TimePoint now);

private:
    LatencyEstimate latency_;
    LoadBudget hedges_;
    LoadBudget retries_;
};

} // namespace flamingousher::query
