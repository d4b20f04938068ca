#include "configcheck/configcheck.h"

#include <sstream>

namespace flamingousher::configcheck {

using routing::Configuration;
using routing::Route;

namespace {

    template <typename Value> std::string toText(const Value& value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    std::string toText(const std::chrono::milliseconds& time)
    {
        return std::to_string(time.count()) + " ms";
    }

    std::string toText(bool isSet)
    {
        return isSet ? "yes" : "no";
    }

    std::string toText(const std::vector<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text.empty() ? "none" : text;
    }

    std::string toText(const std::vector<routing::WeightedService>& services)
    {
        std::string text;
        for (const routing::WeightedService& service : services)
            text += (text.empty() ? "" : ", ") + service.service + " x " + toText(service.weight);
        return text.empty() ? "none" : text;
    }

    class Changes {
    public:
        template <typename Value>
        void compare(const std::string& place, const char* what, const Value& before, const Value& after)
        {
            if (before != after)
                lines_.push_back(place + ": " + what + " " + toText(before) + " -> " + toText(after));
        }

        void compareRoutes(const Route& before, const Route& after)
        {
            const std::string place = "route " + after.name;
            compare(place, "host", before.host, after.host);
            compare(place, "prefix", before.pathPrefix, after.pathPrefix);
            compare(place, "may be repeated", before.isIdempotent, after.isIdempotent);
            compare(place, "timeout", before.timeout, after.timeout);
            compare(place, "goal", before.goal, after.goal);
            compare(place, "priority", before.priority, after.priority);
            compare(place, "attempts", before.maxAttempts, after.maxAttempts);
            compare(place, "services", before.services, after.services);
            compare(place, "shards", before.shards, after.shards);
            compare(place, "record limit", before.recordLimit, after.recordLimit);
            compare(place, "least coverage", before.minCoverage, after.minCoverage);
            compare(place, "regions", before.allowedRegions, after.allowedRegions);
        }

        void compareServices(const routing::Service& before, const routing::Service& after)
        {
            const std::string place = "service " + after.name;
            compare(place, "connections", before.maxConnections, after.maxConnections);
            compare(place, "warm-up pace", before.warmUpRate, after.warmUpRate);
        }

        void compareLimits(const routing::CallerLimits& before, const routing::CallerLimits& after)
        {
            compare("limits", "header bytes", before.headerBytes, after.headerBytes);
            compare("limits", "body bytes", before.bodyBytes, after.bodyBytes);
            compare("limits", "header timeout", before.headerTimeout, after.headerTimeout);
            compare("limits", "idle timeout", before.idleTimeout, after.idleTimeout);
        }

        // Reports what is in one list only, and passes pairs of the same name to the function.
        template <typename Item, typename Compare>
        void compareLists(
            const char* kind, const std::vector<Item>& before, const std::vector<Item>& after, Compare compareItems)
        {
            std::map<std::string, const Item*> left;
            for (const Item& item : before)
                left[item.name] = &item;
            for (const Item& item : after) {
                const auto found = left.find(item.name);
                if (found == left.end()) {
                    lines_.push_back(std::string(kind) + " " + item.name + ": added");
                    continue;
                }
                compareItems(*found->second, item);
                left.erase(found);
            }
            for (const auto& [name, item] : left)
                lines_.push_back(std::string(kind) + " " + name + ": removed");
        }

        std::vector<std::string> take() { return std::move(lines_); }

    private:
        std::vector<std::string> lines_;
    };

} // namespace

std::vector<std::string> describeChanges(const Configuration& inForce, const Configuration& next)
{
    Changes changes;
    changes.compare("configuration", "version", inForce.version, next.version);
    changes.compareLists("route", inForce.routes, next.routes,
        [&](const Route& before, const Route& after) { changes.compareRoutes(before, after); });
    changes.compareLists("service", inForce.services, next.services,
        [&](const routing::Service& before, const routing::Service& after) { changes.compareServices(before, after); });
    changes.compareLimits(inForce.limits, next.limits);
    return changes.take();
}

} // namespace flamingousher::configcheck
