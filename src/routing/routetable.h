#pragma once

#include "routing/types.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingousher::routing {

// Finds routes and services of one configuration. The cost of a look-up does not depend on the number of routes.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const Configuration>);

    // The route of the host with the longest prefix that begins the path, or null. The host may carry a port.
    const Route* find(std::string_view host, std::string_view path) const;

    // Null when the configuration does not name the service.
    const Service* service(const std::string& name) const;

    const Configuration& configuration() const { return *configuration_; }

private:
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, const Route*> routes_; // by host and prefix
    std::unordered_map<std::string, const Service*> services_;
};

} // namespace flamingousher::routing
