#include "fanout/fanoutquery.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingousher::fanout {

using balancing::ReplicaSelector;
using base::RunState;

namespace {

    // Delay before a hedge is tried again for which no upstream or no retry budget was available.
    constexpr base::Duration HedgeRetryInterval = std::chrono::milliseconds(8);

    // Attempts lost before any response until a request is suspected to end its upstreams. One is lost at times.
    constexpr std::uint32_t SuspiciousLosses = 2;

    // Tolerance for rounding when comparing coverage: 0.89 of 100 shards must equal 89.
    constexpr double CoverageTolerance = 1e-9;

} // namespace

FanoutQuery::FanoutQuery(const FanoutSpec& spec, FanoutHooks hooks)
    : spec_(spec)
    , hooks_(std::move(hooks))
    , shards_(spec.shards)
    , pendingShards_(spec.shards)
{
}

std::vector<Action> FanoutQuery::start(base::TimePoint now)
{
    std::vector<Action> actions;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (spec_.isProbe)
            holdBack(shard);
        else
            sendOrAwait(shard, false, now, actions);
    }
    if (spec_.isProbe)
        sendCanary(now, actions);
    finishIfSettled(now, actions);
    return actions;
}

bool FanoutQuery::isCautious() const
{
    return !hasResponse_ && (spec_.isProbe || lostAttempts_ >= SuspiciousLosses);
}

bool FanoutQuery::isCanaryPending() const
{
    if (!canaryShard_)
        return false;
    const Shard& shard = shards_[*canaryShard_];
    return !shard.hasFailed && (shard.isAwaitingCapacity || !shard.inFlight.empty());
}

void FanoutQuery::holdBack(std::uint32_t shard)
{
    shards_[shard].isHeldBack = true;
    if (shards_[shard].lastFailure.empty())
        shards_[shard].lastFailure = "held back, as the request may crash upstreams";
}

// Sends to one of the shards that are held back; to another if that one has no usable upstream.
void FanoutQuery::sendCanary(base::TimePoint now, std::vector<Action>& actions)
{
    // Varies the shard, or the same upstreams would get the canary of every request.
    const auto first = static_cast<std::uint32_t>(hooks_.nextAttemptId() % shards_.size());
    for (std::uint32_t offset = 0; offset < shards_.size() && !isCanaryPending(); ++offset) {
        const auto shard = static_cast<std::uint32_t>((first + offset) % shards_.size());
        if (!std::exchange(shards_[shard].isHeldBack, false))
            continue;
        canaryShard_ = shard;
        sendOrAwait(shard, !shards_[shard].tried.empty(), now, actions);
    }
}

void FanoutQuery::releaseHeldBack(base::TimePoint now, std::vector<Action>& actions)
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (std::exchange(shards_[shard].isHeldBack, false))
            sendOrAwait(shard, !shards_[shard].tried.empty(), now, actions);
    }
}

void FanoutQuery::giveUpHeldBack()
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (shards_[shard].isHeldBack)
            failShard(shard);
    }
}

void FanoutQuery::send(
    std::uint32_t shard, UpstreamId upstream, bool isExtra, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const AttemptId id = hooks_.nextAttemptId();
    state.isAwaitingCapacity = false;
    state.inFlight.push_back({ id, upstream });
    state.tried.push_back(upstream);
    ++state.possibleRuns;
    state.hedgeAt = spec_.isIdempotent && state.possibleRuns < spec_.maxAttempts
        ? std::max(now + hooks_.hedgeDelay(shard, upstream), spec_.hedgeFrom)
        : base::TimePoint::max();
    actions.push_back(SendAttempt { id, shard, upstream, isExtra });
}

// Before the first attempt an upstream may still be discovered, and one that refused a connection may accept one before
// the goal; after other failures another upstream is needed. What cannot be connected to is left to other VMs at once.
bool FanoutQuery::mayBecomeUsable(std::uint32_t shard, base::TimePoint now) const
{
    if (hooks_.isUnreached && hooks_.isUnreached(shard))
        return false;
    const Shard& state = shards_[shard];
    return state.hasConnectFailure ? now < spec_.answerBy : state.tried.empty();
}

void FanoutQuery::sendOrAwait(std::uint32_t shard, bool isExtra, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome == ReplicaSelector::Outcome::Chosen) {
        send(shard, choice.upstream, isExtra, now, actions);
        return;
    }
    if (choice.outcome == ReplicaSelector::Outcome::NoneUsable && !mayBecomeUsable(shard, now)) {
        failShard(shard);
        return;
    }
    if (state.lastFailure.empty())
        state.lastFailure = choice.outcome == ReplicaSelector::Outcome::NoCapacity ? "all upstreams are busy"
                                                                                   : "no upstream is usable";
    if (!std::exchange(state.isAwaitingCapacity, true))
        actions.push_back(AwaitCapacity { shard });
}

std::optional<FanoutQuery::AttemptLocation> FanoutQuery::find(AttemptId id) const
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        const auto& inFlight = shards_[shard].inFlight;
        const auto found = std::ranges::find(inFlight, id, &Attempt::id);
        if (found != inFlight.end())
            return AttemptLocation { shard, static_cast<std::size_t>(found - inFlight.begin()) };
    }
    return std::nullopt;
}

std::vector<Action> FanoutQuery::onAnswered(AttemptId id, base::TimePoint now)
{
    std::vector<Action> actions;
    const auto found = find(id);
    if (!found || isFinished_)
        return actions;
    Shard& state = shards_[found->shard];
    state.inFlight.erase(state.inFlight.begin() + static_cast<std::ptrdiff_t>(found->attempt));
    state.isAnswered = true;
    state.hedgeAt = base::TimePoint::max();
    for (const Attempt& other : std::exchange(state.inFlight, {}))
        actions.push_back(DropAttempt { other.id, other.upstream });
    hasPossibleRun_ = true;
    hasResponse_ = true;
    ++answeredShards_;
    --pendingShards_;
    releaseHeldBack(now, actions);
    finishIfSettled(now, actions);
    return actions;
}

std::vector<Action> FanoutQuery::onFailed(AttemptId id, const AttemptFailure& failure, base::TimePoint now)
{
    std::vector<Action> actions;
    const auto found = find(id);
    if (!found || isFinished_)
        return actions;
    Shard& state = shards_[found->shard];
    const UpstreamId upstream = state.inFlight[found->attempt].upstream;
    state.inFlight.erase(state.inFlight.begin() + static_cast<std::ptrdiff_t>(found->attempt));
    state.lastFailure = failure.reason;
    if (!failure.reachedUpstream) {
        std::erase(state.tried, upstream);
        state.hasConnectFailure = true;
    }
    if (failure.runState == RunState::NotRun)
        --state.possibleRuns;
    else
        hasPossibleRun_ = true;
    hasResponse_ = hasResponse_ || failure.runState == RunState::Run;
    lostAttempts_ += failure.isConnectionLost ? 1 : 0;
    if (state.inFlight.empty()) {
        state.hedgeAt = base::TimePoint::max();
        retry(found->shard, failure, now, actions);
    }
    if (!isCautious())
        releaseHeldBack(now, actions);
    else if (!isCanaryPending())
        sendCanary(now, actions);
    finishIfSettled(now, actions);
    return actions;
}

void FanoutQuery::retry(
    std::uint32_t shard, const AttemptFailure& failure, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const bool canRetry = spec_.isIdempotent || failure.runState == RunState::NotRun;
    // The canary's loss is the proof: nothing more is sent.
    const bool isCanaryLost = failure.isConnectionLost && isCautious() && canaryShard_ == shard;
    if (isCanaryLost && (spec_.isProbe || shards_.size() > 1)) {
        failShard(shard);
        giveUpHeldBack();
        return;
    }
    if (!canRetry || state.possibleRuns >= spec_.maxAttempts || now >= spec_.deadline) {
        failShard(shard);
        return;
    }
    // The next attempt is extra load only if this one reached the upstream. Acquired once, even if the attempt then has
    // to wait for capacity.
    if (failure.reachedUpstream && !hooks_.acquireExtraAttempt(shard, ExtraAttempt::Retry)) {
        state.lastFailure += ", and the retry budget is spent";
        failShard(shard);
        return;
    }
    ++retries_;
    if (isCautious()) {
        holdBack(shard);
        return;
    }
    if (failure.isConnectionLost)
        canaryShard_ = shard;
    sendOrAwait(shard, failure.reachedUpstream, now, actions);
}

// After the goal the caller is better off retrying at another VM, which may have connections.
void FanoutQuery::failUnconnectedShards()
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (shards_[shard].isAwaitingConnection())
            failShard(shard);
    }
}

void FanoutQuery::failShard(std::uint32_t shard)
{
    Shard& state = shards_[shard];
    if (!std::exchange(state.hasFailed, true))
        --pendingShards_;
    state.isAwaitingCapacity = false;
    state.isHeldBack = false;
    state.hedgeAt = base::TimePoint::max();
}

std::vector<Action> FanoutQuery::onCapacity(std::uint32_t shard, base::TimePoint now)
{
    std::vector<Action> actions;
    Shard& state = shards_[shard];
    if (isFinished_ || !state.isAwaitingCapacity)
        return actions;
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome == ReplicaSelector::Outcome::Chosen) {
        send(shard, choice.upstream, !state.tried.empty(), now, actions);
    } else if (choice.outcome == ReplicaSelector::Outcome::NoneUsable && !mayBecomeUsable(shard, now)) {
        failShard(shard);
        finishIfSettled(now, actions);
    }
    return actions;
}

std::vector<Action> FanoutQuery::onTimer(base::TimePoint now)
{
    std::vector<Action> actions;
    if (isFinished_)
        return actions;
    if (now >= spec_.deadline) {
        finish(meetsMinCoverage(answeredShards_) ? FinishReason::Answered : FinishReason::TimedOut, actions);
        return actions;
    }
    if (now >= partialAnswerAt()) {
        finish(FinishReason::Answered, actions);
        return actions;
    }
    if (now >= spec_.answerBy)
        failUnconnectedShards();
    finishIfSettled(now, actions);
    if (isFinished_)
        return actions;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (now >= shards_[shard].hedgeAt)
            hedge(shard, now, actions);
    }
    return actions;
}

void FanoutQuery::hedge(std::uint32_t shard, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    state.hedgeAt = now + HedgeRetryInterval;
    if (isCautious())
        return;
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome != ReplicaSelector::Outcome::Chosen || !hooks_.acquireExtraAttempt(shard, ExtraAttempt::Hedge))
        return;
    ++hedges_;
    send(shard, choice.upstream, true, now, actions);
}

std::vector<Action> FanoutQuery::abandon(base::TimePoint)
{
    std::vector<Action> actions;
    if (!isFinished_)
        finish(FinishReason::Abandoned, actions);
    return actions;
}

base::TimePoint FanoutQuery::nextTimer() const
{
    base::TimePoint next = std::min(spec_.deadline, partialAnswerAt());
    for (const Shard& shard : shards_) {
        next = std::min(next, shard.hedgeAt);
        if (shard.isAwaitingConnection())
            next = std::min(next, spec_.answerBy);
    }
    return next;
}

bool FanoutQuery::meetsMinCoverage(std::uint32_t shards) const
{
    return shards > 0 && shards + CoverageTolerance >= spec_.minCoverage * static_cast<double>(shards_.size());
}

// Returns when waiting for the missing shards is no longer worth its risk. An answer is worth the square of its
// coverage c, and nothing when late. With a normally distributed delivery time, an answer sent z standard deviations
// before the goal is late with a probability of at most exp(-z * z / 2) / 2; waiting gains at most 1 - c * c, and about
// half of the missing shards arrive. Both are equal at z = sqrt(-2 ln(1 - c * c)).
base::TimePoint FanoutQuery::partialAnswerAt() const
{
    if (!meetsMinCoverage(answeredShards_))
        return base::TimePoint::max();
    const double coverage = static_cast<double>(answeredShards_) / static_cast<double>(shards_.size());
    const double gain = 1 - coverage * coverage;
    if (gain <= 0)
        return spec_.answerBy;
    const double deviations = std::sqrt(-2 * std::log(gain));
    return spec_.answerBy - std::chrono::duration_cast<base::Duration>(spec_.deliverySpread * deviations);
}

bool FanoutQuery::mayHaveRun() const
{
    return hasPossibleRun_ || std::ranges::any_of(shards_, [](const Shard& shard) { return !shard.inFlight.empty(); });
}

void FanoutQuery::finishIfSettled(base::TimePoint now, std::vector<Action>& actions)
{
    if (isFinished_)
        return;
    if (!meetsMinCoverage(answeredShards_ + pendingShards_))
        finish(FinishReason::Failed, actions);
    else if (pendingShards_ == 0 || now >= partialAnswerAt())
        finish(FinishReason::Answered, actions);
}

void FanoutQuery::finish(FinishReason finishReason, std::vector<Action>& actions)
{
    FinishFanout result { finishReason, RunState::NotRun, answeredShards_, {}, retries_, hedges_ };
    if (answeredShards_ > 0)
        result.runState = RunState::Run;
    else if (mayHaveRun())
        result.runState = RunState::Unknown;
    isFinished_ = true;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        Shard& state = shards_[shard];
        state.isAwaitingCapacity = false;
        if (!state.isAnswered)
            result.missing.push_back({ shard, state.lastFailure.empty() ? "no answer in time" : state.lastFailure });
        for (const Attempt& attempt : std::exchange(state.inFlight, {}))
            actions.push_back(DropAttempt { attempt.id, attempt.upstream });
    }
    actions.push_back(std::move(result));
}

} // namespace flamingousher::fanout
