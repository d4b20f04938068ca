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
    base::TimePoint answerBy; // an answer sent later is of little use
    base::TimePoint deadline; // last moment of a final answer
    double leastCoverage { 1 }; // fraction of the shards
    std::uint32_t mostAttempts { 1 }; // upstreams that may run it, for each shard
    bool isIdempotent { true };

    bool operator==(const FanoutSpec&) const = default;
};

struct SendAttempt {
    AttemptId attempt { 0 };
    std::uint32_t shard { 0 };
    UpstreamId upstream { 0 };
    bool isExtra { false };

    bool operator==(const SendAttempt&) const = default;
};

// The answer of the attempt is no longer wanted.
struct DropAttempt {
    AttemptId attempt { 0 };
    UpstreamId upstream { 0 };

    bool operator==(const DropAttempt&) const = default;
};

// Every upstream of the shard is busy; onRoom() is to be called when one may have room.
struct AwaitRoom {
    std::uint32_t shard { 0 };

    bool operator==(const AwaitRoom&) const = default;
};

struct AttemptFailure {
    base::RunState runState { base::RunState::Unknown };
    bool reachedUpstream { true }; // counts as load there
    std::string reason;

    bool operator==(const AttemptFailure&) const = default;
};

enum class Ending : std::uint8_t {
    Answered, // at least the least coverage is in
    Failed, // cannot be answered any more
    TimedOut,
    Abandoned, // the caller has gone
};

struct MissingShard {
    std::uint32_t shard { 0 };
    std::string reason;

    bool operator==(const MissingShard&) const = default;
};

struct FinishFanout {
    Ending ending { Ending::Failed };
    base::RunState runState { base::RunState::NotRun }; // of the request as a whole
    std::uint32_t answered { 0 };
    std::vector<MissingShard> missing;
    std::uint32_t retries { 0 };
    std::uint32_t hedges { 0 };

    bool operator==(const FinishFanout&) const = default;
};

using Action = std::variant<SendAttempt, DropAttempt, AwaitRoom, FinishFanout>;

} // namespace flamingousher::fanout
