#pragma once

#include "base/types.h"

#include <map>
#include <string>

namespace flamingousher::delegation {

// Decides whether requests whose upstreams this VM does not reach are delegated.
// Load pattern: the upstreams of a service end, or no VM reaches them. Then all delegates refuse, and delegating each
// request would only delay its refusal and load the other VMs.
class UnreachedRoutes {
public:
    bool mayDelegate(const std::string& route, base::TimePoint now) const;

    // Called when no delegate has run a request of the route.
    void onRefused(const std::string& route, base::TimePoint now) { refusedAt_[route] = now; }

    // Called when the delegates have changed: the new ones may reach the upstreams.
    void clear() { refusedAt_.clear(); }

private:
    std::map<std::string, base::TimePoint> refusedAt_; // by route name
};

} // namespace flamingousher::delegation
