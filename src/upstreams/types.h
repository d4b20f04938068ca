#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>
#include <string>

namespace flamingousher::upstreams {

// Identifies a sub-request within one process incarnation. Never reused.
using SubRequestId = std::uint64_t;

struct QueuedWork {
    SubRequestId id { 0 };
    base::Rank rank { base::Rank::Normal };
    std::string caller;
    base::TimePoint deadline;

    bool operator==(const QueuedWork&) const = default;
};

struct QueueSettings {
    std::uint32_t slots { 1 }; // sub-requests that may run at the upstream at once
    std::array<double, base::RankCount> floors { 0, 0, 0 }; // fraction of slot time kept for each rank, 0 to 1
    std::size_t capacity { 1024 }; // sub-requests that may wait, over all ranks

    bool operator==(const QueueSettings&) const = default;
};

enum class OfferVerdict : std::uint8_t {
    Queued,
    QueueFull,
    CannotMeetDeadline,
    Draining,
};

enum class CancelVerdict : std::uint8_t {
    RemovedBeforeStart, // proves that the work was not run
    IsRunning,
    NotFound,
};

} // namespace flamingousher::upstreams
