#include "query/query.h"

#include <algorithm>
#include <utility>

namespace flamingousher::query {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    constexpr std::uint32_t MaximumAttemptsPerShard = 3;
    constexpr std::uint32_t MaximumRestarts = 2;

    // Hedge delays to wait for the canary before another replica is asked.
    constexpr int CanaryPatience = 2;

    // Upstreams that a request may crash before it has gone to all shards.
    constexpr std::uint32_t MostCanaries = 2;

    // True when the failed attempt put no work on its upstream, so that another is no extra load.
    bool costNothing(const Error& error)
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
            { ErrorCode::NotReady, Step::Routing, {}, "no index version is known", RunState::NotRun }, actions);
    else
        begin(std::move(plan), now, actions);
    return actions;
}

void Query::begin(std::shared_ptr<const ShardPlan> plan, base::TimePoint now, std::vector<Action>& actions)
{
    plan_ = std::move(plan);
    merger_ = TopKMerger(spec_.resultLimit);
    shards_.assign(plan_->replicas.size(), {});
    openShards_ = static_cast<std::uint32_t>(shards_.size());
    answeredShards_ = 0;
    nextHedge_ = spec_.allowsHedging ? now + hooks_.hedgeDelay() : base::TimePoint::max();

    std::vector<Action> sends;
    std::vector<std::uint32_t> unsent;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (!sendToShard(shard, false, now, sends))
            unsent.push_back(shard);
    }
    openShards_ -= static_cast<std::uint32_t>(unsent.size());
    if (!canReachLeastCoverage()) {
        // Nothing has been sent yet, so the refusal can say "not run".
        inFlight_.clear();
        finishWithError({ ErrorCode::CoverageTooLow, Step::Admission, {},
                            "too few shards have a replica that may receive work", provedRunState() },
            actions);
        return;
    }
    mayHaveRun_ = mayHaveRun_ || !sends.empty();
    if (spec_.needsCanary && sends.size() > 1) {
        for (const Action& send : sends)
            heldBack_.push_back(std::get<SendSubRequest>(send));
        // Any shard may be the first, so that no upstream is the canary of all requests.
        std::swap(heldBack_.back(), heldBack_[hooks_.nextId() % heldBack_.size()]);
        sendNextCanary(now, actions);
        return;
    }
    actions.insert(actions.end(), sends.begin(), sends.end());
    finishIfSettled(now, actions);
}

void Query::sendNextCanary(base::TimePoint now, std::vector<Action>& actions)
{
    if (heldBack_.empty())
        return;
    const SendSubRequest canary = heldBack_.back();
    heldBack_.pop_back();
    canaryShard_ = canary.target.shard;
    shards_[canaryShard_].sentAt = now;
    actions.push_back(canary);
    canaryUntil_ = now + CanaryPatience * hooks_.hedgeDelay();
    nextHedge_ = base::TimePoint::max();
}

void Query::releaseHeldBack(base::TimePoint now, std::vector<Action>& actions)
{
    if (heldBack_.empty())
        return;
    canaryUntil_ = base::TimePoint::max();
    for (const SendSubRequest& request : std::exchange(heldBack_, {})) {
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
            state.lastError = Error { ErrorCode::Unreachable, Step::Routing, {}, "no replica may receive work" };
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
    const ServedShard wanted { plan_->version, request.shard, static_cast<std::uint32_t>(shards_.size()) };
    if (answer.served != wanted) {
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
    --openShards_;
    ++answeredShards_;
    if (state.inFlight > 0)
        cancelShard(request.shard, actions);
    releaseHeldBack(now, actions);
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
            { ErrorCode::Quarantined, Step::Routing, error.peer, "the request crashes upstreams", provedRunState() },
            actions);
        return actions;
    }
    if (state.inFlight > 0)
        return actions;
    if (error.code == ErrorCode::UpstreamCrashed && !heldBack_.empty()) {
        // The canary died of the request, or with an upstream that was dying anyway: one more replica tells.
        if (state.attempts >= MostCanaries || !sendToShard(shard, false, now, actions))
            finishWithError(
                { error.code, error.step, error.peer, "the canary's upstream crashed", provedRunState() }, actions);
        return actions;
    }
    const std::uint32_t restartsBefore = restarts_;
    retryShard(shard, now, actions);
    // A canary that no replica answers for another reason says nothing about the request: all of them may have crashed
    // of it a moment ago. After a restart the shards are those of another version, and their canary is on its way.
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
    const bool isInTime = now < spec_.deadline;
    const bool hasAttempts = isInTime && state.attempts < MaximumAttemptsPerShard;
    if (hasAttempts && (costNothing(*state.lastError) || hooks_.takeRetry())
        && sendToShard(shard, false, now, actions)) {
        ++retries_;
        return;
    }
    const bool isVersionGone = state.lastError->code == ErrorCode::VersionNotServed;
    if (isInTime && isVersionGone && restartOnNewerVersion(now, actions))
        return;
    --openShards_;
}

bool Query::restartOnNewerVersion(base::TimePoint now, std::vector<Action>& actions)
{
    if (restarts_ >= MaximumRestarts)
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
    if (now >= canaryUntil_)
        hedgeCanary(now, actions);
    if (now >= nextHedge_)
        hedgeSlowShards(now, actions);
    return actions;
}

// A canary without an answer may be slow, or its upstream may have crashed and nobody has told so yet. Time alone
// cannot tell, so the other shards wait until one canary answers.
void Query::hedgeCanary(base::TimePoint now, std::vector<Action>& actions)
{
    const base::Duration delay = hooks_.hedgeDelay();
    ShardState& state = shards_[canaryShard_];
    canaryUntil_ = base::TimePoint::max();
    if (state.attempts >= MostCanaries || state.tried.size() >= plan_->replicas[canaryShard_].size())
        return;
    if (!hooks_.takeHedge()) {
        canaryUntil_ = now + delay;
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
        if (!hooks_.takeHedge()) {
            // The budget refills with later traffic; look again after another delay.
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
        finishWithError({ ErrorCode::Cancelled, Step::Receive, {}, "the caller has gone", provedRunState() }, actions);
    return actions;
}

base::TimePoint Query::nextTimer() const
{
    return std::min({ spec_.deadline, nextHedge_, canaryUntil_ });
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
    // What was held back has not been sent.
    for (const SendSubRequest& request : std::exchange(heldBack_, {}))
        inFlight_.erase(request.id);
    canaryUntil_ = base::TimePoint::max();
    for (const auto& [id, request] : inFlight_)
        actions.push_back(CancelSubRequest { id, request.upstream });
    inFlight_.clear();
}

void Query::finishIfSettled(base::TimePoint, std::vector<Action>& actions)
{
    // Stops early when the missing shards alone decide that the answer cannot be given.
    if (openShards_ == 0 || !canReachLeastCoverage())
        finish(actions);
}

double Query::leastCoverage() const
{
    return spec_.allowsPartial ? spec_.leastCoverage : 1.0;
}

bool Query::canReachLeastCoverage() const
{
    const double reachable = static_cast<double>(answeredShards_) + openShards_;
    return reachable > 0 && reachable >= leastCoverage() * static_cast<double>(shards_.size());
}

void Query::finish(std::vector<Action>& actions)
{
    if (isFinished_)
        return;
    const bool isEnough = answeredShards_ > 0
        && static_cast<double>(answeredShards_) >= leastCoverage() * static_cast<double>(shards_.size());
    if (!isEnough) {
        finishWithError(
            { ErrorCode::CoverageTooLow, Step::Receive, {},
                std::to_string(answeredShards_) + " of " + std::to_string(shards_.size()) + " shards answered",
                provedRunState() },
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
    result.shardsAsked = static_cast<std::uint32_t>(shards_.size());
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        const ShardState& state = shards_[shard];
        if (state.isAnswered)
            continue;
        const Error unfinished { ErrorCode::Cancelled, Step::Receive, {}, "stopped before it answered",
            RunState::Unknown };
        result.missing.push_back({ shard, state.lastError.value_or(unfinished) });
    }
    result.hits = merger_.takeSorted();
    result.hedges = hedges_;
    result.retries = retries_;
    result.restarts = restarts_;
    return result;
}

RunState Query::provedRunState() const
{
    if (!mayHaveRun_)
        return RunState::NotRun;
    return answeredShards_ > 0 ? RunState::Run : RunState::Unknown;
}

} // namespace flamingousher::query
