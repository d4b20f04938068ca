#include "balancing/upstreampacer.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher;
using namespace flamingousher::balancing;

namespace {

constexpr base::TimePoint Start { std::chrono::seconds(100) };

// Sends whenever it is allowed, tried each millisecond, and returns the number of requests sent.
int sendAll(UpstreamPacer& pacer, base::TimePoint from, std::chrono::milliseconds duration)
{
    int sent = 0;
    for (base::TimePoint now = from; now < from + duration; now += std::chrono::milliseconds(1)) {
        while (sent < 1'000'000 && pacer.allows(now)) {
            pacer.onSent(now);
            ++sent;
        }
    }
    return sent;
}

} // namespace

Test(UpstreamPacer, isUnlimitedWithoutNotice)
{
    UpstreamPacer pacer;
    cr_expect(pacer.allows(Start));
    pacer.onResponse({ 10 }, Start);
    pacer.onResponse({}, Start);
    for (int request = 0; request < 100; ++request)
        pacer.onSent(Start);
    cr_expect(pacer.allows(Start));
    cr_expect(!pacer.rate().has_value());
    cr_expect_eq(pacer.waitTime(Start).count(), 0);
}

// Load pattern: nine VMs under more load than the upstream takes, in any 4 s.
Test(UpstreamPacer, keepsAllVmsWithinLimit)
{
    for (const std::size_t vms : { 1U, 9U, 40U }) {
        for (const double limit : { 0.0, 1.0, 30.0, 500.0 }) {
            if (static_cast<double>(vms) > 2 * limit + 5)
                continue; // bursts of one request of each VM exceed the limit
            UpstreamPacer pacer;
            pacer.setShare(1.0 / static_cast<double>(vms), Start);
            pacer.onResponse({ limit }, Start);
            int most = 0;
            for (int second = 0; second < 40; second += 4)
                most = std::max(most, sendAll(pacer, Start + std::chrono::seconds(second), std::chrono::seconds(4)));
            const double allowed = 1.5 * 4 * limit + 5;
            cr_expect_leq(most * static_cast<double>(vms), allowed, "%zu VMs, limit %.0f: %d each", vms, limit, most);
        }
    }
}

Test(UpstreamPacer, usesItsShareOfTheLimit)
{
    UpstreamPacer pacer;
    pacer.setShare(0.1, Start);
    pacer.onResponse({ 50 }, Start);
    cr_expect_eq(*pacer.rate(), 5);
    const int sent = sendAll(pacer, Start, std::chrono::seconds(10));
    cr_expect_geq(sent, 49);
    cr_expect_leq(sent, 51);
}

Test(UpstreamPacer, tellsWhenTheNextRequestIsAllowed)
{
    UpstreamPacer pacer;
    pacer.setShare(0.5, Start);
    pacer.onResponse({ 4 }, Start);
    pacer.onSent(Start);
    cr_expect(!pacer.allows(Start));
    const base::Duration wait = pacer.waitTime(Start);
    cr_expect(wait == std::chrono::milliseconds(500));
    cr_expect(!pacer.allows(Start + wait - std::chrono::milliseconds(1)));
    cr_expect(pacer.allows(Start + wait));
}

// Each response names the limit, so a repeated or a changed one must not allow a new burst.
Test(UpstreamPacer, allowsNoBurstWhenLimitIsNamedAgain)
{
    UpstreamPacer pacer;
    pacer.onResponse({ 40 }, Start);
    int sent = 0;
    for (int response = 0; response < 100; ++response) {
        sent += sendAll(pacer, Start, std::chrono::milliseconds(1));
        pacer.onResponse({ response % 2 == 0 ? 40.0 : 41.0 }, Start);
    }
    cr_expect_leq(sent, 11);
}

Test(UpstreamPacer, stillSendsAtTheLowestLimits)
{
    UpstreamPacer pacer;
    pacer.onResponse({ 0 }, Start);
    cr_expect_geq(sendAll(pacer, Start, std::chrono::seconds(10)), 5, "otherwise the end of the limit is never learnt");
    cr_expect(pacer.waitTime(Start + std::chrono::seconds(10)) < std::chrono::seconds(3));
}

Test(UpstreamPacer, pausesUntilTheLatestTimeThatTheUpstreamNamed)
{
    UpstreamPacer pacer;
    pacer.onResponse({ .pause = std::chrono::seconds(3) }, Start);
    pacer.onResponse({ .pause = std::chrono::milliseconds(500) }, Start + std::chrono::seconds(1));
    pacer.onResponse({}, Start + std::chrono::seconds(2));
    cr_expect(pacer.isPaused(Start + std::chrono::milliseconds(2'999)));
    cr_expect(!pacer.isPaused(Start + std::chrono::seconds(3)));
    pacer.onResponse({ .pause = std::chrono::duration<double>(1e300) }, Start + std::chrono::seconds(4));
    cr_expect(!pacer.isPaused(Start + std::chrono::minutes(2)), "a damaged field does not end the use for good");
}

// Load pattern: an upstream that is to be repaired asks for a pause of minutes.
Test(UpstreamPacer, keepsPausesOfMinutes)
{
    using std::chrono::seconds;
    UpstreamPacer pacer;
    pacer.onResponse({ .pause = seconds(600) }, Start);
    cr_expect(pacer.isPaused(Start + seconds(599)));
    cr_expect(!pacer.isPaused(Start + seconds(600)));
}
