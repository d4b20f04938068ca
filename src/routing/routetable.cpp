#include "routing/routetable.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace flamingousher::routing {

namespace {

    std::string hostName(std::string_view host)
    {
        return boost::algorithm::to_lower_copy(std::string(host.substr(0, host.find(':'))));
    }

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration))
{
    for (const Route& route : configuration_->routes)
        routes_.emplace(hostName(route.host) + route.pathPrefix, &route);
    for (const Service& service : configuration_->services)
        services_.emplace(service.name, &service);
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name = hostName(host);
    std::string key = name + std::string(path);
    // Route prefixes end with a slash, so only substrings that end at a slash need a lookup.
    for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= name.size();
         slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
        key.resize(slash + 1);
        const auto found = routes_.find(key);
        if (found != routes_.end())
            return found->second;
    }
    return nullptr;
}

const Service* RouteTable::service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace flamingousher::routing
