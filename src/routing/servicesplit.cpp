#include "routing/servicesplit.h"

#include <algorithm>

namespace flamingousher::routing {

// Smooth weighted round robin: each service earns its weight with every request, and the richest pays for it.
const std::string& ServiceSplit::next(const Route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    Turn& turn = turns_[route.name];
    if (turn.services != route.services)
        turn = { route.services, std::vector<double>(route.services.size(), 0) };
    double total = 0;
    for (std::size_t index = 0; index < turn.services.size(); ++index) {
        turn.credit[index] += turn.services[index].weight;
        total += turn.services[index].weight;
    }
    const auto richest = std::ranges::max_element(turn.credit);
    *richest -= total;
    return route.services[static_cast<std::size_t>(richest - turn.credit.begin())].service;
}

} // namespace flamingousher::routing
