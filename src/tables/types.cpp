#include "tables/types.h"

#include <algorithm>

namespace flamingousher::tables {

std::string Upstream::endpoint() const
{
    return address + ":" + std::to_string(port);
}

const Pool* Tables::pool(const std::string& name) const
{
    const auto found = std::lower_bound(pools.begin(), pools.end(), name,
        [](const Pool& pool, const std::string& wanted) { return pool.name < wanted; });
    return found != pools.end() && found->name == name ? &*found : nullptr;
}

const Route* Tables::routeFor(std::string_view method, std::string_view path) const
{
    const Route* best = nullptr;
    for (const Route& route : routes) {
        if (route.method != method || !path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

std::string toString(const Fault& fault)
{
    std::string text = fault.table + ": ";
    if (!fault.section.empty())
        text += "[" + fault.section + "] ";
    if (!fault.key.empty())
        text += fault.key + ": ";
    return text + fault.message;
}

} // namespace flamingousher::tables
