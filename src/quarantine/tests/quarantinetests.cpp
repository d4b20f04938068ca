#include "quarantine/quarantine.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::quarantine;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
constexpr Fingerprint Poison = 1;

} // namespace

Test(Quarantine, startsAtTheCrashThreshold)
{
    Quarantine quarantine({});
    quarantine.onCrash(Poison, "u0", Start);
    cr_expect_not(quarantine.isQuarantined(Poison, Start));
    quarantine.onCrash(Poison, "u1", Start + seconds(5));
    cr_expect(quarantine.isQuarantined(Poison, Start + seconds(5)));
}

Test(Quarantine, countsEachUpstreamOnce)
{
    Quarantine quarantine({});
    quarantine.onCrash(Poison, "u0", Start);
    quarantine.onCrash(Poison, "u0", Start + seconds(5));
    cr_expect_not(quarantine.isQuarantined(Poison, Start + seconds(5)));
}

Test(Quarantine, endsAfterTheRetentionTime)
{
    Quarantine quarantine({});
    quarantine.onCrash(Poison, "u0", Start);
    quarantine.onCrash(Poison, "u1", Start);
    cr_expect(quarantine.isQuarantined(Poison, Start + minutes(9)));
    cr_expect_not(quarantine.isQuarantined(Poison, Start + minutes(10)));
    cr_expect_eq(quarantine.evidenceCount(), 0u);
}

Test(Quarantine, ignoresCrashesDuringAMassFailure)
{
    Quarantine quarantine({});
    for (int upstream = 0; upstream < 30; ++upstream) {
        for (Fingerprint innocent = 1; innocent <= 3; ++innocent)
            quarantine.onCrash(innocent, "u" + std::to_string(upstream), Start + std::chrono::milliseconds(upstream));
    }
    for (Fingerprint innocent = 1; innocent <= 3; ++innocent)
        cr_expect_not(quarantine.isQuarantined(innocent, Start + seconds(1)));
    cr_expect_eq(quarantine.evidenceCount(), 0u);
}

Test(Quarantine, clearsARequestAfterAResponse)
{
    Quarantine quarantine({});
    quarantine.onCrash(Poison, "u0", Start);
    quarantine.onAnswered(Poison);
    quarantine.onCrash(Poison, "u1", Start + seconds(5));
    cr_expect_not(quarantine.isQuarantined(Poison, Start + seconds(5)));
}

Test(Quarantine, isBounded)
{
    Quarantine quarantine({ .capacity = 10, .knownSafeCapacity = 10 });
    for (Fingerprint fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        quarantine.onCrash(fingerprint, "u", Start + seconds(5 * fingerprint));
        quarantine.onAnswered(fingerprint + 1000);
    }
    cr_expect_leq(quarantine.evidenceCount(), 10u);
    cr_expect(quarantine.isKnownSafe(1100));
    cr_expect_not(quarantine.isKnownSafe(1001));
}

Test(Quarantine, revokesKnownSafeStatusAfterACrash)
{
    Quarantine quarantine({});
    quarantine.onAnswered(Poison);
    cr_expect(quarantine.isKnownSafe(Poison));
    quarantine.onCrash(Poison, "u0", Start);
    cr_expect_not(quarantine.isKnownSafe(Poison));
}
