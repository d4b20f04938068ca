#pragma once

#include "fanout/types.h"

#include <functional>
#include <optional>
#include <vector>

namespace flamingousher::fanout {

// Callbacks through which a query selects upstreams and obtains its limits.
struct FanoutHooks {
    // Chooses an upstream of the shard that is not in tried.
    std::function<balancing::ReplicaSelector::Choice(std::uint32_t shard, const std::vector<UpstreamId>& tried)> choose;

    // Returns the time after which an attempt at the upstream is hedged at another one.
    std::function<base::Duration(std::uint32_t shard, UpstreamId)> hedgeDelay;

    // Consumes one extra attempt from the shard's retry budget. Returns false when the budget is exhausted.
    std::function<bool(std::uint32_t shard, ExtraAttempt)> acquireExtraAttempt;

    // Returns an identifier that is unique within this process.
    std::function<AttemptId()> nextAttemptId;

    // Returns whether the shard has upstreams, and connections to none of them can be opened. May be empty.
    std::function<bool(std::uint32_t shard)> isUnreached;
};

// State machine of a request that is sent to one upstream of each of its shards; a request to a single service has one
// shard. Performs no I/O: receives events with the current time and returns the actions to carry out, the last of which
// is FinishFanout.
//
// Load pattern: with many shards, one is slow at almost any moment. A query hedges stragglers, and returns a partial
// result before its latency goal if that meets the minimum coverage: the sooner, the less the missing shards would add.
//
// A request that ends the upstreams that run it ends one of each shard at once, and another with each retry. A query
// that loses attempts before any response therefore goes on with one attempt, the canary, and holds the other shards
// back until it is answered.
class FanoutQuery {
public:
    FanoutQuery(const FanoutSpec&, FanoutHooks);

    std::vector<Action> start(base::TimePoint now);
    std::vector<Action> onAnswered(AttemptId, base::TimePoint now);
    std::vector<Action> onFailed(AttemptId, const AttemptFailure&, base::TimePoint now);

    // Called when an upstream of the shard may have capacity again.
    std::vector<Action> onCapacity(std::uint32_t shard, base::TimePoint now);
    std::vector<Action> onTimer(base::TimePoint now);

    // Finishes the query after the caller has disconnected.
    std::vector<Action> abandon(base::TimePoint now);

    // Returns the next time at which onTimer() must be called.
    base::TimePoint nextTimer() const;

    bool isFinished() const { return isFinished_; }
    bool isAwaitingCapacity(std::uint32_t shard) const { return shards_[shard].isAwaitingCapacity; }

private:
    struct Attempt {
        AttemptId id { 0 };
        UpstreamId upstream { 0 };
    };

    struct Shard {
        bool isAnswered { false };
        bool hasFailed { false };
        bool isAwaitingCapacity { false };
        bool hasConnectFailure { false }; // an attempt failed before it reached its upstream
        bool isHeldBack { false }; // until the canary is answered
        std::uint32_t possibleRuns { 0 }; // attempts that ran or may have run
        std::vector<Attempt> inFlight;
        std::vector<UpstreamId> tried;
        base::TimePoint hedgeAt { base::TimePoint::max() };
        std::string lastFailure;

        bool isAwaitingConnection() const { return isAwaitingCapacity && hasConnectFailure && inFlight.empty(); }
    };

    struct AttemptLocation {
        std::uint32_t shard;
        std::size_t attempt;
    };

    std::optional<AttemptLocation> find(AttemptId) const;
    void send(std::uint32_t shard, UpstreamId, bool isExtra, base::TimePoint now, std::vector<Action>&);
    void sendOrAwait(std::uint32_t shard, bool isExtra, base::TimePoint now, std::vector<Action>&);
    void retry(std::uint32_t shard, const AttemptFailure&, base::TimePoint now, std::vector<Action>&);
    void holdBack(std::uint32_t shard);
    void sendCanary(base::TimePoint now, std::vector<Action>&);
    void releaseHeldBack(base::TimePoint now, std::vector<Action>&);
    void giveUpHeldBack();
    bool isCautious() const;
    bool isCanaryPending() const;
    void hedge(std::uint32_t shard, base::TimePoint now, std::vector<Action>&);
    void failUnconnectedShards();
    bool mayBecomeUsable(std::uint32_t shard, base::TimePoint now) const;
    void failShard(std::uint32_t shard);
    void finishIfSettled(base::TimePoint now, std::vector<Action>&);
    void finish(FinishReason, std::vector<Action>&);
    bool meetsMinCoverage(std::uint32_t shards) const;
    base::TimePoint partialAnswerAt() const;
    bool mayHaveRun() const;

    FanoutSpec spec_;
    FanoutHooks hooks_;
    std::vector<Shard> shards_;
    std::uint32_t pendingShards_ { 0 }; // neither answered nor failed
    std::uint32_t answeredShards_ { 0 };
    std::uint32_t retries_ { 0 };
    std::uint32_t hedges_ { 0 };
    std::uint32_t lostAttempts_ { 0 }; // their upstreams may have ended
    bool hasResponse_ { false }; // an upstream has survived the request
    std::optional<std::uint32_t> canaryShard_; // last shard that went on while others were held back
    bool hasPossibleRun_ { false };
    bool isFinished_ { false };
};

} // namespace flamingousher::fanout
