#pragma once

#include "balancing/types.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace flamingousher::balancing {

// Sub-requests that wait for a free connection of one service. Load pattern: a burst in which several kinds of
// request with goals of 50 ms to 1 s meet at the same upstreams. The earliest goal goes first: short goals pass
// long ones, and nothing waits for ever. What has missed its goal goes last.
class WaitQueue {
public:
    using Key = std::uint64_t; // of the waiting sub-request

    void add(Key, base::TimePoint goal);
    void remove(Key);

    // The sub-requests that should start next, in order, at most so many. They stay until they are removed.
    std::vector<Key> first(std::size_t most, base::TimePoint now) const;

    std::size_t size() const { return goals_.size(); }

    // How many would start before one with this goal.
    std::size_t ahead(base::TimePoint goal, base::TimePoint now) const;

private:
    std::map<std::pair<base::TimePoint, Key>, Key> order_;
    std::map<Key, base::TimePoint> goals_;
};

} // namespace flamingousher::balancing
