#include "query/query.h"

#include <algorithm>
#include <utility>

namespace flamingousher::query {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    constexpr std::uint32_t MaxAttemptsPerShard = 3;
    constexpr std::uint32_t MaxRestarts = 2;

    // Hedge delays after which an unanswered canary is hedged.
    constexpr int CanaryHedgeDelays = 2;

    // Attempts on the canary's shard: bounds the upstreams that a request can crash before it is sent to all shards.
    constexpr std::uint32_t MaxCanaryAttempts = 2;

    // Returns whether the failed attempt put no work on its upstream, so that a retry adds no load.
    bool addedNoLoad(const Error& error)
    {
        const bool isRefusalForLoad = error.code == ErrorCode::Shed || error.code == ErrorCode::Overloaded;
        return error.runState == RunState::NotRun && !isRefusalForLoad;
    }

} // namespace

Query::Query(QuerySpec spec, QueryHooks hooks)
    : spec_(spec)
    , hooks_(std::move(hooks))
    , merger_(spec.resultLimit)
{
}

std::vector<Action> Query::start(base::TimePoint now)
{
    std::vector<Action> actions;
    std::shared_ptr<const ShardPlan> plan = hooks_.currentPlan();
    if (!plan)
        finishWithError(
            { ErrorCode::NotReady, Step::Routing, {}, "no index version is available", RunState::NotRun }, actions);
    else
        begin(std::move(plan), now, actions);
    return actions;
}

void Query::begin(std::shared_ptr<const ShardPlan> plan, base::TimePoint now, std::vector<Action>& actions)
{
    plan_ = std::move(plan);
    merger_ = TopKMerger(spec_.resultLimit);
    shards_.assign(plan_->replicas.size(), {});
    pendingShards_ = static_cast<std::uint32_t>(shards_.size());
    answeredShards_ = 0;
    nextHedge_ = spec_.allowsHedging ? now + hooks_.hedgeDelay() : base::TimePoint::max();

    std::vector<Action> sends;
    std::vector<std::uint32_t> unsent;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (!sendToShard(shard, false, now, sends))
            unsent.push_back(shard);
    }
    pendingShards_ -= static_cast<std::uint32_t>(unsent.size());
    if (!canReachMinCoverage()) {
        // Nothing of this plan has been sent, so the error can still state "not run".
        inFlight_.clear();
        finishWithError({ ErrorCode::CoverageTooLow, Step::Admission, {}, "too few shards have an available replica",
                            provenRunState() },
            actions);
        return;
    }
    hasSent_ = hasSent_ || !sends.empty();
    if (spec_.needsCanary && sends.size() > 1) {
        for (const Action& send : sends)
            deferred_.push_back(std::get<SendSubRequest>(send));
        // Varies the canary's shard, or the same upstreams would receive the canary of every request.
        std::swap(deferred_.back(), deferred_[hooks_.nextId() % deferred_.size()]);
        sendNextCanary(now, actions);
        return;
    }
    actions.insert(actions.end(), sends.begin(), sends.end());
    finishIfSettled(now, actions);
}

void Query::sendNextCanary(base::TimePoint now, std::vector<Action>& actions)
{
    if (deferred_.empty())
        return;
    const SendSubRequest canary = deferred_.back();
    deferred_.pop_back();
    canaryShard_ = canary.target.shard;
    shards_[canaryShard_].sentAt = now;
    actions.push_back(canary);
    nextCanaryHedge_ = now + CanaryHedgeDelays * hooks_.hedgeDelay();
    nextHedge_ = base::TimePoint::max();
}

void Query::sendDeferred(base::TimePoint now, std::vector<Action>& actions)
{
    if (deferred_.empty())
        return;
    nextCanaryHedge_ = base::TimePoint::max();
    for (const SendSubRequest& request : std::exchange(deferred_, {})) {
        shards_[request.target.shard].sentAt = now;
        actions.push_back(request);
    }
    nextHedge_ = spec_.allowsHedging ? now + hooks_.hedgeDelay() : base::TimePoint::max();
}

bool Query::sendToShard(std::uint32_t shard, bool isHedge, base::TimePoint now, std::vector<Action>& actions)
{
    ShardState& state = shards_[shard];
    std::vector<UpstreamId> candidates;
    std::ranges::copy_if(plan_->replicas[shard], std::back_inserter(candidates),
        [&](UpstreamId upstream) { return std::ranges::find(state.tried, upstream) == state.tried.end(); });
    const std::optional<UpstreamId> chosen = candidates.empty() ? std::nullopt : hooks_.chooseReplica(candidates);
    if (!chosen) {
        if (!state.lastError)
            state.lastError = Error { ErrorCode::Unreachable, Step::Routing, {}, "no replica is available" };
        return false;
    }
    const SubRequestId id = hooks_.nextId();
    state.tried.push_back(*chosen);
    ++state.attempts;
    ++state.inFlight;
    state.sentAt = now;
    inFlight_.emplace(id, InFlight { shard, *chosen });
    const auto shardCount = static_cast<std::uint32_t>(shards_.size());
    actions.push_back(SendSubRequest { id, *chosen, { plan_->version, shard, shardCount }, isHedge });
    return true;
}

std::vector<Action> Query::onAnswer(SubRequestId id, SubAnswer answer, base::TimePoint now)
{
    std::vector<Action> actions;
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end() || isFinished_) {
        ++unmatched_;
        return actions;
    }
    const InFlight request = found->second;
    const ServedShard expected { plan_->version, request.shard, static_cast<std::uint32_t>(shards_.size()) };
    if (answer.served != expected) {
        return onFailure(id,
            { ErrorCode::ProtocolViolation, Step::Decode, {}, "answer is for another version, shard or partitioning",
                RunState::Run },
            now);
    }
    inFlight_.erase(found);
    ShardState& state = shards_[request.shard];
    --state.inFlight;
    state.isAnswered = true;
    state.lastError.reset();
    merger_.add(std::move(answer.hits));
    --pendingShards_;
    ++answeredShards_;
    if (state.inFlight > 0)
        cancelShard(request.shard, actions);
    sendDeferred(now, actions);
    finishIfSettled(now, actions);
    return actions;
}

std::vector<Action> Query::onFailure(SubRequestId id, const Error& error, base::TimePoint now)
{
    std::vector<Action> actions;
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end() || isFinished_) {
        ++unmatched_;
        return actions;
    }
    const std::uint32_t shard = found->second.shard;
    inFlight_.erase(found);
    ShardState& state = shards_[shard];
    --state.inFlight;
    state.lastError = error;
    if (error.code == ErrorCode::UpstreamCrashed && hooks_.isQuarantined()) {
        finishWithError(
            { ErrorCode::Quarantined, Step::Routing, error.peer, "the request crashes upstreams", provenRunState() },
            actions);
        return actions;
    }
    if (state.inFlight > 0)
        return actions;
    if (error.code == ErrorCode::UpstreamCrashed && !deferred_.empty()) {
        // The request may have crashed the upstream, or it crashed for another reason. A second replica shows which.
        if (state.attempts >= MaxCanaryAttempts || !sendToShard(shard, false, now, actions))
            finishWithError(
                { error.code, error.step, error.peer, "the canary's upstream crashed", provenRunState() }, actions);
        return actions;
    }
    const std::uint32_t restartsBefore = restarts_;
    retryShard(shard, now, actions);
    // If no replica answers the canary for another reason, the request may still be harmful and may just have crashed
    // them all, so another canary is sent. After a restart the shards are those of another version, whose canary has
    // been sent already.
    const bool isSameVersion = restarts_ == restartsBefore;
    if (!isFinished_ && isSameVersion && shards_[shard].inFlight == 0)
        sendNextCanary(now, actions);
    if (!isFinished_)
        finishIfSettled(now, actions);
    return actions;
}

void Query::retryShard(std::uint32_t shard, base::TimePoint now, std::vector<Action>& actions)
{
    ShardState& state = shards_[shard];
    const bool isBeforeDeadline = now < spec_.deadline;
    const bool hasAttempts = isBeforeDeadline && state.attempts < MaxAttemptsPerShard;
    if (hasAttempts && (addedNoLoad(*state.lastError) || hooks_.acquireRetry())
        && sendToShard(shard, false, now, actions)) {
        ++retries_;
        return;
    }
    const bool isVersionUnserved = state.lastError->code == ErrorCode::VersionNotServed;
    if (isBeforeDeadline && isVersionUnserved && restartOnNewerVersion(now, actions))
        return;
    --pendingShards_;
}

bool Query::restartOnNewerVersion(base::TimePoint now, std::vector<Action>& actions)
{
    if (restarts_ >= MaxRestarts)
        return false;
    std::shared_ptr<const ShardPlan> newer = hooks_.currentPlan();
    if (!newer || newer->version <= plan_->version)
        return false;
    ++restarts_;
    cancelInFlight(actions);
    begin(std::move(newer), now, actions);
    return true;
}

std::vector<Action> Query::onTimer(base::TimePoint now)
{
    std::vector<Action> actions;
    if (isFinished_)
        return actions;
    if (now >= spec_.deadline) {
        for (ShardState& state : shards_) {
            if (!state.isAnswered && !state.lastError)
                state.lastError
                    = Error { ErrorCode::DeadlineExceeded, Step::Receive, {}, "no answer in time", RunState::Unknown };
        }
        finish(actions);
        return actions;
    }
    if (now >= nextCanaryHedge_)
        hedgeCanary(now, actions);
    if (now >= nextHedge_)
        hedgeSlowShards(now, actions);
    return actions;
}

// An unanswered canary may be slow, or its upstream may have crashed without this being detected yet. Elapsed time
// cannot distinguish the two, so the other shards wait until a canary is answered.
void Query::hedgeCanary(base::TimePoint now, std::vector<Action>& actions)
{
    const base::Duration delay = hooks_.hedgeDelay();
    ShardState& state = shards_[canaryShard_];
    nextCanaryHedge_ = base::TimePoint::max();
    if (state.attempts >= MaxCanaryAttempts || state.tried.size() >= plan_->replicas[canaryShard_].size())
        return;
    if (!hooks_.acquireHedge()) {
        nextCanaryHedge_ = now + delay;
        return;
    }
    if (sendToShard(canaryShard_, true, now, actions)) {
        ++state.hedges;
        ++hedges_;
    }
}

void Query::hedgeSlowShards(base::TimePoint now, std::vector<Action>& actions)
{
    const base::Duration delay = hooks_.hedgeDelay();
    nextHedge_ = base::TimePoint::max();
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        ShardState& state = shards_[shard];
        if (state.isAnswered || state.inFlight == 0 || state.hedges >= spec_.hedgesPerShard)
            continue;
        if (state.sentAt + delay > now) {
            nextHedge_ = std::min(nextHedge_, state.sentAt + delay);
            continue;
        }
        if (state.tried.size() >= plan_->replicas[shard].size())
            continue;
        if (!hooks_.acquireHedge()) {
            // The budget refills with later traffic, so try again after another delay.
            nextHedge_ = std::min(nextHedge_, now + delay);
            continue;
        }
        if (sendToShard(shard, true, now, actions)) {
            ++state.hedges;
            ++hedges_;
            nextHedge_ = std::min(nextHedge_, now + delay);
        }
    }
}

std::vector<Action> Query::abandon(base::TimePoint)
{
    std::vector<Action> actions;
    if (!isFinished_)
        finishWithError({ ErrorCode::Cancelled, Step::Receive, {}, "caller disconnected", provenRunState() }, actions);
    return actions;
}

base::TimePoint Query::nextTimer() const
{
    return std::min({ spec_.deadline, nextHedge_, nextCanaryHedge_ });
}

void Query::cancelShard(std::uint32_t shard, std::vector<Action>& actions)
{
    for (auto entry = inFlight_.begin(); entry != inFlight_.end();) {
        if (entry->second.shard != shard) {
            ++entry;
            continue;
        }
        actions.push_back(CancelSubRequest { entry->first, entry->second.upstream });
        entry = inFlight_.erase(entry);
    }
    shards_[shard].inFlight = 0;
}

void Query::cancelInFlight(std::vector<Action>& actions)
{
    // Deferred sub-requests have not been sent and need no cancellation.
    for (const SendSubRequest& request : std::exchange(deferred_, {}))
        inFlight_.erase(request.id);
    nextCanaryHedge_ = base::TimePoint::max();
    for (const auto& [id, request] : inFlight_)
        actions.push_back(CancelSubRequest { id, request.upstream });
    inFlight_.clear();
}

void Query::finishIfSettled(base::TimePoint, std::vector<Action>& actions)
{
    // Stops early when too many shards have failed for the minimum coverage.
    if (pendingShards_ == 0 || !canReachMinCoverage())
        finish(actions);
}

double Query::minCoverage() const
{
    return spec_.allowsPartial ? spec_.minCoverage : 1.0;
}

bool Query::canReachMinCoverage() const
{
    const double reachable = static_cast<double>(answeredShards_) + pendingShards_;
    return reachable > 0 && reachable >= minCoverage() * static_cast<double>(shards_.size());
}

void Query::finish(std::vector<Action>& actions)
{
    if (isFinished_)
        return;
    const bool isCoverageSufficient = answeredShards_ > 0
        && static_cast<double>(answeredShards_) >= minCoverage() * static_cast<double>(shards_.size());
    if (!isCoverageSufficient) {
        finishWithError(
            { ErrorCode::CoverageTooLow, Step::Receive, {},
                std::to_string(answeredShards_) + " of " + std::to_string(shards_.size()) + " shards answered",
                provenRunState() },
            actions);
        return;
    }
    cancelInFlight(actions);
    isFinished_ = true;
    actions.push_back(FinishQuery { outcome() });
}

void Query::finishWithError(Error error, std::vector<Action>& actions)
{
    cancelInFlight(actions);
    isFinished_ = true;
    QueryOutcome result = outcome();
    result.error = std::move(error);
    result.hits.clear();
    actions.push_back(FinishQuery { std::move(result) });
}

QueryOutcome Query::outcome()
{
    QueryOutcome result;
    result.version = plan_ ? plan_->version : 0;
    result.shardsQueried = static_cast<std::uint32_t>(shards_.size());
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        const ShardState& state = shards_[shard];
        if (state.isAnswered)
            continue;
        const Error unfinished { ErrorCode::Cancelled, Step::Receive, {}, "query ended before the shard answered",
            RunState::Unknown };
        result.missing.push_back({ shard, state.lastError.value_or(unfinished) });
    }
    result.hits = merger_.takeSorted();
    result.hedges = hedges_;
    result.retries = retries_;
    result.restarts = restarts_;
    return result;
}

RunState Query::provenRunState() const
{
    if (!hasSent_)
        return RunState::NotRun;
    return answeredShards_ > 0 ? RunState::Run : RunState::Unknown;
}

} // namespace flamingousher::query
