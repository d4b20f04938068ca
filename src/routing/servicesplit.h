#pragma once

#include "routing/types.h"

#include <map>
#include <string>
#include <vector>

namespace flamingousher::routing {

// Distributes the requests of each route over its services by weight, evenly over time. A service at
// capacity keeps its share: the weights are the operator's decision.
class ServiceSplit {
public:
    // Selects the service for the next request of the route.
    const std::string& next(const Route&);

private:
    struct RouteState {
        std::vector<WeightedService> services;
        std::vector<double> credits; // by index of the service
    };

    std::map<std::string, RouteState> states_; // by route name
};

} // namespace flamingousher::routing
