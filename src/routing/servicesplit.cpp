#include "routing/servicesplit.h"

#include <algorithm>

namespace flamingousher::routing {

// Smooth weighted round robin: every request adds each service's weight to its credit. The service with the highest
// credit is selected, and the sum of the weights is subtracted from its credit.
const std::string& ServiceSplit::next(const Route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    RouteState& state = states_[route.name];
    if (state.services != route.services)
        state = { route.services, std::vector<double>(route.services.size(), 0) };
    double total = 0;
    for (std::size_t index = 0; index < state.services.size(); ++index) {
        state.credits[index] += state.services[index].weight;
        total += state.services[index].weight;
    }
    const auto selected = std::ranges::max_element(state.credits);
    *selected -= total;
    return route.services[static_cast<std::size_t>(selected - state.credits.begin())].service;
}

} // namespace flamingousher::routing
