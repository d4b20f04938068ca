#pragma once

#include "base/types.h"
#include "query/latencyestimate.h"

namespace flamingousher::entry {

// Learns how long this VM needs from the decision on an answer to its last byte on the network.
//
// Load pattern: VMs of 0.12 to 0.5 cores. Merging 50 parts takes the slowest milliseconds, in a burst more.
class WriteTimes {
public:
    WriteTimes();

    void observe(base::Duration);

    // What an answer must leave of its goal.
    base::Duration reserve() const;

private:
    query::LatencyEstimate estimate_;
};

} // namespace flamingousher::entry
