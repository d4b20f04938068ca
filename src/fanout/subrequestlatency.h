#pragma once

#include "query/latencyestimate.h"

namespace flamingousher::fanout {

// Tracks the latency of the sub-requests of one route.
class SubRequestLatency {
public:
    // goal: latency goal of the route, which determines the initial estimates.
    explicit SubRequestLatency(base::Duration goal);

    void observe(base::Duration);

    // Returns the median latency of a sub-request.
    base::Duration typical() const { return typical_; }

    // Returns the time after which a sub-request is hedged at another upstream.
    base::Duration hedgeDelay() const { return hedgeDelay_; }

private:
    void refresh();

    base::Duration goal_;
    query::LatencyEstimate estimate_;
    base::Duration typical_;
    base::Duration hedgeDelay_;
    std::uint32_t sinceRefresh_ { 0 };
};

} // namespace flamingousher::fanout
