#include "configcheck/configcheck.h"

#include "balancing/admission.h"

#include <algorithm>

namespace flamingousher::configcheck {

using routing::Configuration;
using routing::Route;

namespace {

    // Of a VM's memory, for what it holds of callers and upstreams; a request is held three times while it is handled.
    constexpr double RequestMemoryPart = 0.2 / 3;

    class Checker {
    public:
        Checker(const Configuration& configuration, const Surroundings& surroundings)
            : configuration_(configuration)
            , surroundings_(surroundings)
        {
            for (const routing::Service& service : configuration.services)
                services_.insert(service.name);
        }

        std::vector<Finding> run()
        {
            checkServices();
            for (const Route& route : configuration_.routes)
                checkRoute(route);
            checkLimits();
            return std::move(findings_);
        }

    private:
        void error(const std::string& place, const std::string& message)
        {
            findings_.push_back({ Severity::Error, place, message });
        }

        void warn(const std::string& place, const std::string& message)
        {
            findings_.push_back({ Severity::Warning, place, message });
        }

        void checkServices()
        {
            std::set<std::string> names;
            for (const routing::Service& service : configuration_.services) {
                const std::string place = "service " + service.name;
                if (!names.insert(service.name).second)
                    error(place, "is listed twice");
                if (service.maxConnections == 0)
                    error(place, "allows no connections");
                if (service.warmUpRate > 0 && service.warmUpRate < 1)
                    warn(place, "states a warm-up pace below one request a second");
            }
        }

        void checkRoute(const Route& route)
        {
            const std::string place = "route " + route.name;
            if (!routeNames_.insert(route.name).second)
                error(place, "has the name of another route");
            checkMatch(route, place);
            if (route.timeout.count() == 0)
                error(place, "has a timeout of 0 ms");
            if (route.goal > route.timeout)
                error(place,
                    "has a goal of " + std::to_string(route.goal.count()) + " ms beyond its timeout of "
                        + std::to_string(route.timeout.count()) + " ms");
            if (route.isFanout())
                checkFanout(route, place);
            else
                checkWeights(route, place);
        }

        void checkMatch(const Route& route, const std::string& place)
        {
            const std::string& prefix = route.pathPrefix;
            if (route.host.empty())
                error(place, "can never match: it has no host");
            if (prefix.empty() || !prefix.starts_with('/') || !prefix.ends_with('/'))
                error(place, "can never match as meant: the prefix '" + prefix + "' must begin and end with a slash");
            const auto [position, isNew] = routeByMatch_.try_emplace(route.host + prefix, route.name);
            if (!isNew)
                error(place, "can never match: route " + position->second + " has the same host and prefix");
        }

        void checkWeights(const Route& route, const std::string& place)
        {
            double sum = 0;
            for (const routing::WeightedService& weighted : route.services) {
                sum += weighted.weight;
                checkReference(route, weighted.service, place);
                if (weighted.weight > 0 && !hasUpstream(route, weighted.service))
                    warn(place, "sends requests to " + weighted.service + ", which has no upstream for it");
            }
            if (sum <= 0)
                error(place, "has weights that sum to nothing");
        }

        void checkFanout(const Route& route, const std::string& place)
        {
            if (!route.isIdempotent)
                error(place, "asks several shards but may not be repeated");
            if (route.recordLimit == 0)
                warn(place, "returns no records: its limit is 0");
            if (!(route.minCoverage >= 0 && route.minCoverage <= 1))
                error(place, "has a least coverage that is not between 0 and 1");
            std::set<std::string> shards;
            std::size_t served = 0;
            for (const std::string& shard : route.shards) {
                if (!shards.insert(shard).second)
                    error(place, "lists shard " + shard + " twice");
                checkReference(route, shard, place);
                served += hasUpstream(route, shard) ? 1 : 0;
            }
            const std::size_t required
                = balancing::requiredShards(route.shards.size(), std::clamp(route.minCoverage, 0.0, 1.0));
            if (served < required)
                error(place,
                    "can never reach its least coverage: " + std::to_string(served) + " of "
                        + std::to_string(route.shards.size()) + " shards have an upstream for it, "
                        + std::to_string(required) + " are needed");
            else if (served < route.shards.size())
                warn(place, std::to_string(route.shards.size() - served) + " of its shards have no upstream for it");
        }

        void checkReference(const Route&, const std::string& service, const std::string& place)
        {
            if (!services_.contains(service))
                error(place, "names service " + service + ", which is not listed");
        }

        // True where the upstreams are not known.
        bool hasUpstream(const Route& route, const std::string& service) const
        {
            if (!surroundings_.zonesByService)
                return true;
            const auto zones = surroundings_.zonesByService->find(service);
            if (zones == surroundings_.zonesByService->end())
                return false;
            return route.allowedRegions.empty() || surroundings_.regions.empty()
                || std::ranges::any_of(zones->second, [&](const std::string& zone) {
                       const auto region = surroundings_.regions.find(zone);
                       return region != surroundings_.regions.end()
                           && std::ranges::find(route.allowedRegions, region->second) != route.allowedRegions.end();
                   });
        }

        void checkLimits()
        {
            const routing::CallerLimits& limits = configuration_.limits;
            if (limits.headerBytes == 0)
                error("limits", "allow no header");
            if (limits.idleTimeout.count() == 0)
                error("limits", "close every connection at once: the idle timeout is 0 ms");
            if (limits.headerTimeout > limits.idleTimeout)
                warn("limits", "give a header more time than a connection may be idle");
            if (surroundings_.memoryBytes
                && static_cast<double>(limits.bodyBytes) > *surroundings_.memoryBytes * RequestMemoryPart)
                error("limits",
                    "allow bodies of " + std::to_string(limits.bodyBytes) + " bytes, more than a VM can hold of one");
        }

        const Configuration& configuration_;
        const Surroundings& surroundings_;
        std::set<std::string> services_;
        std::set<std::string> routeNames_;
        std::map<std::string, std::string> routeByMatch_; // by host and prefix
        std::vector<Finding> findings_;
    };

} // namespace

std::string_view toString(Severity severity)
{
    return severity == Severity::Error ? "error" : "warning";
}

std::vector<Finding> checkConfiguration(const Configuration& configuration, const Surroundings& surroundings)
{
    return Checker(configuration, surroundings).run();
}

} // namespace flamingousher::configcheck
