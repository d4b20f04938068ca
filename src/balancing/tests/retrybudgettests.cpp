#include "balancing/retrybudget.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

} // namespace

Test(RetryBudget, grantsTheSlackWithoutRequests)
{
    RetryBudget budget({ .ratio = 0.2, .slack = 4 });
    int granted = 0;
    while (budget.tryAcquire(ExtraAttempt::Retry, Start))
        ++granted;
    cr_assert_eq(granted, 4);
    cr_assert(!budget.tryAcquire(ExtraAttempt::Retry, Start + milliseconds(9'900)));
    cr_assert(budget.tryAcquire(ExtraAttempt::Retry, Start + milliseconds(11'000)));
}

Test(RetryBudget, reservesAShareForRetries)
{
    RetryBudget budget({ .ratio = 0.2, .slack = 0 });
    for (int request = 0; request < 1'000; ++request)
        budget.onRequest(Start);
    int hedges = 0;
    while (budget.tryAcquire(ExtraAttempt::Hedge, Start))
        ++hedges;
    int retries = 0;
    while (budget.tryAcquire(ExtraAttempt::Retry, Start))
        ++retries;
    cr_assert_geq(retries, 60);
    cr_assert_leq(hedges + retries, 200);
}

// Load pattern: every attempt is rejected or slow, while requests arrive in bursts.
Test(RetryBudget, limitsExtraAttemptsInEverySlidingWindow)
{
    std::mt19937 random(7);
    RetryBudget budget({ .ratio = 0.2, .slack = 5 });
    std::deque<base::TimePoint> requests;
    std::deque<base::TimePoint> extras;
    for (int step = 0; step < 60'000; ++step) {
        const base::TimePoint now = Start + milliseconds(step);
        const bool isBurst = (step / 7'000) % 2 == 0;
        if (random() % 100 < (isBurst ? 30U : 2U)) {
            budget.onRequest(now);
            requests.push_back(now);
        }
        if (budget.tryAcquire(ExtraAttempt::Retry, now))
            extras.push_back(now);
        while (!extras.empty() && extras.front() + milliseconds(10'000) < now)
            extras.pop_front();
        // The limit follows the requests in this window or the one before it, whichever has more.
        while (!requests.empty() && requests.front() + milliseconds(20'000) < now)
            requests.pop_front();
        const auto inWindow
            = std::ranges::count_if(requests, [&](base::TimePoint at) { return at + milliseconds(10'000) >= now; });
        const auto before = static_cast<std::ptrdiff_t>(requests.size()) - inWindow;
        cr_assert_leq(static_cast<double>(extras.size()), 0.2 * static_cast<double>(std::max(inWindow, before)) + 5);
    }
}
