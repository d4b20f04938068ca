#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>
#include <string>

namespace flamingousher::upstreams {

// Identifies a sub-request within one incarnation of the process. Never reused.
using SubRequestId = std::uint64_t;

struct QueuedWork {
    SubRequestId id { 0 };
    base::Rank rank { base::Rank::Normal };
    std::string caller;
    base::TimePoint deadline;

    bool operator==(const QueuedWork&) const = default;
};

struct QueueSettings {
    std::uint32_t slots { 1 }; // maximum number of sub-requests in flight at the upstream
    std::array<double, base::RankCount> minShares { 0, 0, 0 }; // minimum fraction of slot time by rank, 0 to 1
    std::size_t capacity { 1024 }; // maximum number of waiting sub-requests, all ranks together

    bool operator==(const QueueSettings&) const = default;
};

enum class OfferResult : std::uint8_t {
    Queued,
    QueueFull,
    CannotMeetDeadline,
    Draining,
};

enum class CancelResult : std::uint8_t {
    RemovedBeforeStart, // the work was certainly not run
    IsRunning,
    NotFound,
};

} // namespace flamingousher::upstreams
