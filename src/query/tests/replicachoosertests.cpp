#include "query/extraattemptbudget.h"
#include "query/latencyestimate.h"
#include "query/replicachooser.h"

#include <criterion/criterion.h>

#include <random>

using namespace flamingousher;
using namespace flamingousher::query;
using base::Rank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { seconds(1000) };

class Chooser {
public:
    explicit Chooser(std::uint64_t seed)
        : random_(seed)
        , chooser_({ [this](std::size_t bound) { return random_() % bound; }, [](UpstreamId) { return 1.0; } })
    {
    }

    ReplicaChooser& operator*() { return chooser_; }

    int countChoices(UpstreamId upstream, const std::vector<UpstreamId>& candidates, base::TimePoint now)
    {
        int count = 0;
        for (int round = 0; round < 100; ++round)
            count += chooser_.choose(candidates, Rank::Urgent, now) == upstream ? 1 : 0;
        return count;
    }

private:
    std::mt19937_64 random_;
    ReplicaChooser chooser_;
};

void observe(ReplicaChooser& chooser, UpstreamId upstream, milliseconds total, milliseconds queued = milliseconds(0))
{
    for (int round = 0; round < 60; ++round) {
        chooser.onSent(upstream, Rank::Urgent);
        chooser.onAnswered(upstream, Rank::Urgent, queued, total);
    }
}

void failThreeTimes(ReplicaChooser& chooser, UpstreamId upstream)
{
    for (int round = 0; round < 3; ++round) {
        chooser.onSent(upstream, Rank::Urgent);
        chooser.onFailed(upstream, Rank::Urgent, Start);
    }
}

} // namespace

Test(ReplicaChooser, avoidsSlowReplica)
{
    Chooser chooser(1);
    observe(*chooser, 0, milliseconds(100));
    observe(*chooser, 1, milliseconds(5));
    observe(*chooser, 2, milliseconds(5));
    cr_expect_leq(chooser.countChoices(0, { 0, 1, 2 }, Start), 25);
}

Test(ReplicaChooser, avoidsReplicaWithWorkInFlight)
{
    Chooser chooser(2);
    for (int round = 0; round < 10; ++round)
        (*chooser).onSent(0, Rank::Urgent);
    cr_expect_leq(chooser.countChoices(0, { 0, 1 }, Start), 40);
}

Test(ReplicaChooser, ignoresWorkInFlightOfAnotherRank)
{
    Chooser chooser(2);
    for (int round = 0; round < 10; ++round)
        (*chooser).onSent(0, Rank::Background);
    cr_expect_geq(chooser.countChoices(0, { 0, 1 }, Start), 30);
}

Test(ReplicaChooser, ignoresWaitForSlot)
{
    Chooser chooser(8);
    observe(*chooser, 0, milliseconds(104), milliseconds(100));
    observe(*chooser, 1, milliseconds(4));
    cr_expect_geq(chooser.countChoices(0, { 0, 1 }, Start), 30);
}

Test(ReplicaChooser, doesNotEjectForCancelWithinUsualResponseTime)
{
    Chooser chooser(9);
    observe(*chooser, 0, milliseconds(54), milliseconds(50));
    for (int round = 0; round < 10; ++round) {
        (*chooser).onSent(0, Rank::Urgent);
        (*chooser).onCancelled(0, Rank::Urgent, milliseconds(60), Start);
    }
    cr_expect_not((*chooser).isEjected(0, Start));
}

Test(ReplicaChooser, ejectsAfterRepeatedFailuresAndReadmitsLater)
{
    Chooser chooser(3);
    failThreeTimes(*chooser, 0);
    cr_expect((*chooser).isEjected(0, Start));
    cr_expect_eq(chooser.countChoices(0, { 0, 1, 2 }, Start), 0);
    cr_expect_gt(chooser.countChoices(0, { 0, 1, 2 }, Start + seconds(2)), 0);
}

Test(ReplicaChooser, ejectsUnresponsiveReplicaAfterLateCancels)
{
    Chooser chooser(6);
    observe(*chooser, 0, milliseconds(5));
    for (int round = 0; round < 3; ++round) {
        (*chooser).onSent(0, Rank::Urgent);
        (*chooser).onCancelled(0, Rank::Urgent, milliseconds(86), Start);
    }
    cr_expect((*chooser).isEjected(0, Start));
}

Test(ReplicaChooser, doesNotEjectForEarlyCancel)
{
    Chooser chooser(7);
    observe(*chooser, 0, milliseconds(5));
    for (int round = 0; round < 10; ++round) {
        (*chooser).onSent(0, Rank::Urgent);
        (*chooser).onCancelled(0, Rank::Urgent, milliseconds(8), Start);
    }
    cr_expect_not((*chooser).isEjected(0, Start));
}

Test(ReplicaChooser, ejectsOnFailuresButNotOnRefusals)
{
    const auto isEjectedBy = [](base::ErrorCode code, base::Step step) {
        Chooser chooser(10);
        for (int round = 0; round < 3; ++round) {
            (*chooser).onSent(0, Rank::Urgent);
            (*chooser).onError(0, Rank::Urgent, { code, step, "u", "" }, Start);
        }
        return (*chooser).isEjected(0, Start);
    };
    cr_expect(isEjectedBy(base::ErrorCode::ConnectionLost, base::Step::Receive));
    cr_expect(isEjectedBy(base::ErrorCode::DeadlineExceeded, base::Step::Receive));
    cr_expect_not(isEjectedBy(base::ErrorCode::DeadlineExceeded, base::Step::Queue));
    cr_expect_not(isEjectedBy(base::ErrorCode::Overloaded, base::Step::Queue));
    cr_expect_not(isEjectedBy(base::ErrorCode::Draining, base::Step::Receive));
}

Test(ReplicaChooser, ignoresEjectionOfMostReplicas)
{
    Chooser chooser(4);
    failThreeTimes(*chooser, 0);
    failThreeTimes(*chooser, 1);
    cr_expect_gt(chooser.countChoices(0, { 0, 1, 2 }, Start), 0);
}

Test(ReplicaChooser, neverChoosesDrainingReplica)
{
    Chooser chooser(5);
    (*chooser).setDraining(0, true);
    cr_expect_eq(chooser.countChoices(0, { 0, 1 }, Start), 0);
    cr_expect_not((*chooser).choose({ 0 }, Rank::Urgent, Start).has_value());
}

Test(ExtraAttemptBudget, allowsFractionOfFirstAttempts)
{
    ExtraAttemptBudget budget(0.05);
    int taken = 0;
    for (int attempt = 0; attempt < 10'000; ++attempt) {
        budget.onFirstAttempt();
        taken += budget.tryAcquire(Start) ? 1 : 0;
    }
    cr_expect_leq(taken, 500);
    cr_expect_geq(taken, 490);
}

Test(ExtraAttemptBudget, grantsNothingWhileUpstreamsShed)
{
    ExtraAttemptBudget budget(0.05);
    for (int attempt = 0; attempt < 100; ++attempt)
        budget.onFirstAttempt();
    budget.onShed(Start);
    for (int attempt = 0; attempt < 100; ++attempt)
        budget.onFirstAttempt();
    cr_expect_not(budget.tryAcquire(Start + milliseconds(999)));
    cr_expect(budget.tryAcquire(Start + milliseconds(1000)));
}

Test(LatencyEstimate, estimatesQuantileWithinOneBin)
{
    LatencyEstimate estimate(milliseconds(20));
    cr_expect(estimate.quantile(0.95) == milliseconds(20));
    for (int value = 1; value <= 1000; ++value)
        estimate.observe(milliseconds(value % 100 + 1));
    const double estimated = base::toMilliseconds(estimate.quantile(0.95));
    cr_expect_geq(estimated, 95.0);
    cr_expect_leq(estimated, 120.0);
}
