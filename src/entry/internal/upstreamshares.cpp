#include "entry/internal/upstreamshares.h"

#include <algorithm>
#include <utility>

namespace flamingousher::entry {

namespace {

    // Per upstream. More connections are of no use, since an upstream has far fewer slots.
    constexpr std::size_t MaxConnections = 12;

    // Fraction of an upstream's connection limit that is kept open in advance. After a power failure of all VMs, the
    // upstreams still count the old connections until these time out, so the limit must fit the same number again.
    constexpr double WarmFraction = 0.5;

    // Most requests stay in the zone; hedges leave it.
    constexpr std::size_t WarmSameZoneConnections = 2;

    constexpr std::size_t WarmCrossZoneConnections = 1;

    // Fraction of a sharded service's connections, and of the requests that its upstreams take, that is allotted to the
    // VMs that run requests over many shards. The rest is for VMs that delegate these requests and have to run some of
    // them themselves.
    constexpr double ExecutorFraction = 0.7;

    // Connections to each upstream of a sharded service from a VM that delegates.
    constexpr std::size_t DelegatingVmConnections = 1;

    // Restarts of delegated requests per retry window and VM. Each one costs an extra attempt at every shard.
    constexpr double RestartsPerVm = 1;

    // An upstream is kept busy while its responses are on their way and the next requests come.
    constexpr double InitialOvercommit = 1.5;

    // Two queries that arrive at a VM together do not wait for each other.
    constexpr double MinInitialLimit = 2;

    constexpr std::uint32_t DefaultMaxConnections = 24; // for services missing from the configuration

    // Connections per upstream that are not allocated, for VMs that join or are being replaced.
    constexpr std::uint32_t ReservedConnections = 2;

} // namespace

UpstreamShares::UpstreamShares(const EntrySettings& settings)
    : settings_(settings)
    , maxVmsSeen_(settings.assumedVmCount)
{
}

bool UpstreamShares::setConfiguration(const routing::RouteTable& routes)
{
    std::map<std::string, routing::Service> configured;
    std::set<std::string> shardedServices;
    for (const routing::Route& route : routes.configuration().routes)
        shardedServices.insert(route.shards.begin(), route.shards.end());
    for (const routing::Service& service : routes.configuration().services)
        configured[service.name] = service;
    // Most configuration changes concern routes only, and allocating connections takes time proportional to the number
    // of VMs for each upstream.
    if (configured == configured_ && shardedServices == shardedServices_)
        return false;
    configured_ = std::move(configured);
    shardedServices_ = std::move(shardedServices);
    return true;
}

void UpstreamShares::setFirstMembers(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    if (!vms_.empty())
        return;
    firstMembers_ = vms;
    self_ = self;
}

void UpstreamShares::setFleet(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    vms_ = vms;
    self_ = self;
    maxVmsSeen_ = std::max(maxVmsSeen_, vms.size());
}

delegation::DelegationPlan UpstreamShares::makePlan(
    const std::vector<fleet::NodeInfo>& vms, const std::set<std::string>& upstreamZones) const
{
    return vms.empty() ? delegation::DelegationPlan {}
                       : delegation::makeDelegationPlan(vms, self_, upstreamZones, unlinked_);
}

void UpstreamShares::updatePlan(const std::set<std::string>& upstreamZones)
{
    plan_ = makePlan(vms_, upstreamZones);
}

delegation::DelegationPlan UpstreamShares::currentPlan(const std::set<std::string>& upstreamZones) const
{
    return makePlan(vms_.empty() ? firstMembers_ : vms_, upstreamZones);
}

// Like the connections, what the upstreams of a sharded service take is divided among the VMs that run requests over
// many shards, but for a part for the others.
double UpstreamShares::requestShare(const std::string& service) const
{
    if (vms_.empty())
        return 1.0 / static_cast<double>(settings_.assumedVmCount);
    if (!isDelegationUsed() || !isSharded(service))
        return 1.0 / static_cast<double>(vms_.size());
    const auto executors = static_cast<double>(plan_.executors.size());
    return plan_.isDelegatingFanouts ? (1 - ExecutorFraction) / (static_cast<double>(vms_.size()) - executors)
                                     : ExecutorFraction / executors;
}

fleet::ConnectionAllotment UpstreamShares::allotment(const discovery::UpstreamEntry& entry) const
{
    return { isLimitedToExecutors(entry.service) ? plan_.executors : vms_, self_, entry.id, entry.zone };
}

std::size_t UpstreamShares::userCount(const std::string& service) const
{
    if (vms_.empty())
        return settings_.assumedVmCount;
    return std::max<std::size_t>(1, isLimitedToExecutors(service) ? plan_.executors.size() : vms_.size());
}

ConnectionLimits UpstreamShares::connectionLimits(const discovery::UpstreamEntry& entry) const
{
    const auto found = configured_.find(entry.service);
    const std::uint32_t maxConnections
        = found == configured_.end() ? DefaultMaxConnections : found->second.maxConnections;
    std::uint32_t allocatable
        = maxConnections > ReservedConnections ? maxConnections - ReservedConnections : maxConnections;
    // No connections are opened in advance until it is known how many VMs share the upstream.
    if (vms_.empty())
        return { std::clamp<std::size_t>(allocatable / settings_.assumedVmCount, 1, MaxConnections), 0 };
    if (isLimitedToExecutors(entry.service) && plan_.isDelegatingFanouts)
        return { DelegatingVmConnections, 0 };
    if (isLimitedToExecutors(entry.service))
        allocatable = static_cast<std::uint32_t>(allocatable * ExecutorFraction);
    const fleet::ConnectionAllotment allocation = allotment(entry);
    const std::size_t maxWarm = entry.zone == settings_.zone ? WarmSameZoneConnections : WarmCrossZoneConnections;
    return { std::min(allocation.shareOf(allocatable), MaxConnections),
        std::min(allocation.shareOf(static_cast<std::size_t>(allocatable * WarmFraction)), maxWarm) };
}

// A VM that does not know the others, or leaves the service to them, sends nothing to a cold upstream.
std::optional<balancing::WarmUpPace> UpstreamShares::warmUpPace(const discovery::UpstreamEntry& entry) const
{
    const auto found = configured_.find(entry.service);
    const balancing::WarmUpBound bound { found == configured_.end() ? 0 : found->second.warmUpRate,
        settings_.warmUpFactor, settings_.warmUpSlack };
    if (!bound.isStated())
        return std::nullopt;
    const bool leavesServiceToOthers = isLimitedToExecutors(entry.service) && plan_.isDelegatingFanouts;
    if (vms_.empty() || leavesServiceToOthers)
        return balancing::computeWarmUpPace(bound, settings_.assumedVmCount, settings_.assumedVmCount);
    const fleet::ConnectionAllotment order = allotment(entry);
    return balancing::computeWarmUpPace(bound, order.position(), order.vmCount());
}

// At its minimum each VM uses an equal part of the slots, so that all of them together fill the upstream.
balancing::ConcurrencyBounds UpstreamShares::concurrencyBounds(
    const discovery::UpstreamEntry& entry, const ConnectionLimits& limits) const
{
    const double max = std::max(1.0, static_cast<double>(limits.max));
    const double equalPart = entry.slots / static_cast<double>(userCount(entry.service));
    return { std::min(equalPart, max), std::clamp(equalPart * InitialOvercommit, std::min(MinInitialLimit, max), max),
        max };
}

// The slack of a sharded service is divided into one restart for each VM that delegates, and equal parts of the rest
// for the executors.
balancing::RetryBudgetSettings UpstreamShares::budgetSettings(const std::string& service) const
{
    if (!isDelegationUsed() || !isSharded(service))
        return { settings_.retryRatio, settings_.retrySlack / static_cast<double>(maxVmsSeen_), settings_.retryWindow };
    if (plan_.isDelegatingFanouts)
        return { settings_.retryRatio, 0, settings_.retryWindow };
    const double restarts = restartSettings().slack * static_cast<double>(vms_.size() - plan_.executors.size());
    return { settings_.retryRatio, (settings_.retrySlack - restarts) / static_cast<double>(plan_.executors.size()),
        settings_.retryWindow };
}

// There are no restarts if they would leave the executors less than half of the slack.
balancing::RetryBudgetSettings UpstreamShares::restartSettings() const
{
    const auto delegatingVms = static_cast<double>(vms_.size() - plan_.executors.size());
    const bool areAffordable = delegatingVms * RestartsPerVm <= settings_.retrySlack / 2;
    return { 0, areAffordable ? RestartsPerVm : 0, settings_.retryWindow };
}

} // namespace flamingousher::entry
