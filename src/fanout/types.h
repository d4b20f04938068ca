#pragma once

#include "balancing/replicaselector.h"
#include "balancing/types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace flamingousher::fanout {

using balancing::AttemptId;
using balancing::ExtraAttempt;
using balancing::UpstreamId;

struct FanoutSpec {
    std::uint32_t shards { 1 };
    base::TimePoint answerBy; // latency goal: a later answer is of little use
    base::TimePoint deadline; // time limit for any answer
    double minCoverage { 1 }; // fraction of the shards
    std::uint32_t maxAttempts { 1 }; // per shard, counting only attempts that may have run
    bool isIdempotent { true };
    base::TimePoint hedgeFrom; // no hedge is sent earlier
    base::Duration deliverySpread { 0 }; // standard deviation of the time until the answer reaches the caller
    bool isProbe { false }; // may crash upstreams: sent to one until that has responded

    bool operator==(const FanoutSpec&) const = default;
};

struct SendAttempt {
    AttemptId attempt { 0 };
    std::uint32_t shard { 0 };
    UpstreamId upstream { 0 };
    bool isExtra { false };

    bool operator==(const SendAttempt&) const = default;
};

// Drops an attempt whose answer is no longer needed.
struct DropAttempt {
    AttemptId attempt { 0 };
    UpstreamId upstream { 0 };

    bool operator==(const DropAttempt&) const = default;
};

// Waits for an upstream of the shard, all of which are busy or unreachable; onCapacity() must be called when one may
// have capacity.
struct AwaitCapacity {
    std::uint32_t shard { 0 };

    bool operator==(const AwaitCapacity&) const = default;
};

struct AttemptFailure {
    base::RunState runState { base::RunState::Unknown };
    bool reachedUpstream { true }; // such an attempt adds load there
    std::string reason;
    bool isConnectionLost { false }; // after the request was sent: the upstream may have ended

    bool operator==(const AttemptFailure&) const = default;
};

enum class FinishReason : std::uint8_t {
    Answered, // at least the minimum coverage
    Failed, // the minimum coverage can no longer be reached
    TimedOut,
    Abandoned, // the caller disconnected
};

struct MissingShard {
    std::uint32_t shard { 0 };
    std::string reason;

    bool operator==(const MissingShard&) const = default;
};

struct FinishFanout {
    FinishReason finishReason { FinishReason::Failed };
    base::RunState runState { base::RunState::NotRun }; // of the request as a whole
    std::uint32_t answered { 0 };
    std::vector<MissingShard> missing;
    std::uint32_t retries { 0 };
    std::uint32_t hedges { 0 };

    bool operator==(const FinishFanout&) const = default;
};

using Action = std::variant<SendAttempt, DropAttempt, AwaitCapacity, FinishFanout>;

} // namespace flamingousher::fanout
