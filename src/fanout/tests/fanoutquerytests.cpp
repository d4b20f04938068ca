#include "fanout/fanoutquery.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>

using namespace flamingousher;
using namespace flamingousher::fanout;
using balancing::ReplicaSelector;
using base::RunState;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

// A query over shards with three upstreams each: shard s has 10 s, 10 s + 1 and 10 s + 2.
struct Harness {
    explicit Harness(std::uint32_t shards, double minCoverage = 0.89, std::uint32_t maxAttempts = 2,
        bool isIdempotent = true, base::TimePoint hedgeFrom = {}, base::Duration deliverySpread = {},
        bool isProbe = false)
        : query({ shards, Start + milliseconds(100), Start + milliseconds(800), minCoverage, maxAttempts, isIdempotent,
                    hedgeFrom, deliverySpread, isProbe },
            { [this](std::uint32_t shard, const std::vector<UpstreamId>& tried) { return choose(shard, tried); },
                [](std::uint32_t, UpstreamId) { return milliseconds(20); },
                [this](std::uint32_t, ExtraAttempt) { return extraAttemptBudget-- > 0; }, [this] { return ++lastId; },
                [this](std::uint32_t shard) { return unreachedShards.contains(shard); } })
    {
    }

    ReplicaSelector::Choice choose(std::uint32_t shard, const std::vector<UpstreamId>& tried) const
    {
        bool isBusy = false;
        for (UpstreamId id = 10 * shard; id < 10 * shard + 3; ++id) {
            if (std::ranges::find(tried, id) != tried.end() || unreachable.contains(id))
                continue;
            if (!busy.contains(id))
                return { ReplicaSelector::Outcome::Chosen, id };
            isBusy = true;
        }
        return { isBusy ? ReplicaSelector::Outcome::NoCapacity : ReplicaSelector::Outcome::NoneUsable, 0 };
    }

    void apply(const std::vector<Action>& actions)
    {
        for (const Action& action : actions) {
            if (const auto* sent = std::get_if<SendAttempt>(&action))
                attempts[sent->shard].push_back(*sent);
            else if (const auto* dropped = std::get_if<DropAttempt>(&action))
                droppedAttempts.insert(dropped->attempt);
            else if (const auto* finished = std::get_if<FinishFanout>(&action))
                finish = *finished;
        }
    }

    void start() { apply(query.start(Start)); }
    void answer(std::uint32_t shard, base::TimePoint at, std::size_t attempt = 0)
    {
        apply(query.onAnswered(attempts[shard].at(attempt).attempt, at));
    }

    void fail(std::uint32_t shard, RunState runState, base::TimePoint at, std::size_t attempt = 0)
    {
        apply(query.onFailed(attempts[shard].at(attempt).attempt, { runState, true, "lost" }, at));
    }

    // The connection ends while the upstream may run the attempt.
    void loseConnection(std::uint32_t shard, base::TimePoint at, std::size_t attempt = 0)
    {
        apply(query.onFailed(attempts[shard].at(attempt).attempt, { RunState::Unknown, true, "lost", true }, at));
    }

    std::size_t sentCount() const
    {
        std::size_t count = 0;
        for (const auto& [shard, sent] : attempts)
            count += sent.size();
        return count;
    }

    void failToConnect(std::uint32_t shard, base::TimePoint at, std::size_t attempt)
    {
        apply(query.onFailed(attempts[shard].at(attempt).attempt, { RunState::NotRun, false, "refused" }, at));
    }

    int extraAttemptBudget { 100 };
    std::uint64_t lastId { 0 };
    std::set<UpstreamId> busy;
    std::set<std::uint32_t> unreachedShards;
    std::set<UpstreamId> unreachable;
    std::map<std::uint32_t, std::vector<SendAttempt>> attempts;
    std::set<AttemptId> droppedAttempts;
    std::optional<FinishFanout> finish;
    FanoutQuery query;
};

} // namespace

Test(FanoutQuery, finishesWhenAllShardsHaveAnswered)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 10; ++shard) {
        cr_assert(!harness.finish);
        harness.answer(shard, Start + milliseconds(10));
    }
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert(harness.finish->missing.empty());
}

// Load pattern: one shard of ten pauses for 150 ms, and so does the upstream that receives the hedge.
Test(FanoutQuery, finishesAtItsGoalWithoutTheStraggler)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 1; shard < 10; ++shard)
        harness.answer(shard, Start + milliseconds(15));
    cr_assert(harness.query.nextTimer() == Start + milliseconds(20));
    harness.apply(harness.query.onTimer(Start + milliseconds(20)));
    cr_assert_eq(harness.attempts[0].size(), 2, "the straggler is hedged");
    cr_assert(harness.query.nextTimer() == Start + milliseconds(100));
    harness.apply(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert_eq(harness.finish->missing.size(), 1);
    cr_assert_eq(harness.droppedAttempts.size(), 2);
}

// Load pattern: of 90 shards a few pause at any moment. The last ones add 2% each, and a late answer is worth nothing.
Test(FanoutQuery, answersEarlierTheLessIsMissing)
{
    base::TimePoint previous = Start;
    for (std::uint32_t missing : { 1, 4, 9 }) {
        Harness harness(90, 0.89, 2, true, {}, milliseconds(2));
        harness.start();
        for (std::uint32_t shard = missing; shard < 90; ++shard)
            harness.answer(shard, Start + milliseconds(15));
        // Past the hedges, which are due earlier.
        harness.apply(harness.query.onTimer(Start + milliseconds(20)));
        const base::TimePoint answersAt = harness.query.nextTimer();
        cr_expect(answersAt > previous && answersAt < Start + milliseconds(100));
        cr_expect(answersAt > Start + milliseconds(93), "%u missing", missing);
        previous = answersAt;
        harness.apply(harness.query.onTimer(answersAt));
        cr_assert(harness.finish.has_value());
        cr_expect_eq(harness.finish->missing.size(), missing);
    }
}

Test(FanoutQuery, waitsBeyondItsGoalForTheMinimumCoverage)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 2; shard < 10; ++shard)
        harness.answer(shard, Start + milliseconds(15));
    harness.apply(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(!harness.finish, "8 of 10 shards are below the minimum coverage of 0.89");
    harness.answer(0, Start + milliseconds(160));
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert_eq(harness.finish->answered, 9);
}

Test(FanoutQuery, hedgesAStragglerOnceAndUsesTheFirstAnswer)
{
    Harness harness(1, 1.0);
    harness.start();
    harness.apply(harness.query.onTimer(Start + milliseconds(20)));
    harness.apply(harness.query.onTimer(Start + milliseconds(60)));
    cr_assert_eq(harness.attempts[0].size(), 2, "limited to two attempts");
    harness.answer(0, Start + milliseconds(70), 1);
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert(harness.droppedAttempts.contains(harness.attempts[0].at(0).attempt));
}

// Load pattern: the VM that delegated the request may run it again until this time, with one attempt for each shard.
Test(FanoutQuery, doesNotHedgeBeforeTheGivenTime)
{
    Harness harness(1, 1.0, 2, true, Start + milliseconds(30));
    harness.start();
    harness.apply(harness.query.onTimer(Start + milliseconds(20)));
    cr_assert_eq(harness.attempts[0].size(), 1);
    cr_assert(harness.query.nextTimer() == Start + milliseconds(30));
    harness.apply(harness.query.onTimer(Start + milliseconds(30)));
    cr_assert_eq(harness.attempts[0].size(), 2);
}

Test(FanoutQuery, doesNotHedgeWithoutRetryBudget)
{
    Harness harness(1, 1.0);
    harness.extraAttemptBudget = 0;
    harness.start();
    harness.apply(harness.query.onTimer(Start + milliseconds(20)));
    cr_assert_eq(harness.attempts[0].size(), 1);
    cr_assert(harness.query.nextTimer() > Start + milliseconds(20), "the hedge is tried again later");
}

Test(FanoutQuery, runsANonIdempotentRequestAtMostOnce)
{
    Harness harness(1, 1.0, 2, false);
    harness.start();
    harness.apply(harness.query.onTimer(Start + milliseconds(50)));
    cr_assert_eq(harness.attempts[0].size(), 1, "non-idempotent requests are not hedged");
    harness.fail(0, RunState::NotRun, Start + milliseconds(60));
    cr_assert_eq(harness.attempts[0].size(), 2, "a request that did not run may be retried");
    harness.fail(0, RunState::Unknown, Start + milliseconds(70), 1);
    cr_assert_eq(harness.attempts[0].size(), 2, "a request that may have run must not be retried");
    cr_assert(harness.finish->finishReason == FinishReason::Failed);
    cr_assert(harness.finish->runState == RunState::Unknown);
}

Test(FanoutQuery, reportsNotRunOnlyWhenNoAttemptMayHaveRun)
{
    Harness harness(1, 1.0);
    harness.start();
    for (std::size_t attempt = 0; attempt < 3; ++attempt)
        harness.fail(0, RunState::NotRun, Start + milliseconds(10), attempt);
    cr_assert(harness.finish->finishReason == FinishReason::Failed);
    cr_assert(harness.finish->runState == RunState::NotRun);

    Harness other(2, 1.0);
    other.start();
    for (std::size_t attempt = 0; attempt < 3; ++attempt)
        other.fail(0, RunState::NotRun, Start + milliseconds(10), attempt);
    cr_assert(other.finish->finishReason == FinishReason::Failed, "shard 1 alone is below the minimum coverage");
    cr_assert(other.finish->runState == RunState::Unknown, "the attempt of shard 1 is still in flight");
}

Test(FanoutQuery, limitsRetriesToTheMaximumAttempts)
{
    Harness harness(1, 1.0, 2);
    harness.start();
    harness.fail(0, RunState::Run, Start + milliseconds(10));
    cr_assert_eq(harness.attempts[0].size(), 2);
    harness.fail(0, RunState::Run, Start + milliseconds(20), 1);
    cr_assert_eq(harness.attempts[0].size(), 2);
    cr_assert(harness.finish->finishReason == FinishReason::Failed);
}

Test(FanoutQuery, failsImmediatelyWhenTheMinimumCoverageIsUnreachable)
{
    Harness harness(10);
    harness.extraAttemptBudget = 0;
    harness.start();
    harness.fail(0, RunState::Run, Start + milliseconds(10));
    cr_assert(!harness.finish);
    harness.fail(1, RunState::Run, Start + milliseconds(10));
    cr_assert(harness.finish->finishReason == FinishReason::Failed, "fails before the deadline");
    cr_assert(harness.finish->runState == RunState::Unknown);
}

Test(FanoutQuery, startsAWaitingShardWhenAnUpstreamHasCapacity)
{
    Harness harness(2, 1.0);
    harness.busy = { 0, 1, 2 };
    harness.start();
    cr_assert(harness.attempts[0].empty());
    cr_assert(harness.query.isAwaitingCapacity(0));
    harness.busy = { 0, 1 };
    harness.apply(harness.query.onCapacity(0, Start + milliseconds(5)));
    cr_assert_eq(harness.attempts[0].at(0).upstream, 2);
    cr_assert(!harness.query.isAwaitingCapacity(0));
}

Test(FanoutQuery, finishesWhenTheCallerDisconnects)
{
    Harness harness(3);
    harness.start();
    harness.apply(harness.query.abandon(Start + milliseconds(5)));
    cr_assert(harness.finish->finishReason == FinishReason::Abandoned);
    cr_assert_eq(harness.droppedAttempts.size(), 3);
    cr_assert(harness.query.onTimer(Start + milliseconds(800)).empty());
}

Test(FanoutQuery, timesOutBelowTheMinimumCoverage)
{
    Harness harness(10, 0.75);
    harness.start();
    harness.answer(0, Start + milliseconds(10));
    harness.apply(harness.query.onTimer(Start + milliseconds(800)));
    cr_assert(harness.finish->finishReason == FinishReason::TimedOut);
    cr_assert(harness.finish->runState == RunState::Run);
}

// Load pattern: all VMs restart after a power loss. For some seconds upstreams accept only some of the connections.
Test(FanoutQuery, waitsForAConnectionUntilItsGoal)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 8; ++shard)
        harness.answer(shard, Start + milliseconds(10));
    for (std::uint32_t shard = 8; shard < 10; ++shard) {
        harness.unreachable.insert({ 10 * shard, 10 * shard + 1, 10 * shard + 2 });
        harness.failToConnect(shard, Start + milliseconds(2), 0);
    }
    cr_assert(!harness.finish, "8 of 10 shards are too few, but two may still answer");
    cr_assert(harness.query.nextTimer() == Start + milliseconds(100));
    harness.unreachable.clear();
    harness.apply(harness.query.onCapacity(8, Start + milliseconds(60)));
    cr_assert_eq(harness.attempts[8].back().upstream, 80, "an upstream that refused a connection may be tried again");
    harness.answer(8, Start + milliseconds(70), harness.attempts[8].size() - 1);
    harness.apply(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert_eq(harness.finish->answered, 9);
}

Test(FanoutQuery, failsAtItsGoalWithoutAConnection)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 8; ++shard)
        harness.answer(shard, Start + milliseconds(10));
    for (std::uint32_t shard = 8; shard < 10; ++shard) {
        harness.unreachable.insert({ 10 * shard, 10 * shard + 1, 10 * shard + 2 });
        harness.failToConnect(shard, Start + milliseconds(12), 0);
    }
    harness.apply(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->finishReason == FinishReason::Failed);
}

// Load pattern: a request ends the upstreams of all its shards within a millisecond.
Test(FanoutQuery, sendsOneMoreAttemptAfterLossesWithoutResponse)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 10; ++shard)
        harness.loseConnection(shard, Start + milliseconds(1));
    cr_assert_eq(harness.sentCount(), 11);
    harness.apply(harness.query.onTimer(Start + milliseconds(30)));
    cr_assert_eq(harness.sentCount(), 11, "no hedge either");
    harness.loseConnection(0, Start + milliseconds(31), 1);
    cr_assert_eq(harness.sentCount(), 11);
    cr_assert(harness.finish->finishReason == FinishReason::Failed);
    cr_assert(harness.finish->runState == RunState::Unknown);
}

// Load pattern: a zone loses power with innocent requests in progress at all its upstreams.
Test(FanoutQuery, retriesAllShardsOnceOneHasAnswered)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 10; ++shard)
        harness.loseConnection(shard, Start + milliseconds(1));
    harness.answer(0, Start + milliseconds(15), 1);
    cr_assert_eq(harness.sentCount(), 20);
    for (std::uint32_t shard = 1; shard < 10; ++shard)
        harness.answer(shard, Start + milliseconds(30), 1);
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
    cr_assert(harness.finish->missing.empty());
}

Test(FanoutQuery, retriesLossesAtOnceAfterAResponse)
{
    Harness harness(10);
    harness.start();
    harness.answer(9, Start + milliseconds(1));
    for (std::uint32_t shard = 0; shard < 9; ++shard)
        harness.loseConnection(shard, Start + milliseconds(1));
    cr_assert_eq(harness.sentCount(), 19);
}

// An upstream that reports an error has survived the request.
Test(FanoutQuery, takesAnErrorOfAnUpstreamForAResponse)
{
    Harness harness(10);
    harness.start();
    harness.loseConnection(0, Start + milliseconds(1));
    harness.loseConnection(1, Start + milliseconds(1));
    harness.loseConnection(2, Start + milliseconds(1));
    cr_assert_eq(harness.sentCount(), 11);
    harness.fail(3, RunState::Run, Start + milliseconds(2));
    cr_assert_eq(harness.sentCount(), 14);
}

Test(FanoutQuery, sendsProbeToOneShardUntilItHasAnswered)
{
    Harness harness(10, 0.89, 2, true, {}, {}, true);
    harness.start();
    cr_assert_eq(harness.sentCount(), 1);
    const std::uint32_t first = harness.attempts.begin()->first;
    harness.answer(first, Start + milliseconds(15));
    cr_assert_eq(harness.sentCount(), 10);
    for (std::uint32_t shard = 0; shard < 10; ++shard) {
        if (shard != first)
            harness.answer(shard, Start + milliseconds(30));
    }
    cr_assert(harness.finish->finishReason == FinishReason::Answered);
}

Test(FanoutQuery, endsProbeWhenItsConnectionIsLost)
{
    for (const std::uint32_t shards : { 1U, 10U }) {
        Harness harness(shards, 0.89, 3, true, {}, {}, true);
        harness.start();
        harness.loseConnection(harness.attempts.begin()->first, Start + milliseconds(1));
        cr_assert_eq(harness.sentCount(), 1);
        cr_assert(harness.finish->finishReason == FinishReason::Failed);
    }
}

Test(FanoutQuery, probesAnotherUpstreamAfterARefusal)
{
    Harness harness(10, 0.89, 2, true, {}, {}, true);
    harness.start();
    harness.fail(harness.attempts.begin()->first, RunState::NotRun, Start + milliseconds(1));
    cr_assert_eq(harness.sentCount(), 2);
    cr_assert(!harness.finish);
}

// Fault: a request that no connection could be opened for waited until its goal, or its deadline, to be refused.
Test(FanoutQuery, failsAtOnceWhatCannotBeConnectedTo)
{
    Harness harness(2, 1);
    harness.unreachable = { 0, 1, 2 };
    harness.start();
    cr_assert(!harness.finish.has_value(), "an upstream may still be discovered");
    harness.unreachedShards = { 0 };
    harness.apply(harness.query.onCapacity(0, Start + milliseconds(5)));
    cr_assert(harness.finish.has_value());
    cr_expect(harness.finish->finishReason == FinishReason::Failed);
}

Test(FanoutQuery, failsAtOnceWhenConnectionsBreakBeforeTheRequestIsWritten)
{
    Harness harness(1, 1);
    harness.start();
    harness.unreachable = { 0, 1, 2 };
    harness.unreachedShards = { 0 };
    harness.apply(harness.query.onFailed(
        harness.attempts[0].at(0).attempt, { RunState::NotRun, false, "broken" }, Start + milliseconds(5)));
    cr_assert(harness.finish.has_value());
    cr_expect(harness.finish->runState == RunState::NotRun);
}
