#pragma once

#include "balancing/admission.h"
#include "balancing/replicaselector.h"
#include "balancing/retrybudget.h"
#include "balancing/waitqueue.h"
#include "discovery/types.h"
#include "entry/types.h"
#include "eventlog/eventlog.h"
#include "fleet/types.h"
#include "routing/routetable.h"
#include "upstreamclient/connectionpool.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::entry {

using balancing::AttemptId;
using balancing::UpstreamId;

// A sub-request that waits for an upstream of its service to have room.
using RoomCallback = std::function<bool()>; // returns true when it has started, or is no longer wanted

// The upstreams of one service, and the work that waits for them.
struct ServiceState {
    std::string name;
    std::vector<UpstreamId> upstreams; // that may receive new work
    balancing::RetryBudget budget;
    balancing::WaitQueue queue;
    std::unordered_map<balancing::WaitQueue::Key, RoomCallback> waiting;
};

// The services and upstreams of this VM: connections, and what has been observed of them. Used on one thread.
class Directory {
public:
    Directory(boost::asio::io_context&, const EntrySettings&, const upstreamclient::UpstreamProtocol&,
        eventlog::EventLog&, std::function<base::TimePoint()> now);

    void apply(const std::vector<discovery::DiscoveredUpstream>&);
    void applyConfiguration(const routing::RouteTable&);

    // The VMs that share the connections and the retry budgets, with this one.
    void setFleet(const std::vector<fleet::NodeInfo>&, const fleet::NodeInfo& self);

    // Never null: a service without upstreams exists once it has been asked for.
    std::shared_ptr<ServiceState> service(const std::string& name);

    balancing::ReplicaSelector& selector() { return selector_; }
    upstreamclient::ConnectionPool& pool(UpstreamId id) { return *handles_[id].pool; }
    const discovery::UpstreamEntry& entry(UpstreamId id) const { return handles_[id].upstream.entry; }

    // Enrols a sub-request that waits. The key is used to withdraw it.
    balancing::WaitQueue::Key await(ServiceState&, base::TimePoint goal, RoomCallback);
    static void withdraw(ServiceState&, balancing::WaitQueue::Key);

    balancing::ShardLoad load(const ServiceState&, base::TimePoint goal, base::Duration typical) const;

    // Breaks off what takes too long, opens and closes connections, and starts waiting work.
    void sweep();
    std::size_t upstreamCount() const { return current_.size(); }
    std::size_t connectionCount() const;
    upstreamclient::PoolCounters counters() const;

    struct Handle {
        discovery::DiscoveredUpstream upstream;
        std::shared_ptr<upstreamclient::ConnectionPool> pool;
        bool isRetired { false };
    };

    const std::map<std::string, UpstreamId>& current() const { return current_; }

    // Connections of one upstream that fall to this VM.
    struct Allotted {
        std::size_t most { 0 };
        std::size_t warm { 0 }; // of these, kept open ahead of need

        bool operator==(const Allotted&) const = default;
    };

    // What this VM may open to the upstream, and keeps open.
    Allotted allotted(UpstreamId id) const { return allotment(entry(id)); }

private:
    UpstreamId add(const discovery::DiscoveredUpstream&);
    void retire(UpstreamId);
    void pump(const std::string& service);
    base::Duration distance(const discovery::UpstreamEntry&, const Allotted&) const;
    upstreamclient::PoolSettings poolSettings(const discovery::UpstreamEntry&, const Allotted&) const;
    Allotted allotment(const discovery::UpstreamEntry&) const;
    balancing::RetryBudgetSettings budgetSettings() const;
    upstreamclient::ConnectionPool::Hooks poolHooks(UpstreamId, const std::string& service);
    void refreshLimits();

    boost::asio::io_context& io_;
    EntrySettings settings_;
    const upstreamclient::UpstreamProtocol& protocol_;
    eventlog::EventLog& log_;
    std::function<base::TimePoint()> now_;
    std::vector<fleet::NodeInfo> vms_; // empty until the fleet is known
    fleet::NodeInfo self_;
    std::size_t mostVms_; // ever seen: extra attempts of VMs that have gone still count
    std::vector<Handle> handles_; // by UpstreamId; numbers are not used again
    std::vector<UpstreamId> swept_; // with connections, or expected to have them
    std::map<std::string, UpstreamId> current_; // by the upstream's own identifier
    std::map<std::string, std::shared_ptr<ServiceState>> services_;
    std::map<std::string, std::uint32_t> mostConnections_; // by service
    balancing::ReplicaSelector selector_;
    balancing::WaitQueue::Key lastKey_ { 0 };
};

} // namespace flamingousher::entry
