#pragma once

#include "routing/types.h"

#include <map>
#include <string>
#include <vector>

namespace flamingousher::routing {

// Distributes the requests of routes among their services by weight, evenly over time. A service that has no
// room keeps its share: the operator decides what goes where.
class ServiceSplit {
public:
    // The service for the next request of the route.
    const std::string& next(const Route&);

private:
    struct Turn {
        std::vector<WeightedService> services;
        std::vector<double> credit; // of each service
    };

    std::map<std::string, Turn> turns_; // by route name
};

} // namespace flamingousher::routing
