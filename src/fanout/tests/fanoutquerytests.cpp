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
    explicit Harness(
        std::uint32_t shards, double leastCoverage = 0.89, std::uint32_t mostAttempts = 2, bool isIdempotent = true)
        : query(
            { shards, Start + milliseconds(100), Start + milliseconds(800), leastCoverage, mostAttempts, isIdempotent },
            { [this](std::uint32_t shard, const std::vector<UpstreamId>& tried) { return choose(shard, tried); },
                [](std::uint32_t, UpstreamId) { return milliseconds(20); },
                [this](std::uint32_t, ExtraAttempt) { return extras-- > 0; }, [this] { return ++lastId; } })
    {
    }

    ReplicaSelector::Choice choose(std::uint32_t shard, const std::vector<UpstreamId>& tried) const
    {
        bool isBusy = false;
        for (UpstreamId id = 10 * shard; id < 10 * shard + 3; ++id) {
            if (std::ranges::find(tried, id) != tried.end() || dead.contains(id))
                continue;
            if (!busy.contains(id))
                return { ReplicaSelector::Outcome::Chosen, id };
            isBusy = true;
        }
        return { isBusy ? ReplicaSelector::Outcome::NoCapacity : ReplicaSelector::Outcome::NoneUsable, 0 };
    }

    void note(const std::vector<Action>& actions)
    {
        for (const Action& action : actions) {
            if (const auto* sent = std::get_if<SendAttempt>(&action))
                attempts[sent->shard].push_back(*sent);
            else if (const auto* dropped = std::get_if<DropAttempt>(&action))
                drops.insert(dropped->attempt);
            else if (const auto* finished = std::get_if<FinishFanout>(&action))
                finish = *finished;
        }
    }

    void start() { note(query.start(Start)); }
    void answer(std::uint32_t shard, base::TimePoint at, std::size_t attempt = 0)
    {
        note(query.onAnswered(attempts[shard].at(attempt).attempt, at));
    }

    void fail(std::uint32_t shard, RunState runState, base::TimePoint at, std::size_t attempt = 0)
    {
        note(query.onFailed(attempts[shard].at(attempt).attempt, { runState, true, "lost" }, at));
    }

    void failToConnect(std::uint32_t shard, base::TimePoint at, std::size_t attempt)
    {
        note(query.onFailed(attempts[shard].at(attempt).attempt, { RunState::NotRun, false, "refused" }, at));
    }

    int extras { 100 };
    std::uint64_t lastId { 0 };
    std::set<UpstreamId> busy;
    std::set<UpstreamId> dead;
    std::map<std::uint32_t, std::vector<SendAttempt>> attempts;
    std::set<AttemptId> drops;
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
    cr_assert(harness.finish->ending == Ending::Answered);
    cr_assert(harness.finish->missing.empty());
}

// Load pattern: one shard of ten pauses for 150 ms, and so does the upstream that is asked in its place.
Test(FanoutQuery, goesOutAtItsGoalWithoutTheStraggler)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 1; shard < 10; ++shard)
        harness.answer(shard, Start + milliseconds(15));
    cr_assert(harness.query.nextTimer() == Start + milliseconds(20));
    harness.note(harness.query.onTimer(Start + milliseconds(20)));
    cr_assert_eq(harness.attempts[0].size(), 2, "the straggler is hedged");
    cr_assert(harness.query.nextTimer() == Start + milliseconds(100));
    harness.note(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->ending == Ending::Answered);
    cr_assert_eq(harness.finish->missing.size(), 1);
    cr_assert_eq(harness.drops.size(), 2);
}

Test(FanoutQuery, waitsBeyondItsGoalForTheLeastCoverage)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 2; shard < 10; ++shard)
        harness.answer(shard, Start + milliseconds(15));
    harness.note(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(!harness.finish, "8 of 10 are less than 0.89");
    harness.answer(0, Start + milliseconds(160));
    cr_assert(harness.finish->ending == Ending::Answered);
    cr_assert_eq(harness.finish->answered, 9);
}

Test(FanoutQuery, hedgesAStragglerOnceAndTakesTheFirstAnswer)
{
    Harness harness(1, 1.0);
    harness.start();
    harness.note(harness.query.onTimer(Start + milliseconds(20)));
    harness.note(harness.query.onTimer(Start + milliseconds(60)));
    cr_assert_eq(harness.attempts[0].size(), 2, "two upstreams may run it");
    harness.answer(0, Start + milliseconds(70), 1);
    cr_assert(harness.finish->ending == Ending::Answered);
    cr_assert(harness.drops.contains(harness.attempts[0].at(0).attempt));
}

Test(FanoutQuery, doesNotHedgeWithoutABudget)
{
    Harness harness(1, 1.0);
    harness.extras = 0;
    harness.start();
    harness.note(harness.query.onTimer(Start + milliseconds(20)));
    cr_assert_eq(harness.attempts[0].size(), 1);
    cr_assert(harness.query.nextTimer() > Start + milliseconds(20), "it looks again later");
}

Test(FanoutQuery, runsANonIdempotentRequestAtMostOnce)
{
    Harness harness(1, 1.0, 2, false);
    harness.start();
    harness.note(harness.query.onTimer(Start + milliseconds(50)));
    cr_assert_eq(harness.attempts[0].size(), 1, "it is not hedged");
    harness.fail(0, RunState::NotRun, Start + milliseconds(60));
    cr_assert_eq(harness.attempts[0].size(), 2, "what has not run may be sent again");
    harness.fail(0, RunState::Unknown, Start + milliseconds(70), 1);
    cr_assert_eq(harness.attempts[0].size(), 2, "what may have run may not");
    cr_assert(harness.finish->ending == Ending::Failed);
    cr_assert(harness.finish->runState == RunState::Unknown);
}

Test(FanoutQuery, saysNotRunOnlyWhenEveryAttemptProvedIt)
{
    Harness harness(1, 1.0);
    harness.start();
    for (std::size_t attempt = 0; attempt < 3; ++attempt)
        harness.fail(0, RunState::NotRun, Start + milliseconds(10), attempt);
    cr_assert(harness.finish->ending == Ending::Failed);
    cr_assert(harness.finish->runState == RunState::NotRun);

    Harness other(2, 1.0);
    other.start();
    for (std::size_t attempt = 0; attempt < 3; ++attempt)
        other.fail(0, RunState::NotRun, Start + milliseconds(10), attempt);
    cr_assert(other.finish->ending == Ending::Failed, "shard 1 alone is not enough");
    cr_assert(other.finish->runState == RunState::Unknown, "its attempt is still at work");
}

Test(FanoutQuery, retriesOnlyAsOftenAsTheRouteAllows)
{
    Harness harness(1, 1.0, 2);
    harness.start();
    harness.fail(0, RunState::Run, Start + milliseconds(10));
    cr_assert_eq(harness.attempts[0].size(), 2);
    harness.fail(0, RunState::Run, Start + milliseconds(20), 1);
    cr_assert_eq(harness.attempts[0].size(), 2);
    cr_assert(harness.finish->ending == Ending::Failed);
}

Test(FanoutQuery, endsAtOnceWhenTheLeastCoverageIsOutOfReach)
{
    Harness harness(10);
    harness.extras = 0;
    harness.start();
    harness.fail(0, RunState::Run, Start + milliseconds(10));
    cr_assert(!harness.finish);
    harness.fail(1, RunState::Run, Start + milliseconds(10));
    cr_assert(harness.finish->ending == Ending::Failed, "it is not held until its deadline");
    cr_assert(harness.finish->runState == RunState::Unknown);
}

Test(FanoutQuery, startsAWaitingShardWhenThereIsRoom)
{
    Harness harness(2, 1.0);
    harness.busy = { 0, 1, 2 };
    harness.start();
    cr_assert(harness.attempts[0].empty());
    cr_assert(harness.query.isAwaitingRoom(0));
    harness.busy = { 0, 1 };
    harness.note(harness.query.onRoom(0, Start + milliseconds(5)));
    cr_assert_eq(harness.attempts[0].at(0).upstream, 2);
    cr_assert(!harness.query.isAwaitingRoom(0));
}

Test(FanoutQuery, endsWhenTheCallerHasGone)
{
    Harness harness(3);
    harness.start();
    harness.note(harness.query.abandon(Start + milliseconds(5)));
    cr_assert(harness.finish->ending == Ending::Abandoned);
    cr_assert_eq(harness.drops.size(), 3);
    cr_assert(harness.query.onTimer(Start + milliseconds(800)).empty());
}

Test(FanoutQuery, timesOutWithWhatItHas)
{
    Harness harness(10, 0.75);
    harness.start();
    harness.answer(0, Start + milliseconds(10));
    harness.note(harness.query.onTimer(Start + milliseconds(800)));
    cr_assert(harness.finish->ending == Ending::TimedOut);
    cr_assert(harness.finish->runState == RunState::Run);
}

// Load pattern: all VMs have lost power and are back. For some seconds upstreams accept a part of the connections only.
Test(FanoutQuery, waitsForAConnectionUntilItsGoal)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 8; ++shard)
        harness.answer(shard, Start + milliseconds(10));
    for (std::uint32_t shard = 8; shard < 10; ++shard) {
        harness.dead.insert({ 10 * shard, 10 * shard + 1, 10 * shard + 2 });
        harness.failToConnect(shard, Start + milliseconds(2), 0);
    }
    cr_assert(!harness.finish, "8 of 10 are too few, but two may still come");
    cr_assert(harness.query.nextTimer() == Start + milliseconds(100));
    harness.dead.clear();
    harness.note(harness.query.onRoom(8, Start + milliseconds(60)));
    cr_assert_eq(harness.attempts[8].back().upstream, 80, "the same upstream may be tried again");
    harness.answer(8, Start + milliseconds(70), harness.attempts[8].size() - 1);
    harness.note(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->ending == Ending::Answered);
    cr_assert_eq(harness.finish->answered, 9);
}

Test(FanoutQuery, doesNotHoldACallerBeyondItsGoalForAConnection)
{
    Harness harness(10);
    harness.start();
    for (std::uint32_t shard = 0; shard < 8; ++shard)
        harness.answer(shard, Start + milliseconds(10));
    for (std::uint32_t shard = 8; shard < 10; ++shard) {
        harness.dead.insert({ 10 * shard, 10 * shard + 1, 10 * shard + 2 });
        harness.failToConnect(shard, Start + milliseconds(12), 0);
    }
    harness.note(harness.query.onTimer(Start + milliseconds(100)));
    cr_assert(harness.finish->ending == Ending::Failed);
}
