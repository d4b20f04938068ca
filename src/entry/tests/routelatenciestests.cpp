#include "entry/internal/routelatencies.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Goal { 800 };
constexpr milliseconds Initial { 100 }; // estimate before any observation

routing::Route makeRoute(const std::string& name)
{
    return { .name = name, .goal = Goal };
}

routing::Configuration makeConfiguration(const std::vector<routing::Route>& routes)
{
    return { .version = 1, .routes = routes };
}

void observeMany(RouteLatency& latency, milliseconds time)
{
    for (int observation = 0; observation < 200; ++observation)
        latency.subRequests.observe(time);
}

} // namespace

// Fault: a configuration without the route freed the latencies to which its requests in progress referred.
Test(RouteLatencies, keepsLatencyOfRemovedRouteForItsRequests)
{
    RouteLatencies latencies;
    const std::shared_ptr<RouteLatency> held = latencies.of(makeRoute("removed"));
    latencies.retain(makeConfiguration({ makeRoute("other") }));
    cr_expect_eq(latencies.size(), 0);
    observeMany(*held, milliseconds(20));
    cr_expect(held->subRequests.typical() < milliseconds(30));
}

Test(RouteLatencies, startsAnewForRouteThatReturns)
{
    RouteLatencies latencies;
    const std::shared_ptr<RouteLatency> held = latencies.of(makeRoute("r"));
    latencies.retain(makeConfiguration({}));
    const std::shared_ptr<RouteLatency> returned = latencies.of(makeRoute("r"));
    observeMany(*held, milliseconds(20));
    cr_expect_neq(held, returned);
    cr_expect(returned->subRequests.typical() == Initial);
}

Test(RouteLatencies, keepsLatencyAcrossConfigurationsWithTheRoute)
{
    RouteLatencies latencies;
    const std::shared_ptr<RouteLatency> held = latencies.of(makeRoute("r"));
    latencies.retain(makeConfiguration({ makeRoute("r"), makeRoute("other") }));
    cr_expect_eq(latencies.of(makeRoute("r")), held);
}
