#include "balancing/returnschedule.h"

#include <algorithm>

namespace flamingousher::balancing {

namespace {

    // A caller that waits until its place has lost at least this much of its time limit.
    constexpr base::Duration MinWait = std::chrono::milliseconds(60);

    // Callers with a longer limit than all others may have left.
    constexpr base::Duration UsualLimitRetention = std::chrono::seconds(10);

} // namespace

base::Duration ReturnSchedule::book(std::uint32_t priority, base::Duration interval, base::Duration minDelay,
    base::Duration maxDelay, base::TimePoint now)
{
    const std::size_t own = std::min<std::size_t>(priority, PriorityCount - 1);
    base::TimePoint place = now + std::min(minDelay, maxDelay);
    for (std::size_t higher = 0; higher <= own; ++higher)
        place = std::max(place, nextPlaces_[higher]);
    // Places beyond the time that callers wait would be lost, and the schedule would never become free again.
    if (place > now + maxDelay)
        return maxDelay;
    nextPlaces_[own] = place + interval;
    return place - now;
}

bool ReturnDetector::isReturn(base::Duration timeLimit, base::TimePoint now)
{
    if (timeLimit >= usualLimit_ || now > seenAt_ + UsualLimitRetention) {
        usualLimit_ = timeLimit;
        seenAt_ = now;
    } else if (timeLimit + MinWait > usualLimit_) {
        seenAt_ = now;
    }
    return timeLimit + MinWait <= usualLimit_;
}

} // namespace flamingousher::balancing
