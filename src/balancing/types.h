#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>

namespace flamingousher::balancing {

// Handle of an upstream process, valid for the lifetime of this process.
using UpstreamId = std::uint32_t;

// Identifies one attempt at an upstream within this process. Never reused.
using AttemptId = std::uint64_t;

// Requests at an upstream, as it states them in a response.
struct UpstreamLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };

    bool operator==(const UpstreamLoad&) const = default;
};

// What an upstream says of itself in a response.
struct UpstreamNotice {
    std::optional<double> requestsPerSecond; // that it takes from all VMs together
    bool isLeaving { false }; // it is about to stop
    std::chrono::duration<double> pause { 0 }; // for this long it wants no requests from this VM
    std::optional<base::Duration> warmUpRemaining; // it stays cold for so long
    std::optional<UpstreamLoad> load;

    bool operator==(const UpstreamNotice&) const = default;
};

// Reason for an attempt beyond a request's first.
enum class ExtraAttempt : std::uint8_t {
    Retry, // the previous attempt failed
    Hedge, // the previous attempt is slow
};

} // namespace flamingousher::balancing
