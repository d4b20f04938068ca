#pragma once

#include "query/topkmerger.h"
#include "query/types.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingousher::query {

// Callbacks that supply a query with plans, replicas, budgets and identifiers.
struct QueryHooks {
    // Returns the best plan, or null. Called at the start and when the version of the query is no longer served.
    std::function<std::shared_ptr<const ShardPlan>()> currentPlan;

    // Chooses one of the candidate replicas of a shard. Empty if none is available.
    std::function<std::optional<UpstreamId>(const std::vector<UpstreamId>& candidates)> chooseReplica;

    // Returns the delay after which a sub-request is hedged.
    std::function<base::Duration()> hedgeDelay;

    // Take one token of the hedge or retry budget. Return false if it is exhausted.
    std::function<bool()> acquireHedge;
    std::function<bool()> acquireRetry;

    // Returns whether the request has crashed too many upstreams to be sent again.
    std::function<bool()> isQuarantined;

    // Returns an identifier that this process incarnation has not used before.
    std::function<SubRequestId()> nextId;
};

// State machine of one query over all shards of one index version. Performs no I/O: receives events with the
// current time and returns the actions to carry out, the last of which is FinishQuery.
class Query {
public:
    Query(QuerySpec, QueryHooks);

    std::vector<Action> start(base::TimePoint now);
    std::vector<Action> onAnswer(SubRequestId, SubAnswer, base::TimePoint now);
    std::vector<Action> onFailure(SubRequestId, const base::Error&, base::TimePoint now);
    std::vector<Action> onTimer(base::TimePoint now);

    // Ends the query after its caller has disconnected and cancels all sub-requests in flight.
    std::vector<Action> abandon(base::TimePoint now);

    // Returns the time at which onTimer must be called next.
    base::TimePoint nextTimer() const;

    bool isFinished() const { return isFinished_; }

    // Answers and failures of sub-requests that are not in flight: late, duplicated or misdirected.
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
    void sendDeferred(base::TimePoint now, std::vector<Action>&);
    void hedgeSlowShards(base::TimePoint now, std::vector<Action>&);
    void cancelInFlight(std::vector<Action>&);
    void cancelShard(std::uint32_t shard, std::vector<Action>&);
    void finishIfSettled(base::TimePoint now, std::vector<Action>&);
    void finish(std::vector<Action>&);
    void finishWithError(base::Error, std::vector<Action>&);
    bool canReachMinCoverage() const;
    double minCoverage() const;
    QueryOutcome outcome();
    base::RunState provenRunState() const;

    QuerySpec spec_;
    QueryHooks hooks_;
    std::shared_ptr<const ShardPlan> plan_;
    TopKMerger merger_;
    std::vector<ShardState> shards_;
    std::unordered_map<SubRequestId, InFlight> inFlight_;
    std::uint32_t pendingShards_ { 0 }; // without an answer or a final failure
    std::uint32_t answeredShards_ { 0 };
    std::uint32_t hedges_ { 0 };
    std::uint32_t retries_ { 0 };
    std::uint32_t restarts_ { 0 };
    std::uint64_t unmatched_ { 0 };
    bool hasSent_ { false };
    bool isFinished_ { false };
    std::vector<SendSubRequest> deferred_; // sent when the canary has been answered
    std::uint32_t canaryShard_ { 0 };
    base::TimePoint nextCanaryHedge_ { base::TimePoint::max() };
    base::TimePoint nextHedge_ { base::TimePoint::max() };
};

} // namespace flamingousher::query
