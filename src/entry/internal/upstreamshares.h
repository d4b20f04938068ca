#pragma once

#include "balancing/concurrencylimit.h"
#include "balancing/retrybudget.h"
#include "balancing/warmuppace.h"
#include "delegation/delegationplan.h"
#include "discovery/types.h"
#include "entry/types.h"
#include "fleet/connectionallotment.h"
#include "fleet/types.h"
#include "routing/routetable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::entry {

// Limits on the connections of this VM to one upstream.
struct ConnectionLimits {
    std::size_t max { 0 };
    std::size_t warm { 0 }; // of these, kept open in advance

    bool operator==(const ConnectionLimits&) const = default;
};

// This VM's parts of what the upstreams take from all VMs together: connections, requests, slots, the pace of cold ones
// and extra attempts. Performs no I/O.
// Load pattern: hundreds of VMs, some of which delegate the requests over many shards, use upstreams with far fewer
// connections and slots, and cannot ask each other.
class UpstreamShares {
public:
    // settings: must outlive this object.
    explicit UpstreamShares(const EntrySettings& settings);

    // Returns whether a share may have changed.
    bool setConfiguration(const routing::RouteTable&);

    // Sets the VMs, including this one, that share the upstreams.
    void setFleet(const std::vector<fleet::NodeInfo>&, const fleet::NodeInfo& self);

    // Sets the members known before the view of the fleet has settled. No effect once setFleet() has been called.
    void setFirstMembers(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self);

    // Sets the VMs that reach almost no upstream.
    void setUnlinked(std::vector<fleet::NodeId> vms) { unlinked_ = std::move(vms); }

    // Decides which VMs run requests over many shards. upstreamZones: with upstreams of sharded services.
    void updatePlan(const std::set<std::string>& upstreamZones);

    // Returns which VMs run requests of others. Until the fleet is known, they are chosen from the first members: a
    // small VM would take too long to open connections to all shards itself.
    delegation::DelegationPlan currentPlan(const std::set<std::string>& upstreamZones) const;

    bool isConfigured(const std::string& service) const { return configured_.contains(service); }
    const std::set<std::string>& shardedServices() const { return shardedServices_; }

    ConnectionLimits connectionLimits(const discovery::UpstreamEntry&) const;
    balancing::ConcurrencyBounds concurrencyBounds(const discovery::UpstreamEntry&, const ConnectionLimits&) const;

    // Returns this VM's fraction of the requests that an upstream of the service takes.
    double requestShare(const std::string& service) const;

    // Returns nothing if the service states no pace for its cold upstreams.
    std::optional<balancing::WarmUpPace> warmUpPace(const discovery::UpstreamEntry&) const;

    balancing::RetryBudgetSettings budgetSettings(const std::string& service) const;

    // Restarts of delegated requests.
    balancing::RetryBudgetSettings restartSettings() const;

private:
    bool isSharded(const std::string& service) const { return shardedServices_.contains(service); }
    bool isDelegationUsed() const { return plan_.executors.size() < vms_.size(); }
    bool isLimitedToExecutors(const std::string& service) const { return isDelegationUsed() && isSharded(service); }
    delegation::DelegationPlan makePlan(
        const std::vector<fleet::NodeInfo>& vms, const std::set<std::string>& upstreamZones) const;
    fleet::ConnectionAllotment allotment(const discovery::UpstreamEntry&) const;
    std::size_t userCount(const std::string& service) const;

    const EntrySettings& settings_;
    std::vector<fleet::NodeInfo> vms_; // empty until the fleet is known
    std::vector<fleet::NodeInfo> firstMembers_; // used until then
    fleet::NodeInfo self_;
    std::vector<fleet::NodeId> unlinked_;
    delegation::DelegationPlan plan_;
    std::map<std::string, routing::Service> configured_; // services of the configuration, by name
    std::set<std::string> shardedServices_; // services that are shards of a route
    std::size_t maxVmsSeen_; // max fleet size so far: extra attempts of VMs that have left still count
};

} // namespace flamingousher::entry
