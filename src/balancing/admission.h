#pragma once

#include "balancing/types.h"

#include <span>

namespace flamingousher::balancing {

// Load of the service behind one shard at the arrival of a request.
struct ShardLoad {
    bool isUsable { true }; // at least one upstream accepts new work
    bool hasCapacity { true }; // at least one upstream can start a sub-request immediately
    bool isCongested { false }; // all upstreams have been slow or full a short time ago
    base::Duration workAhead { 0 }; // of queued sub-requests that would start earlier, at upstreams of usual speed
    base::Duration work { 0 }; // of this sub-request
    double parallelism { 1 }; // work done at a time for this VM and priority, over all upstreams
    base::Duration serviceTime { 0 }; // current estimate for one sub-request
    base::Duration limitWait { 0 }; // time until the limits that all upstreams have named allow one more sub-request
    base::Duration usableIn { 0 }; // time until an upstream accepts new work, if none does now; 0 if unknown

    bool operator==(const ShardLoad&) const = default;
};

enum class AdmissionReason : std::uint8_t {
    Admitted,
    TooLate, // the answer would miss its latency goal
    TooFewUsable, // too few shards have a usable upstream for the minimum coverage
};

struct AdmissionDecision {
    AdmissionReason reason { AdmissionReason::Admitted };
    base::Duration expectedLatency { 0 }; // time until the answer
    base::Duration retryAfter { 0 }; // delay after which a retry would meet the goal; 0 when admitted

    bool operator==(const AdmissionDecision&) const = default;

    bool isAdmitted() const { return reason == AdmissionReason::Admitted; }
};

// Returns how many of the shards must answer, at least one.
std::size_t requiredShards(std::size_t shards, double minCoverage);

// Returns the time between two queries over the shards that the one with the least room can do.
base::Duration workInterval(std::span<const ShardLoad>);

// Decides at arrival whether a request over the given shards can be answered in time. Load pattern: a burst beyond the
// capacity of the upstreams, where each query would occupy one slot of every shard and its answer is useless below the
// minimum coverage. Rejects work that cannot meet its goal before any of its sub-requests runs, with a retry delay.
// timeToGoal: remaining time until the latency goal, after which an answer is of little use. correction: factor of the
// expected time.
AdmissionDecision admit(
    std::span<const ShardLoad>, double minCoverage, base::Duration timeToGoal, double correction = 1);

} // namespace flamingousher::balancing
