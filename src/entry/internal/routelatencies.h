#pragma once

#include "balancing/returnschedule.h"
#include "fanout/subrequestlatency.h"
#include "routing/types.h"

#include <map>
#include <memory>
#include <string>

namespace flamingousher::entry {

// Observed latencies of one route.
struct RouteLatency {
    explicit RouteLatency(base::Duration goal);

    fanout::SubRequestLatency subRequests;
    fanout::SubRequestLatency delegations; // of whole requests that other VMs run
    balancing::ReturnDetector returns; // of callers that were refused
};

// The observed latencies of the routes in force. Requests share the ownership of those of their route, since the
// operator may remove it, or bring it back under its name, while they are in progress.
class RouteLatencies {
public:
    // Returns the latencies of a route of the configuration in force. Never null.
    std::shared_ptr<RouteLatency> of(const routing::Route&);

    // Forgets the routes that the configuration does not contain.
    void retain(const routing::Configuration&);

    std::size_t size() const { return byName_.size(); }

private:
    std::map<std::string, std::shared_ptr<RouteLatency>> byName_;
};

} // namespace flamingousher::entry
