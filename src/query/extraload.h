#pragma once

#include "query/latencyestimate.h"
#include "query/loadbudget.h"

namespace flamingousher::query {

// Decides for one rank of one pool when a sub-request is worth sending a second time, and how often.
class ExtraLoad {
public:
    ExtraLoad();

    // Time after which a sub-request is worth hedging: a learnt quantile of latency.
    base::Duration hedgeDelay() const;

    bool takeHedge(base::TimePoint now) { return hedges_.take(now); }
    bool takeRetry(base::TimePoint now) { return retries_.take(now); }

    void onFirstAttempt();
    void onAnswered(base::Duration latency) { latency_.observe(latency); }

    // An upstream has shed load, or a home could not take more.
    void onShed(base::TimePoint now);

private:
    LatencyEstimate latency_;
    LoadBudget hedges_;
    LoadBudget retries_;
};

} // namespace flamingousher::query
