#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>

namespace flamingousher::balancing {

// Gives each refused caller a time to come back.
// Load pattern: a burst beyond capacity for seconds. Callers that get the same delay come back together, and
// most are refused again; callers wait a part of the time that they have left, and come back once.
class ReturnSchedule {
public:
    // Returns the delay until the next free place. priority: of the route, 0 is the highest, whose places come first.
    // interval: between two places. minDelay, maxDelay: bounds of the delay.
    base::Duration book(std::uint32_t priority, base::Duration interval, base::Duration minDelay,
        base::Duration maxDelay, base::TimePoint now);

private:
    static constexpr std::size_t PriorityCount = 4; // lower ones share their places

    std::array<base::TimePoint, PriorityCount> nextPlaces_ {};
};

// Distinguishes callers that come back after a refusal from new ones, by the time that they have left. Needs nothing
// from the VM that refused them, which may be another one or gone.
class ReturnDetector {
public:
    // Returns whether a request with this time limit comes back after having waited. One that is repeated at once
    // counts as new.
    bool isReturn(base::Duration timeLimit, base::TimePoint now);

private:
    base::Duration usualLimit_ { 0 }; // longest of the recent ones
    base::TimePoint seenAt_; // of the usual limit
};

} // namespace flamingousher::balancing
