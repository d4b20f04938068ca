#include "delegation/unreachedroutes.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::delegation;

namespace {

constexpr base::TimePoint Start { std::chrono::seconds(100) };

} // namespace

// Load pattern: all upstreams of a service have ended, and 1,000 requests for it arrive in a second.
Test(UnreachedRoutes, delegatesFewRequestsThatAllDelegatesRefuse)
{
    UnreachedRoutes routes;
    int delegated = 0;
    for (int request = 0; request < 1'000; ++request) {
        const base::TimePoint now = Start + std::chrono::milliseconds(request);
        if (!routes.mayDelegate("gone", now))
            continue;
        ++delegated;
        routes.onRefused("gone", now);
    }
    cr_expect_leq(delegated, 5);
    cr_expect(routes.mayDelegate("other", Start));
}

Test(UnreachedRoutes, asksNewDelegatesAtOnce)
{
    UnreachedRoutes routes;
    routes.onRefused("route", Start);
    cr_expect(!routes.mayDelegate("route", Start));
    routes.clear();
    cr_expect(routes.mayDelegate("route", Start));
}
