#include "query/query.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace flamingousher;
using namespace flamingousher::query;
using base::ErrorCode;
using base::RunState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { seconds(1000) };

// Drives one query with two replicas per shard: shard s has replicas 2s and 2s + 1.
class Harness {
public:
    explicit Harness(std::uint32_t shards, QuerySpec spec = {})
        : plan_(makePlan(42, shards))
        , query_(withDeadline(spec), hooks())
    {
    }

    static std::shared_ptr<const ShardPlan> makePlan(IndexVersion version, std::uint32_t shards)
    {
        ShardPlan plan { version, {} };
        for (std::uint32_t shard = 0; shard < shards; ++shard)
            plan.replicas.push_back({ 2 * shard, 2 * shard + 1 });
        return std::make_shared<const ShardPlan>(std::move(plan));
    }

    void start() { apply(query_.start(Start)); }

    void answer(const SendSubRequest& request, const std::string& hitId, base::TimePoint now = Start + milliseconds(1))
    {
        apply(query_.onAnswer(request.id, { request.target, { { hitId, "", 1.0 } } }, now));
    }

    void answerAll()
    {
        const std::vector<SendSubRequest> pending = std::exchange(sent_, {});
        for (const SendSubRequest& request : pending)
            answer(request, "hit-" + std::to_string(request.target.shard));
    }

    void fail(const SendSubRequest& request, ErrorCode code, base::TimePoint now = Start + milliseconds(1))
    {
        apply(query_.onFailure(request.id, { code, base::Step::Receive, "u", "", RunState::Unknown }, now));
    }

    void tick(base::TimePoint now) { apply(query_.onTimer(now)); }

    std::vector<SendSubRequest> sent_;
    std::vector<CancelSubRequest> cancelled_;
    std::optional<QueryOutcome> outcome_;
    std::shared_ptr<const ShardPlan> plan_;
    bool hasHedgeBudget_ { true };
    bool hasRetryBudget_ { true };
    bool hasAvailableReplica_ { true };
    bool isQuarantined_ { false };
    SubRequestId lastId_ { 0 };
    Query query_;

private:
    static QuerySpec withDeadline(QuerySpec spec)
    {
        spec.deadline = Start + milliseconds(86);
        return spec;
    }

    QueryHooks hooks()
    {
        return {
            [this] { return plan_; },
            [this](const std::vector<UpstreamId>& candidates) {
                return hasAvailableReplica_ ? std::optional(candidates.front()) : std::nullopt;
            },
            [] { return milliseconds(10); },
            [this] { return hasHedgeBudget_; },
            [this] { return hasRetryBudget_; },
            [this] { return isQuarantined_; },
            [this] { return ++lastId_; },
        };
    }

    void apply(const std::vector<Action>& actions)
    {
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendSubRequest>(&action))
                sent_.push_back(*send);
            else if (const auto* cancel = std::get_if<CancelSubRequest>(&action))
                cancelled_.push_back(*cancel);
            else
                outcome_ = std::get<FinishQuery>(action).outcome;
        }
    }
};

} // namespace

Test(Query, mergesAnswersOfAllShards)
{
    Harness harness(75);
    harness.start();
    cr_expect_eq(harness.sent_.size(), 75u);
    harness.answerAll();
    cr_assert(harness.outcome_.has_value());
    cr_expect_not(harness.outcome_->error.has_value());
    cr_expect_not(harness.outcome_->isPartial());
    cr_expect_eq(harness.outcome_->version, 42u);
    cr_expect_eq(harness.outcome_->hits.size(), 10u);
}

Test(Query, reportsMissingShardsAtDeadline)
{
    Harness harness(3, { .minCoverage = 0.5 });
    harness.hasHedgeBudget_ = false;
    harness.start();
    harness.answer(harness.sent_[0], "a");
    harness.answer(harness.sent_[2], "c");
    harness.tick(Start + milliseconds(86));
    cr_assert(harness.outcome_.has_value());
    cr_expect_not(harness.outcome_->error.has_value());
    cr_assert_eq(harness.outcome_->missing.size(), 1u);
    cr_expect_eq(harness.outcome_->missing[0].shard, 1u);
    cr_expect_eq(harness.outcome_->missing[0].reason.code, ErrorCode::DeadlineExceeded);
    cr_expect_eq(harness.cancelled_.size(), 1u, "the slow sub-request is cancelled");
}

Test(Query, failsBelowMinCoverage)
{
    Harness harness(4, { .minCoverage = 0.75 });
    harness.hasHedgeBudget_ = false;
    harness.start();
    harness.answer(harness.sent_[0], "a");
    harness.tick(Start + milliseconds(86));
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->error->code, ErrorCode::CoverageTooLow);
    cr_expect_eq(harness.outcome_->error->runState, RunState::Run);
    cr_expect(harness.outcome_->hits.empty());
}

Test(Query, stopsEarlyWhenMinCoverageIsUnreachable)
{
    Harness harness(4, { .minCoverage = 0.75 });
    harness.hasRetryBudget_ = false;
    harness.start();
    harness.fail(harness.sent_[0], ErrorCode::ConnectionLost);
    cr_expect_not(harness.outcome_.has_value());
    harness.fail(harness.sent_[1], ErrorCode::ConnectionLost);
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.cancelled_.size(), 2u);
}

Test(Query, reportsNotRunWhenNothingWasSent)
{
    Harness harness(4);
    harness.hasAvailableReplica_ = false;
    harness.start();
    cr_assert(harness.outcome_.has_value());
    cr_expect(harness.sent_.empty());
    cr_expect_eq(harness.outcome_->error->runState, RunState::NotRun);
}

Test(Query, hedgesSlowShardAndCancelsLoser)
{
    Harness harness(2);
    harness.start();
    harness.answer(harness.sent_[0], "a");
    harness.tick(Start + milliseconds(10));
    cr_assert_eq(harness.sent_.size(), 3u);
    cr_expect(harness.sent_[2].isHedge);
    cr_expect_neq(harness.sent_[2].upstream, harness.sent_[1].upstream);
    harness.tick(Start + milliseconds(20));
    cr_expect_eq(harness.sent_.size(), 3u, "no replica is left to hedge to");
    harness.answer(harness.sent_[2], "b");
    cr_assert_eq(harness.cancelled_.size(), 1u);
    cr_expect_eq(harness.cancelled_[0].id, harness.sent_[1].id);
    cr_expect_not(harness.outcome_->isPartial());
}

Test(Query, dropsLateAndDuplicatedAnswers)
{
    Harness harness(2);
    harness.start();
    const SendSubRequest first = harness.sent_[0];
    harness.answer(first, "a");
    harness.answer(first, "a");
    cr_expect_eq(harness.query_.unmatchedCount(), 1u);
    cr_expect_not(harness.outcome_.has_value(), "a duplicate does not count as the answer of another shard");
}

Test(Query, rejectsAnswerOfAnotherVersionOrPartitioning)
{
    Harness harness(2, { .allowsPartial = true });
    harness.hasRetryBudget_ = false;
    harness.start();
    SubAnswer wrongVersion { { 43, 0, 2 }, { { "x", "", 9 } } };
    harness.query_.onAnswer(harness.sent_[0].id, wrongVersion, Start);
    harness.answer(harness.sent_[1], "b");
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->missing.size(), 1u);
    cr_expect_eq(harness.outcome_->hits.size(), 1u);
    cr_expect_eq(harness.outcome_->hits[0].id, "b");
}

Test(Query, retriesAnotherReplicaWithinBudget)
{
    Harness harness(1);
    harness.start();
    harness.fail(harness.sent_[0], ErrorCode::ConnectionLost);
    cr_assert_eq(harness.sent_.size(), 2u);
    cr_expect_neq(harness.sent_[1].upstream, harness.sent_[0].upstream);
    harness.answer(harness.sent_[1], "a");
    cr_expect_eq(harness.outcome_->retries, 1u);
}

Test(Query, retriesUnreachableUpstreamWithoutBudget)
{
    Harness harness(1);
    harness.hasRetryBudget_ = false;
    harness.start();
    const base::Error refused { ErrorCode::Unreachable, base::Step::Connect, "u", "", RunState::NotRun };
    const auto actions = harness.query_.onFailure(harness.sent_[0].id, refused, Start);
    cr_assert_eq(actions.size(), 1u);
    cr_expect(std::holds_alternative<SendSubRequest>(actions[0]));
}

Test(Query, restartsOnNewerVersionWhenItsVersionIsNoLongerServed)
{
    Harness harness(2);
    harness.start();
    harness.answer(harness.sent_[0], "old");
    harness.plan_ = Harness::makePlan(43, 3);
    harness.fail(harness.sent_[1], ErrorCode::VersionNotServed);
    harness.fail(harness.sent_[2], ErrorCode::VersionNotServed);
    cr_assert_eq(harness.sent_.size(), 6u);
    harness.sent_.erase(harness.sent_.begin(), harness.sent_.begin() + 3);
    harness.answerAll();
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->version, 43u);
    cr_expect_eq(harness.outcome_->shardsQueried, 3u);
    cr_expect(std::ranges::none_of(harness.outcome_->hits, [](const Hit& hit) { return hit.id == "old"; }));
}

Test(Query, sendsCanaryToOneShardFirst)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    cr_assert_eq(harness.sent_.size(), 1u);
    harness.answer(harness.sent_[0], "a");
    cr_expect_eq(harness.sent_.size(), 75u);
}

Test(Query, hedgesAgainWhenHedgeIsSlow)
{
    Harness harness(1);
    harness.plan_ = std::make_shared<const ShardPlan>(ShardPlan { 42, { { 0, 1, 2, 3 } } });
    harness.start();
    harness.tick(Start + milliseconds(10));
    cr_expect_eq(harness.sent_.size(), 2u);
    cr_expect_eq(harness.query_.nextTimer(), Start + milliseconds(20));
    harness.tick(Start + milliseconds(19));
    cr_expect_eq(harness.sent_.size(), 2u);
    harness.tick(Start + milliseconds(20));
    cr_expect_eq(harness.sent_.size(), 3u);
    harness.tick(Start + milliseconds(30));
    cr_expect_eq(harness.sent_.size(), 3u, "two hedges are the limit");
    harness.answer(harness.sent_[2], "a", Start + milliseconds(31));
    cr_expect_eq(harness.cancelled_.size(), 2u);
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->hedges, 2u);
}

Test(Query, schedulesTimerForCanaryHedge)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    cr_expect_eq(harness.query_.nextTimer(), Start + milliseconds(20));
}

Test(Query, hedgesSlowCanary)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    harness.tick(Start + milliseconds(20));
    cr_assert_eq(harness.sent_.size(), 2u, "the canary is hedged to another replica");
    cr_expect_eq(harness.sent_[1].target.shard, harness.sent_[0].target.shard);
    harness.answer(harness.sent_[1], "a", Start + milliseconds(22));
    cr_expect_geq(harness.sent_.size(), 76u, "the other shards are sent once one canary has been answered");
}

// A crash of the canary's upstream is detected only when its connection is seen to close, late on a busy machine.
Test(Query, crashesAtMostTwoUpstreamsWhenCrashIsDetectedLate)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    for (int tick = 1; tick <= 4; ++tick)
        harness.tick(Start + milliseconds(20 * tick));
    cr_assert_eq(harness.sent_.size(), 2u);
    harness.fail(harness.sent_[0], ErrorCode::UpstreamCrashed);
    harness.fail(harness.sent_[1], ErrorCode::UpstreamCrashed);
    cr_expect_eq(harness.sent_.size(), 2u);
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->error->code, ErrorCode::UpstreamCrashed);
}

// Load pattern: the same request, sent by other VMs, has just crashed all replicas of the canary's shard.
Test(Query, sendsAnotherCanaryWhenNoReplicaIsReachable)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    harness.fail(harness.sent_[0], ErrorCode::Unreachable);
    harness.fail(harness.sent_[1], ErrorCode::Unreachable);
    cr_assert_eq(harness.sent_.size(), 3u, "one canary, not all shards");
    cr_expect_neq(harness.sent_[2].target.shard, harness.sent_[0].target.shard);
    harness.answer(harness.sent_[2], "a");
    cr_expect_eq(harness.sent_.size(), 76u);
}

Test(Query, stopsWhenCanaryCrashesUpstreams)
{
    Harness harness(75, { .needsCanary = true });
    harness.start();
    harness.fail(harness.sent_[0], ErrorCode::UpstreamCrashed);
    cr_assert_eq(harness.sent_.size(), 2u, "another replica may show that the request is harmless");
    harness.isQuarantined_ = true;
    harness.fail(harness.sent_[1], ErrorCode::UpstreamCrashed);
    cr_expect_eq(harness.sent_.size(), 2u);
    cr_expect_eq(harness.outcome_->error->code, ErrorCode::Quarantined);
    cr_expect(harness.cancelled_.empty(), "nothing else has been sent");
}

Test(Query, doesNotSendOtherShardsWhenCanaryCrashesWithoutRetryBudget)
{
    Harness harness(75, { .needsCanary = true });
    harness.hasRetryBudget_ = false;
    harness.start();
    harness.fail(harness.sent_[0], ErrorCode::UpstreamCrashed);
    cr_expect_eq(harness.sent_.size(), 2u);
    harness.fail(harness.sent_[1], ErrorCode::UpstreamCrashed);
    cr_expect_eq(harness.sent_.size(), 2u, "both replicas of the shard have crashed");
    cr_assert(harness.outcome_.has_value());
    cr_expect_eq(harness.outcome_->error->code, ErrorCode::UpstreamCrashed);
}

Test(Query, cancelsAllSubRequestsWhenCallerDisconnects)
{
    Harness harness(5);
    harness.start();
    for (const Action& action : harness.query_.abandon(Start)) {
        if (const auto* cancel = std::get_if<CancelSubRequest>(&action))
            harness.cancelled_.push_back(*cancel);
    }
    cr_expect_eq(harness.cancelled_.size(), 5u);
    cr_expect(harness.query_.isFinished());
}
