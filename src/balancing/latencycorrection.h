#pragma once

#include "base/types.h"

namespace flamingousher::balancing {

// Learns by how much the requests of a route take longer than admission expects, from whether they meet their goal.
// Load pattern: a query waits for the slowest of many shards, whose upstreams are filled by other VMs. The expected
// times of the shards miss this: in a burst nearly every query that is admitted by them comes late.
class LatencyCorrection {
public:
    // Records the outcome of an admitted request.
    void onFinished(bool isInTime, base::TimePoint now);

    // Returns the factor of the expected time, at least 1. Without outcomes it returns to 1.
    double factor(base::TimePoint now) const;

private:
    double excess_ { 0 }; // of the factor over 1
    base::TimePoint updatedAt_;
};

} // namespace flamingousher::balancing
