#pragma once

#include "routing/types.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingousher::routing {

// Looks up the routes and services of one configuration. The cost of a lookup does not depend on the number of routes.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const Configuration>);

    // Returns the route of the host with the longest matching path prefix, or null. The host may include a port, which
    // is ignored.
    const Route* find(std::string_view host, std::string_view path) const;

    // Returns null if the configuration does not contain the service.
    const Service* service(const std::string& name) const;

    const Configuration& configuration() const { return *configuration_; }

private:
    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string, const Route*> routes_; // keyed by host and prefix, concatenated
    std::unordered_map<std::string, const Service*> services_;
};

} // namespace flamingousher::routing
