#include "quarantine/quarantine.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
constexpr Fingerprint Crashing = 1;

// Sends the request and lets its upstream end.
void crash(Quarantine& quarantine, base::TimePoint at, const std::string& upstream = "u")
{
    quarantine.onCrash(Crashing, quarantine.crashes(Crashing), upstream, at);
}

void quarantineRequest(Quarantine& quarantine)
{
    for (int second = 0; second < 3; ++second)
        crash(quarantine, Start + seconds(second));
}

} // namespace

Test(Quarantine, startsAtTheCrashThreshold)
{
    Quarantine quarantine({});
    cr_expect_eq(quarantine.verdict(Crashing, Start), Verdict::Unsuspected);
    crash(quarantine, Start);
    crash(quarantine, Start + seconds(1));
    cr_expect_eq(quarantine.verdict(Crashing, Start + seconds(1)), Verdict::Suspected);
    crash(quarantine, Start + seconds(2));
    cr_expect_eq(quarantine.verdict(Crashing, Start + seconds(2)), Verdict::Quarantined);
    Quarantine strict({ .threshold = 2 });
    crash(strict, Start);
    crash(strict, Start + seconds(1));
    cr_expect(strict.isQuarantined(Crashing, Start + seconds(1)));
}

// Attempts over many shards, retries that were sent before the crash was known, and other requests in progress.
Test(Quarantine, countsAttemptsInProgressTogetherOnce)
{
    Quarantine quarantine({});
    for (int upstream = 0; upstream < 90; ++upstream)
        quarantine.onCrash(Crashing, 0, "u" + std::to_string(upstream), Start + milliseconds(upstream));
    cr_expect_eq(quarantine.verdict(Crashing, Start + seconds(1)), Verdict::Suspected);
    cr_expect_eq(quarantine.crashes(Crashing), 1u);
}

// A power loss, during which innocent requests are in progress at each of the upstreams, also told by other nodes.
Test(Quarantine, refusesNoRequestAfterAMassFailure)
{
    Quarantine quarantine({});
    Quarantine other({});
    for (int upstream = 0; upstream < 30; ++upstream) {
        for (Fingerprint innocent = 1; innocent <= 3; ++innocent) {
            const base::TimePoint at = Start + milliseconds(upstream);
            quarantine.onCrash(innocent, 0, "u" + std::to_string(upstream), at);
            if (const auto record = other.onCrash(innocent, 0, "u" + std::to_string(upstream), at))
                quarantine.merge(*record, at);
        }
    }
    for (Fingerprint innocent = 1; innocent <= 3; ++innocent) {
        cr_expect_eq(quarantine.verdict(innocent, Start + seconds(1)), Verdict::Suspected);
        cr_expect(quarantine.beginProbe(innocent, Start + seconds(1), Start + seconds(2)));
        quarantine.onAnswered(innocent, Start + seconds(1));
        cr_expect_eq(quarantine.verdict(innocent, Start + seconds(1)), Verdict::Unsuspected);
    }
    cr_expect_eq(quarantine.suspectedCount(), 0u);
}

Test(Quarantine, countsCrashesOfAllNodes)
{
    std::vector<Quarantine> nodes(4, Quarantine({}));
    for (int round = 0; round < 3; ++round) {
        const base::TimePoint at = Start + seconds(5 * round);
        const auto record = nodes[round].onCrash(Crashing, nodes[round].crashes(Crashing), "u", at);
        cr_assert(record.has_value());
        for (Quarantine& node : nodes)
            node.merge(*record, at);
    }
    for (Quarantine& node : nodes)
        cr_expect(node.isQuarantined(Crashing, Start + seconds(11)));
}

Test(Quarantine, endsInAProbeAndForgetsLater)
{
    Quarantine quarantine({});
    quarantineRequest(quarantine);
    const base::TimePoint lastCrash = Start + seconds(2);
    cr_expect(quarantine.isQuarantined(Crashing, lastCrash + minutes(9)));
    cr_expect_eq(quarantine.verdict(Crashing, lastCrash + minutes(10)), Verdict::Suspected);
    cr_expect(quarantine.beginProbe(Crashing, lastCrash + minutes(10), lastCrash + minutes(11)));
    crash(quarantine, lastCrash + minutes(10));
    cr_expect(quarantine.isQuarantined(Crashing, lastCrash + minutes(19)), "one more crash is enough");
    cr_expect_eq(quarantine.verdict(Crashing, lastCrash + minutes(71)), Verdict::Unsuspected);
    cr_expect_eq(quarantine.suspectedCount(), 0u);
}

Test(Quarantine, clearsARequestAfterAResponse)
{
    Quarantine quarantine({});
    crash(quarantine, Start);
    crash(quarantine, Start + seconds(1));
    const auto cleared = quarantine.onAnswered(Crashing, Start + seconds(2));
    cr_assert(cleared.has_value(), "other nodes have to learn of it");
    cr_expect_not(quarantine.onAnswered(Crashing, Start + seconds(2)).has_value());
    crash(quarantine, Start + seconds(5));
    cr_expect_eq(quarantine.crashes(Crashing), 1u);
    Quarantine other({});
    other.onCrash(Crashing, 0, "u", Start);
    other.merge(*cleared, Start + seconds(2));
    cr_expect_eq(other.verdict(Crashing, Start + seconds(2)), Verdict::Unsuspected);
}

Test(Quarantine, countsCrashOfAttemptSentBeforeAResponseOnce)
{
    Quarantine quarantine({});
    crash(quarantine, Start);
    crash(quarantine, Start + seconds(1));
    const std::uint32_t whenSent = quarantine.crashes(Crashing);
    quarantine.onAnswered(Crashing, Start + seconds(2));
    quarantine.onCrash(Crashing, whenSent, "u", Start + seconds(2));
    cr_expect_eq(quarantine.crashes(Crashing), 1u);
}

Test(Quarantine, ignoresOlderRecords)
{
    Quarantine quarantine({});
    quarantineRequest(quarantine);
    quarantine.merge({ Crashing, 1, 1, "u" }, Start + seconds(3));
    quarantine.merge({ Crashing, 3, 0, {} }, Start + seconds(3));
    cr_expect(quarantine.isQuarantined(Crashing, Start + seconds(3)));
}

Test(Quarantine, allowsOneProbeAtATime)
{
    Quarantine quarantine({});
    crash(quarantine, Start);
    cr_expect(quarantine.beginProbe(Crashing, Start, Start + seconds(1)), "the first crash may have another cause");
    cr_expect_not(quarantine.beginProbe(Crashing, Start, Start + seconds(1)));
    cr_expect_gt(quarantine.retryAfter(Crashing, Start).count(), 0);
    quarantine.endProbe(Crashing, Start);
    cr_expect_not(quarantine.beginProbe(Crashing, Start + milliseconds(50), Start + seconds(2)),
        "the crash of its upstream may not be noticed yet");
    crash(quarantine, Start);
    cr_expect_not(quarantine.beginProbe(Crashing, Start + milliseconds(900), Start + seconds(2)));
    cr_expect(quarantine.retryAfter(Crashing, Start + milliseconds(500)) == milliseconds(500));
    cr_expect(quarantine.beginProbe(Crashing, Start + seconds(1), Start + seconds(2)));
}

Test(Quarantine, namesTheEndOfTheQuarantine)
{
    Quarantine quarantine({});
    quarantineRequest(quarantine);
    cr_expect(quarantine.retryAfter(Crashing, Start + minutes(2) + seconds(2)) == minutes(8));
    cr_expect_not(quarantine.beginProbe(Crashing, Start + minutes(2), Start + minutes(3)));
}

Test(Quarantine, isBounded)
{
    Quarantine quarantine({ .capacity = 10, .knownSafeCapacity = 10 });
    for (Fingerprint fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        quarantine.onCrash(fingerprint, 0, "u", Start + seconds(5 * fingerprint));
        quarantine.onAnswered(fingerprint + 1000, Start);
    }
    cr_expect_leq(quarantine.suspectedCount(), 10u);
    cr_expect(quarantine.isKnownSafe(1100));
    cr_expect_not(quarantine.isKnownSafe(1001));
}

Test(Quarantine, revokesKnownSafeStatusAfterACrash)
{
    Quarantine quarantine({});
    quarantine.onAnswered(Crashing, Start);
    cr_expect(quarantine.isKnownSafe(Crashing));
    crash(quarantine, Start);
    cr_expect_not(quarantine.isKnownSafe(Crashing));
}
