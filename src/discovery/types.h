#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingousher::discovery {

// What an upstream publishes about itself.
struct UpstreamEntry {
    std::string id; // names the upstream process; a process that starts again may keep it
    std::string service;
    std::string endpoint; // "IP:port"
    std::string zone;
    std::uint32_t slots { 1 }; // requests that it works on at once
    bool isDraining { false };
    std::chrono::milliseconds warmUpLeft { 0 }; // until it works at full speed
    std::int64_t startedAt { 0 }; // Unix time in ms of the process start; 0 when it does not say
    std::uint64_t sequence { 0 }; // counts the reports of one process start

    bool operator==(const UpstreamEntry&) const = default;

    // Orders the reports of one upstream.
    bool isOlderThan(const UpstreamEntry& other) const
    {
        return startedAt != other.startedAt ? startedAt < other.startedAt : sequence < other.sequence;
    }
};

// An upstream that may receive work, or finishes what it has.
struct KnownUpstream {
    UpstreamEntry entry;
    base::TimePoint coldUntil; // works slowly until then

    bool operator==(const KnownUpstream&) const = default;
};

} // namespace flamingousher::discovery
