#pragma once

#include "base/types.h"
#include "query/latencyestimate.h"

namespace flamingousher::entry {

// Estimates the time from the decision on a response until its last byte is written to the network. VMs have 0.12 to
// 0.5 cores; merging 50 replies takes the slowest ones milliseconds, and longer during bursts.
class WriteTimes {
public:
    WriteTimes();

    void observe(base::Duration);

    // Returns the time to reserve before the latency goal for reading the request and writing the response.
    base::Duration reserve() const;

    // Returns the standard deviation of the time from the decision on a response until it reaches the caller.
    base::Duration spread() const;

private:
    query::LatencyEstimate estimate_;
};

} // namespace flamingousher::entry
