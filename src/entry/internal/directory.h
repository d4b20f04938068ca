#pragma once

#include "balancing/admission.h"
#include "balancing/concurrencylimit.h"
#include "balancing/latencycorrection.h"
#include "balancing/linkmonitor.h"
#include "balancing/memorybudget.h"
#include "balancing/offeredwork.h"
#include "balancing/replicaselector.h"
#include "balancing/retrybudget.h"
#include "balancing/returnschedule.h"
#include "balancing/upstreampacer.h"
#include "balancing/waitqueue.h"
#include "delegation/delegationplan.h"
#include "discovery/types.h"
#include "entry/internal/upstreamshares.h"
#include "entry/types.h"
#include "eventlog/eventlog.h"
#include "fleet/connectionallotment.h"
#include "fleet/types.h"
#include "routing/routetable.h"
#include "upstreamclient/connectionpool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::entry {

using balancing::AttemptId;
using balancing::UpstreamId;

// Called when an upstream of the service may have capacity for a waiting sub-request. Returns true if the sub-request
// has started or is no longer needed.
using CapacityCallback = std::function<bool()>;

// The upstreams of one service, and the sub-requests that wait for them.
struct ServiceState {
    std::string name;
    std::vector<UpstreamId> upstreams; // that accept new requests
    balancing::RetryBudget budget;
    balancing::WaitQueue queue;
    balancing::OfferedWork offered;
    balancing::LatencyCorrection correction; // of the time that admission expects of queries that begin with this shard
    balancing::ReturnSchedule returns; // of these
    std::unordered_map<balancing::WaitQueue::Key, CapacityCallback> callbacks;
    std::unique_ptr<boost::asio::steady_timer> pauseTimer; // set while sub-requests wait for the end of a pause
    base::TimePoint pauseEndsAt { base::TimePoint::max() };
};

// The services and upstreams that this VM knows, with connection pools and observed performance. Used on one thread.
class Directory {
public:
    Directory(boost::asio::io_context&, const EntrySettings&, const upstreamclient::UpstreamProtocol&,
        balancing::MemoryBudget&, eventlog::EventLog&, std::function<base::TimePoint()> now);

    void apply(const std::vector<discovery::DiscoveredUpstream>&);
    void applyConfiguration(const routing::RouteTable&);

    // Sets the VMs, including this one, that share the connection limits of the upstreams and the retry budgets.
    void setFleet(const std::vector<fleet::NodeInfo>&, const fleet::NodeInfo& self);

    // Sets the VMs that reach almost no upstream. They are no delegates while there are others.
    void setUnlinked(std::vector<fleet::NodeId> vms) { shares_.setUnlinked(std::move(vms)); }

    // Called when this VM has lost almost all links to upstreams, or has them again. May be empty.
    std::function<void(bool areLost)> onLinksChanged;

    // Returns which VMs run requests of others.
    delegation::DelegationPlan currentPlan() const { return shares_.currentPlan(shardedZones()); }

    // Sets the members known before the view of the fleet has settled. No effect once setFleet() has been called.
    void setFirstMembers(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
    {
        shares_.setFirstMembers(vms, self);
    }

    // Consumes one restart of a request that a delegate may have started. Returns false if there is none left.
    bool tryAcquireRestart() { return restarts_.tryAcquire(balancing::ExtraAttempt::Retry, now_()); }

    // Never returns null: creates the service if it does not exist.
    std::shared_ptr<ServiceState> service(const std::string& name);

    // Returns whether an answer to requests of the route is possible as far as the connections show: upstreams of each
    // service, or of as many shards as the minimum coverage, are not unreached.
    bool reaches(const routing::Route&) const;

    balancing::ReplicaSelector& selector() { return selector_; }
    // Records that an attempt is sent to the upstream.
    void onSent(UpstreamId, AttemptId, base::Duration typical);

    upstreamclient::ConnectionPool& pool(UpstreamId id) { return *upstreams_[id].pool; }
    const balancing::UpstreamPacer& pacer(UpstreamId id) const { return upstreams_[id].pacer; }
    balancing::ConcurrencyLimit& concurrency(UpstreamId id) { return upstreams_[id].concurrency; }
    const discovery::UpstreamEntry& entry(UpstreamId id) const { return upstreams_[id].upstream.entry; }

    // Queues a sub-request until an upstream has capacity. Returns the key for removeWaiting().
    balancing::WaitQueue::Key enqueue(ServiceState&, base::TimePoint goal, base::Duration work, CapacityCallback);
    static void removeWaiting(ServiceState&, balancing::WaitQueue::Key);

    // Returns whether the service has upstreams for requests of the route, and none of them is reached.
    bool isUnreached(const routing::Route&, const ServiceState&) const;

    // Returns the upstreams of the service that may run requests of the route.
    std::vector<UpstreamId> upstreamsFor(const routing::Route&, const ServiceState&) const;

    balancing::ShardLoad load(
        const routing::Route&, const ServiceState&, base::TimePoint goal, base::Duration typical) const;

    // Cancels attempts that take too long, opens and closes connections, and starts waiting sub-requests. Called
    // periodically.
    void sweep();

    // Numbers of upstreams by what their connections show.
    struct ReachCounts {
        std::size_t reached { 0 };
        std::size_t unreached { 0 };

        bool operator==(const ReachCounts&) const = default;
    };

    ReachCounts countReach() const;
    std::size_t upstreamCount() const { return published_.size(); }
    std::size_t connectionCount() const;
    upstreamclient::PoolCounters counters() const;

    struct PooledUpstream {
        discovery::DiscoveredUpstream upstream;
        std::shared_ptr<upstreamclient::ConnectionPool> pool;
        balancing::UpstreamPacer pacer;
        balancing::ConcurrencyLimit concurrency;
        bool isRetired { false };
    };

    const std::map<std::string, UpstreamId>& published() const { return published_; }

    ConnectionLimits connectionLimits(UpstreamId id) const { return shares_.connectionLimits(entry(id)); }

private:
    using ProcessKey = std::pair<std::string, std::int64_t>; // identifier and start time of an upstream's process

    UpstreamId add(const discovery::DiscoveredUpstream&);
    void retire(UpstreamId);
    void dispatchWaiting(const std::string& service);
    void endUnreached(const std::shared_ptr<ServiceState>&);
    void awaitPauseEnd(const std::shared_ptr<ServiceState>&);
    base::Duration pauseTime(UpstreamId) const;
    balancing::ReplicaSelector::Distance distance(const discovery::UpstreamEntry&, const ConnectionLimits&) const;
    upstreamclient::PoolSettings poolSettings(const discovery::UpstreamEntry&, const ConnectionLimits&) const;
    upstreamclient::ConnectionPool::Hooks poolHooks(UpstreamId, const std::string& service);
    void refreshShares();
    std::set<std::string> shardedZones() const;
    void updateLinks();
    bool reachesService(const routing::Route&, const std::string& name) const;
    bool mayRun(const routing::Route&, UpstreamId) const;
    std::string regionOf(const std::string& zone) const;
    void applyShares(UpstreamId, const ConnectionLimits&);
    void applyWarmUp(UpstreamId, const ConnectionLimits&);
    void inheritNotices(UpstreamId);
    bool hasCapacity(UpstreamId) const;
    bool isReachable(UpstreamId) const;
    void onNotice(UpstreamId, const balancing::UpstreamNotice&);
    void onLeaving(UpstreamId);
    void onWarmUpNotice(UpstreamId, base::TimePoint warmUpUntil);
    balancing::MemoryBudget::Charge openCharge(UpstreamId, std::function<void()> evict);
    bool hasLeft(const discovery::UpstreamEntry& entry) const { return left_.contains({ entry.id, entry.startedAt }); }

    boost::asio::io_context& io_;
    EntrySettings settings_;
    const upstreamclient::UpstreamProtocol& protocol_;
    balancing::MemoryBudget& memory_;
    eventlog::EventLog& log_;
    std::function<base::TimePoint()> now_;
    balancing::RetryBudget restarts_;
    UpstreamShares shares_;
    std::vector<PooledUpstream> upstreams_; // by UpstreamId; identifiers are not reused
    std::vector<UpstreamId> openPoolIds_; // pools to sweep: all but retired ones without connections

    // Upstream processes that have said that they leave, with the time at which they did.
    std::map<ProcessKey, base::TimePoint> left_;

    // The newest handle of each process. What it has said of itself holds when its entry comes back.
    std::map<ProcessKey, UpstreamId> idsByProcess_;
    std::map<std::string, UpstreamId> published_; // by the identifier in the published entry
    std::map<std::string, std::shared_ptr<ServiceState>> services_;
    balancing::ReplicaSelector selector_;
    balancing::LinkMonitor links_;
    balancing::WaitQueue::Key lastKey_ { 0 };
};

} // namespace flamingousher::entry
