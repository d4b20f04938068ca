#pragma once

#include "balancing/types.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace flamingousher::balancing {

// Queue of sub-requests waiting for a free connection to one service. Load pattern: a burst of several kinds of request
// with latency goals of 50 ms to 1 s at the same upstreams. Ordered by earliest goal: short goals overtake long ones
// without starving them. Sub-requests that have missed their goal come last.
class WaitQueue {
public:
    using Key = std::uint64_t; // identifies a waiting sub-request

    // work: time that the sub-request takes at an upstream of usual speed.
    void add(Key, base::TimePoint goal, base::Duration work = base::Duration::zero());
    void remove(Key);

    // Returns up to maxCount sub-requests in the order in which they should start, without removing them.
    std::vector<Key> peek(std::size_t maxCount, base::TimePoint now) const;

    std::size_t size() const { return goals_.size(); }

    // Returns the number of sub-requests that would start before one with this goal.
    std::size_t countAhead(base::TimePoint goal, base::TimePoint now) const;

    // Returns the work of these sub-requests.
    base::Duration workAhead(base::TimePoint goal, base::TimePoint now) const;

private:
    using Order = std::map<std::pair<base::TimePoint, Key>, base::Duration>; // with the work of each

    std::pair<Order::const_iterator, Order::const_iterator> ahead(base::TimePoint goal, base::TimePoint now) const;

    Order order_;
    std::map<Key, base::TimePoint> goals_;
};

} // namespace flamingousher::balancing
