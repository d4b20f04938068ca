#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingousher::discovery {

// The entry that an upstream publishes in the store.
struct UpstreamEntry {
    std::string id; // of the upstream; may be the same after a restart of the process
    std::string service;
    std::string endpoint; // "IP:port"
    std::string zone;
    std::uint32_t slots { 1 }; // max concurrent requests
    bool isDraining { false };
    std::chrono::milliseconds warmUpRemaining { 0 }; // time until full speed, as published
    std::int64_t startedAt { 0 }; // start of the process as Unix time in ms; 0 if not published
    std::uint64_t sequence { 0 }; // increases with each report; starts over when the process restarts

    bool operator==(const UpstreamEntry&) const = default;

    // Orders the reports of one upstream by process start and sequence number.
    bool isOlderThan(const UpstreamEntry& other) const
    {
        return startedAt != other.startedAt ? startedAt < other.startedAt : sequence < other.sequence;
    }
};

// An upstream that accepts requests or is draining.
struct DiscoveredUpstream {
    UpstreamEntry entry;
    base::TimePoint warmUpUntil; // expected end of the warm-up, during which it is slow

    bool operator==(const DiscoveredUpstream&) const = default;
};

} // namespace flamingousher::discovery
