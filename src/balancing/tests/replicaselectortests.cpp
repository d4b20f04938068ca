#include "balancing/replicaselector.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>
#include <set>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
constexpr base::Duration Typical = milliseconds(15);

// Three replicas of one shard: 0 in the local zone, 1 and 2 in other zones.
struct Harness {
    Harness()
    {
        selector.setUpstream(0, {}, {});
        selector.setUpstream(1, { milliseconds(2), 1 }, {});
        selector.setUpstream(2, { milliseconds(2), 1 }, {});
    }

    UpstreamId choose(base::TimePoint now, const std::vector<UpstreamId>& tried = {})
    {
        return selector.choose(candidates, tried, Typical, now).upstream;
    }

    void answer(UpstreamId upstream, base::TimePoint sentAt, base::Duration time)
    {
        selector.onSent(upstream, ++attempt, Typical, sentAt);
        selector.onAnswered(upstream, attempt, sentAt + time);
    }

    std::vector<UpstreamId> candidates { 0, 1, 2 };
    std::set<UpstreamId> busy;
    std::set<UpstreamId> unreachable;
    AttemptId attempt { 0 };
    ReplicaSelector selector { { [this](UpstreamId id) { return !busy.contains(id); },
        [this](UpstreamId id) { return !unreachable.contains(id); } } };
};

} // namespace

Test(ReplicaSelector, prefersTheLocalZone)
{
    Harness harness;
    cr_assert_eq(harness.choose(Start), 0);
    cr_assert_neq(harness.choose(Start, { 0 }), 0);
}

// Load pattern: equally fast replicas, whose answer times spread by a third and which pause for 150 ms each 3.6 s.
// Traffic between zones is billed.
Test(ReplicaSelector, staysInTheLocalZoneWhileAnswerTimesVary)
{
    Harness harness;
    for (UpstreamId distant : { 1U, 2U })
        harness.selector.setUpstream(distant, { milliseconds(2), 1.4 }, {});
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> timeMs(std::log(15), 0.35);
    std::bernoulli_distribution isPaused(150 / 3'600.0);
    constexpr int Requests = 1'000;
    int local = 0;
    for (int request = 0; request < Requests; ++request) {
        const base::TimePoint now = Start + request * milliseconds(300);
        const UpstreamId chosen = harness.choose(now);
        local += chosen == 0 ? 1 : 0;
        const double answerMs = timeMs(random) + (isPaused(random) ? 75 : 0);
        harness.answer(chosen, now, std::chrono::microseconds(std::lround(answerMs * 1'000)));
    }
    cr_assert_geq(local, Requests * 3 / 4, "%d of %d in the local zone", local, Requests);
}

Test(ReplicaSelector, distinguishesBusyFromUnreachable)
{
    Harness harness;
    harness.busy = { 0, 1, 2 };
    cr_assert(harness.selector.choose(harness.candidates, {}, Typical, Start).outcome
        == ReplicaSelector::Outcome::NoCapacity);
    harness.busy.clear();
    harness.unreachable = { 0, 1, 2 };
    cr_assert(harness.selector.choose(harness.candidates, {}, Typical, Start).outcome
        == ReplicaSelector::Outcome::NoneUsable);
}

// Load pattern: a replica pauses for 150 ms every few seconds.
Test(ReplicaSelector, avoidsAPausedReplicaAndReturnsToItSoonAfter)
{
    Harness harness;
    harness.selector.onSent(0, 99, Typical, Start);
    cr_assert_eq(harness.choose(Start + milliseconds(1), {}), 1, "a request in flight outweighs the latency penalty");
    cr_assert_neq(harness.choose(Start + milliseconds(60)), 0);
    harness.selector.onAnswered(0, 99, Start + milliseconds(150));
    cr_assert_eq(harness.choose(Start + milliseconds(6'000)), 0, "a single late answer decays");
}

// Load pattern: one replica of a shard is eight times slower for some seconds.
Test(ReplicaSelector, avoidsASlowReplicaAndRetriesItLater)
{
    Harness harness;
    for (int request = 0; request < 4; ++request)
        harness.answer(0, Start, 8 * Typical);
    cr_assert_gt(harness.selector.slowness(0, Start + milliseconds(120)), 2.5);
    cr_assert_neq(harness.choose(Start + milliseconds(150)), 0);
    cr_assert_eq(harness.choose(Start + milliseconds(12'000)), 0);
}

// Load pattern: replicas reject part of their requests while their health checks pass.
Test(ReplicaSelector, avoidsAReplicaThatRejectsRequests)
{
    Harness harness;
    harness.selector.onSent(0, 1, Typical, Start);
    harness.selector.onFailed(0, 1, Start + milliseconds(1));
    cr_assert_gt(harness.selector.failureRate(0, Start + milliseconds(1)), 0.2);
    cr_assert_neq(harness.choose(Start + milliseconds(2)), 0);
    for (int request = 0; request < 20; ++request)
        harness.answer(0, Start + milliseconds(100), Typical);
    cr_assert_eq(harness.choose(Start + milliseconds(200)), 0);
}

Test(ReplicaSelector, avoidsAReplicaThatWarmsUp)
{
    Harness harness;
    harness.selector.setUpstream(0, {}, Start + milliseconds(3'000));
    cr_assert_neq(harness.choose(Start), 0);
    cr_assert_eq(harness.choose(Start + milliseconds(3'000)), 0);
}

Test(ReplicaSelector, ignoresInconclusiveAttempts)
{
    Harness harness;
    harness.selector.onSent(0, 1, Typical, Start);
    harness.selector.onInconclusive(0, 1);
    cr_assert_eq(harness.selector.inFlight(0), 0);
    cr_assert_float_eq(harness.selector.slowness(0, Start), 1, 1e-9);
    harness.selector.onAnswered(0, 1, Start + milliseconds(1'000));
    cr_assert_float_eq(harness.selector.slowness(0, Start), 1, 1e-9);
}

// Load pattern: the requests are spread over 80 VMs, so one VM sends to each replica every two seconds; half of the
// replicas reject part of their requests for ten seconds.
Test(ReplicaSelector, retainsFailuresLongerWhenRequestsAreRare)
{
    const auto chosenAfterRefusal = [](base::Duration interval) {
        Harness harness;
        base::TimePoint now = Start;
        for (; now < Start + milliseconds(7'000); now += interval)
            harness.choose(now);
        harness.selector.onSent(0, 1, Typical, now);
        harness.selector.onFailed(0, 1, now);
        for (const base::TimePoint end = now + milliseconds(9'000); now < end; now += interval)
            harness.choose(now);
        return harness.choose(now);
    };
    cr_assert_eq(chosenAfterRefusal(milliseconds(50)), 0, "frequent requests: retried within seconds");
    cr_assert_neq(chosenAfterRefusal(milliseconds(700)), 0, "rare requests: the failure still counts");
}
