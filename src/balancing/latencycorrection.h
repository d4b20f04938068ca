#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>

namespace flamingousher::balancing {

// Learns by how much requests take longer than admission expects, from whether they meet their goal.
// Load pattern: a query waits for the slowest of many shards, whose upstreams are filled by other VMs. The expected
// times of the shards miss this: in a burst nearly every query that is admitted by them comes late. Kinds of requests
// of several priorities share the shards, and a lower one with less work must not take the room of a higher one.
class LatencyCorrection {
public:
    // Records the outcome of an admitted request. priority: of its route, 0 is the highest.
    void onFinished(std::uint32_t priority, bool isInTime, base::TimePoint now);

    // Returns the factor of the expected time, at least 1 and not less than that of any higher priority. Without
    // outcomes it returns to 1.
    double factor(std::uint32_t priority, base::TimePoint now) const;

private:
    static constexpr std::size_t PriorityCount = 4; // lower ones are counted together

    // What the factor exceeds 1 by.
    struct Excess {
        double value { 0 };
        base::TimePoint at;
    };

    static double decayed(const Excess&, base::TimePoint now);

    std::array<Excess, PriorityCount> excesses_ {};
};

} // namespace flamingousher::balancing
