#pragma once

#include "query/topkmerger.h"
#include "query/types.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingousher::query {

// Decisions that a query takes from its surroundings.
struct QueryHooks {
    // The best plan at present, or null. Called at the start and when a version has gone.
    std::function<std::shared_ptr<const ShardPlan>()> currentPlan;

    // Chooses among the candidate replicas of a shard. None when no candidate may receive work.
    std::function<std::optional<UpstreamId>(const std::vector<UpstreamId>& candidates)> chooseReplica;

    // Time after which a sub-request is worth hedging.
    std::function<base::Duration()> hedgeDelay;

    // Take one unit of the budget for extra load. False when it is spent.
    std::function<bool()> takeHedge;
    std::function<bool()> takeRetry;

    // The request has crashed too many upstreams to be sent to another.
    std::function<bool()> isQuarantined;

    // A number that this process incarnation has not used before.
    std::function<SubRequestId()> nextId;
};

// One query over all shards of one index version. Performs no I/O: receives events with the current
// time and returns the actions to carry out, the last of which is FinishQuery.
class Query {
public:
    Query(QuerySpec, QueryHooks);

    std::vector<Action> start(base::TimePoint now);
    std::vector<Action> onAnswer(SubRequestId, SubAnswer, base::TimePoint now);
    std::vector<Action> onFailure(SubRequestId, const base::Error&, base::TimePoint now);
    std::vector<Action> onTimer(base::TimePoint now);

    // The caller has gone: cancels what is in flight.
    std::vector<Action> abandon(base::TimePoint now);

    // The next time at which onTimer must be called.
    base::TimePoint nextTimer() const;

    bool isFinished() const { return isFinished_; }

    // Sub-request identifiers that no shard waits for: late, duplicated or crossed answers.
    std::uint64_t unmatchedCount() const { return unmatched_; }

private:
    struct InFlight {
        std::uint32_t shard { 0 };
        UpstreamId upstream { 0 };
    };

    struct ShardState {
        bool isAnswered { false };
        std::uint32_t hedges { 0 };
        std::uint32_t attempts { 0 };
        std::uint32_t inFlight { 0 };
        base::TimePoint sentAt;
        std::vector<UpstreamId> tried;
        std::optional<base::Error> lastError;
    };

    void begin(std::shared_ptr<const ShardPlan>, base::TimePoint now, std::vector<Action>&);
    bool sendToShard(std::uint32_t shard, bool isHedge, base::TimePoint now, std::vector<Action>&);
    void retryShard(std::uint32_t shard, base::TimePoint now, std::vector<Action>&);
    bool restartOnNewerVersion(base::TimePoint now, std::vector<Action>&);
    void sendNextCanary(base::TimePoint now, std::vector<Action>&);
    void hedgeCanary(base::TimePoint now, std::vector<Action>&);
    void releaseHeldBack(base::TimePoint now, std::vector<Action>&);
    void hedgeSlowShards(base::TimePoint now, std::vector<Action>&);
    void cancelInFlight(std::vector<Action>&);
    void cancelShard(std::uint32_t shard, std::vector<Action>&);
    void finishIfSettled(base::TimePoint now, std::vector<Action>&);
    void finish(std::vector<Action>&);
    void finishWithError(base::Error, std::vector<Action>&);
    bool canReachLeastCoverage() const;
    double leastCoverage() const;
    QueryOutcome outcome();
    base::RunState provedRunState() const;

    QuerySpec spec_;
    QueryHooks hooks_;
    std::shared_ptr<const ShardPlan> plan_;
    TopKMerger merger_;
    std::vector<ShardState> shards_;
    std::unordered_map<SubRequestId, InFlight> inFlight_;
    std::uint32_t openShards_ { 0 }; // neither answered nor given up
    std::uint32_t answeredShards_ { 0 };
    std::uint32_t hedges_ { 0 };
    std::uint32_t retries_ { 0 };
    std::uint32_t restarts_ { 0 };
    std::uint64_t unmatched_ { 0 };
    bool mayHaveRun_ { false };
    bool isFinished_ { false };
    std::vector<SendSubRequest> heldBack_; // until the canary has been answered
    std::uint32_t canaryShard_ { 0 };
    base::TimePoint canaryUntil_ { base::TimePoint::max() };
    base::TimePoint nextHedge_ { base::TimePoint::max() };
};

} // namespace flamingousher::query
