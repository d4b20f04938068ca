#include "fanout/fanoutquery.h"

#include <algorithm>
#include <utility>

namespace flamingousher::fanout {

using balancing::ReplicaSelector;
using base::RunState;

namespace {

    // Pause before another look at a budget or at upstreams that had nothing to give for a hedge.
    constexpr base::Duration HedgeRecheck = std::chrono::milliseconds(8);

    // Fractions of shards are compared with this tolerance, as 0.89 of 100 shards are 89.
    constexpr double CoverageTolerance = 1e-9;

} // namespace

FanoutQuery::FanoutQuery(const FanoutSpec& spec, FanoutHooks hooks)
    : spec_(spec)
    , hooks_(std::move(hooks))
    , shards_(spec.shards)
    , open_(spec.shards)
{
}

std::vector<Action> FanoutQuery::start(base::TimePoint now)
{
    std::vector<Action> actions;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard)
        sendOrAwait(shard, false, now, actions);
    finishIfSettled(now, actions);
    return actions;
}

void FanoutQuery::send(
    std::uint32_t shard, UpstreamId upstream, bool isExtra, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const AttemptId id = hooks_.nextId();
    state.isAwaitingRoom = false;
    state.inFlight.push_back({ id, upstream });
    state.tried.push_back(upstream);
    ++state.runs;
    state.hedgeAt = spec_.isIdempotent && state.runs < spec_.mostAttempts ? now + hooks_.hedgeDelay(shard, upstream)
                                                                          : base::TimePoint::max();
    actions.push_back(SendAttempt { id, shard, upstream, isExtra });
}

void FanoutQuery::sendOrAwait(std::uint32_t shard, bool isExtra, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome == ReplicaSelector::Outcome::Chosen) {
        send(shard, choice.upstream, isExtra, now, actions);
        return;
    }
    // Before the first attempt an upstream may still be found, and one that has not accepted a connection may until the
    // goal; after other failures another upstream is needed.
    const bool mayBecomeUsable = state.couldNotConnect ? now < spec_.answerBy : state.tried.empty();
    if (choice.outcome == ReplicaSelector::Outcome::NoneUsable && !mayBecomeUsable) {
        giveUp(shard);
        return;
    }
    if (state.lastFailure.empty())
        state.lastFailure
            = choice.outcome == ReplicaSelector::Outcome::NoCapacity ? "no upstream has room" : "no upstream is usable";
    if (!std::exchange(state.isAwaitingRoom, true))
        actions.push_back(AwaitRoom { shard });
}

std::optional<FanoutQuery::Found> FanoutQuery::find(AttemptId id) const
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        const auto& inFlight = shards_[shard].inFlight;
        const auto found = std::ranges::find(inFlight, id, &Attempt::id);
        if (found != inFlight.end())
            return Found { shard, static_cast<std::size_t>(found - inFlight.begin()) };
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
    hasRunSomewhere_ = true;
    ++answered_;
    --open_;
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
        state.couldNotConnect = true;
    }
    if (failure.runState == RunState::NotRun)
        --state.runs;
    else
        hasRunSomewhere_ = true;
    if (state.inFlight.empty()) {
        state.hedgeAt = base::TimePoint::max();
        retry(found->shard, failure, now, actions);
    }
    finishIfSettled(now, actions);
    return actions;
}

void FanoutQuery::retry(
    std::uint32_t shard, const AttemptFailure& failure, base::TimePoint now, std::vector<Action>& actions)
{
    Shard& state = shards_[shard];
    const bool mayRepeat = spec_.isIdempotent || failure.runState == RunState::NotRun;
    if (!mayRepeat || state.runs >= spec_.mostAttempts || now >= spec_.deadline) {
        giveUp(shard);
        return;
    }
    // The next attempt is extra load only if this one was load. Asked for once, also when the attempt has to wait.
    if (failure.reachedUpstream && !hooks_.takeExtra(shard, ExtraAttempt::Retry)) {
        state.lastFailure += ", and the retry budget is spent";
        giveUp(shard);
        return;
    }
    ++retries_;
    sendOrAwait(shard, failure.reachedUpstream, now, actions);
}

// Beyond the goal the caller is better served by another try at another VM, which may have connections.
void FanoutQuery::giveUpUnconnected()
{
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        if (shards_[shard].isAwaitingConnection())
            giveUp(shard);
    }
}

void FanoutQuery::giveUp(std::uint32_t shard)
{
    Shard& state = shards_[shard];
    if (!std::exchange(state.isGivenUp, true))
        --open_;
    state.isAwaitingRoom = false;
    state.hedgeAt = base::TimePoint::max();
}

std::vector<Action> FanoutQuery::onRoom(std::uint32_t shard, base::TimePoint now)
{
    std::vector<Action> actions;
    Shard& state = shards_[shard];
    if (isFinished_ || !state.isAwaitingRoom)
        return actions;
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome == ReplicaSelector::Outcome::Chosen)
        send(shard, choice.upstream, !state.tried.empty(), now, actions);
    return actions;
}

std::vector<Action> FanoutQuery::onTimer(base::TimePoint now)
{
    std::vector<Action> actions;
    if (isFinished_)
        return actions;
    if (now >= spec_.deadline) {
        finish(isEnough(answered_) ? Ending::Answered : Ending::TimedOut, actions);
        return actions;
    }
    if (now >= spec_.answerBy && isEnough(answered_)) {
        finish(Ending::Answered, actions);
        return actions;
    }
    if (now >= spec_.answerBy)
        giveUpUnconnected();
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
    state.hedgeAt = now + HedgeRecheck;
    const ReplicaSelector::Choice choice = hooks_.choose(shard, state.tried);
    if (choice.outcome != ReplicaSelector::Outcome::Chosen || !hooks_.takeExtra(shard, ExtraAttempt::Hedge))
        return;
    ++hedges_;
    send(shard, choice.upstream, true, now, actions);
}

std::vector<Action> FanoutQuery::abandon(base::TimePoint)
{
    std::vector<Action> actions;
    if (!isFinished_)
        finish(Ending::Abandoned, actions);
    return actions;
}

base::TimePoint FanoutQuery::nextTimer() const
{
    base::TimePoint next = spec_.deadline;
    if (isEnough(answered_))
        next = std::min(next, spec_.answerBy);
    for (const Shard& shard : shards_) {
        next = std::min(next, shard.hedgeAt);
        if (shard.isAwaitingConnection())
            next = std::min(next, spec_.answerBy);
    }
    return next;
}

bool FanoutQuery::isEnough(std::uint32_t shards) const
{
    return shards > 0 && shards + CoverageTolerance >= spec_.leastCoverage * static_cast<double>(shards_.size());
}

bool FanoutQuery::mayHaveRun() const
{
    return hasRunSomewhere_ || std::ranges::any_of(shards_, [](const Shard& shard) { return !shard.inFlight.empty(); });
}

void FanoutQuery::finishIfSettled(base::TimePoint now, std::vector<Action>& actions)
{
    if (isFinished_)
        return;
    if (!isEnough(answered_ + open_))
        finish(Ending::Failed, actions);
    else if (open_ == 0 || (now >= spec_.answerBy && isEnough(answered_)))
        finish(Ending::Answered, actions);
}

void FanoutQuery::finish(Ending ending, std::vector<Action>& actions)
{
    FinishFanout result { ending, RunState::NotRun, answered_, {}, retries_, hedges_ };
    if (answered_ > 0)
        result.runState = RunState::Run;
    else if (mayHaveRun())
        result.runState = RunState::Unknown;
    isFinished_ = true;
    for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
        Shard& state = shards_[shard];
        state.isAwaitingRoom = false;
        if (!state.isAnswered)
            result.missing.push_back({ shard, state.lastFailure.empty() ? "no answer in time" : state.lastFailure });
        for (const Attempt& attempt : std::exchange(state.inFlight, {}))
            actions.push_back(DropAttempt { attempt.id, attempt.upstream });
    }
    actions.push_back(std::move(result));
}

} // namespace flamingousher::fanout
