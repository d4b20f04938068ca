#include "delegation/unreachedroutes.h"

namespace flamingousher::delegation {

namespace {

    // Until the delegates are asked again. Callers come back later than that.
    constexpr base::Duration RecheckInterval = std::chrono::milliseconds(250);

} // namespace

bool UnreachedRoutes::mayDelegate(const std::string& route, base::TimePoint now) const
{
    const auto found = refusedAt_.find(route);
    return found == refusedAt_.end() || now >= found->second + RecheckInterval;
}

} // namespace flamingousher::delegation
