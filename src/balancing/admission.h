#pragma once

#include "balancing/types.h"

#include <span>

namespace flamingousher::balancing {

// The state of one shard's service as an arriving request meets it.
struct ShardLoad {
    bool isUsable { true }; // some upstream may receive work
    bool hasRoom { true }; // some upstream may receive work at once
    std::size_t ahead { 0 }; // sub-requests that would start before
    std::size_t connections { 1 }; // sub-requests that run at once from this VM
    base::Duration serviceTime { 0 }; // of one sub-request, at present

    bool operator==(const ShardLoad&) const = default;
};

enum class AdmissionReason : std::uint8_t {
    Admitted,
    TooLate, // the answer would miss its goal
    TooFewUsable, // too few shards have an upstream that may receive work
};

struct AdmissionVerdict {
    AdmissionReason reason { AdmissionReason::Admitted };
    base::Duration expected { 0 }; // until the answer
    base::Duration retryAfter { 0 }; // when the answer would come within the goal

    bool operator==(const AdmissionVerdict&) const = default;

    bool isAdmitted() const { return reason == AdmissionReason::Admitted; }
};

// Decides at arrival whether a request over shards can be answered in time. Load pattern: a burst of more work than
// the upstreams take, where each query would use one slot of every shard and be worth nothing below its least
// coverage. Work that cannot reach its goal is refused while nothing of it has run, and told when it will fit.
// goalLeft: time until an answer loses most of its use.
AdmissionVerdict admit(std::span<const ShardLoad>, double leastCoverage, base::Duration goalLeft);

} // namespace flamingousher::balancing
