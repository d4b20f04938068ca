#include "entry/internal/routelatencies.h"

#include <set>
#include <string_view>

namespace flamingousher::entry {

RouteLatency::RouteLatency(base::Duration goal)
    : subRequests(goal)
    , delegations(goal)
{
}

std::shared_ptr<RouteLatency> RouteLatencies::of(const routing::Route& route)
{
    std::shared_ptr<RouteLatency>& latency = byName_[route.name];
    if (!latency)
        latency = std::make_shared<RouteLatency>(route.goal);
    return latency;
}

void RouteLatencies::retain(const routing::Configuration& configuration)
{
    std::set<std::string_view> names;
    for (const routing::Route& route : configuration.routes)
        names.insert(route.name);
    std::erase_if(byName_, [&](const auto& entry) { return !names.contains(entry.first); });
}

} // namespace flamingousher::entry
