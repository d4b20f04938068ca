#include "entry/internal/directory.h"

#include "fleet/connectionallotment.h"

#include <algorithm>
#include <utility>

namespace flamingousher::entry {

using upstreamclient::ConnectionPool;
using upstreamclient::DroppedOutcome;
using upstreamclient::PoolCounters;

namespace {

    // Extra time of the way to an upstream elsewhere: a round trip, and a preference for the own zone, whose traffic
    // costs nothing.
    constexpr base::Duration OtherZoneDistance = std::chrono::milliseconds(2);
    constexpr base::Duration OtherRegionDistance = std::chrono::milliseconds(40);

    // More connections to one upstream than this are of no use: its slots are far fewer.
    constexpr std::size_t MostConnections = 12;

    // Load pattern: all VMs lose power at once. The upstreams count the connections of before until these time out, so
    // the same number must find room beside them.
    constexpr double WarmPart = 0.5;

    // One more near than far: most work stays in the zone, hedges leave it.
    constexpr std::size_t WarmNearConnections = 2;
    constexpr std::size_t WarmFarConnections = 1;

    // An upstream whose connections are all other VMs' is used only when the rest of its service is far worse.
    constexpr base::Duration StandbyDistance = std::chrono::milliseconds(30);

    constexpr std::uint32_t UnknownConnections = 24; // of an upstream whose service the configuration does not name

    // Connections of an upstream that no VM plans with, for VMs that join or are being replaced.
    constexpr std::uint32_t ReservedConnections = 2;

    constexpr std::size_t PumpDepth = 16; // waiting sub-requests looked at when one connection becomes free

    void addCounters(PoolCounters& sum, const PoolCounters& counters)
    {
        sum.opened += counters.opened;
        sum.openFailed += counters.openFailed;
        sum.refusedAtLimit += counters.refusedAtLimit;
        sum.sent += counters.sent;
        sum.answered += counters.answered;
        sum.lost += counters.lost;
        sum.unmatched += counters.unmatched;
        sum.silentDropped += counters.silentDropped;
        sum.aborted += counters.aborted;
    }

} // namespace

Directory::Directory(boost::asio::io_context& io, const EntrySettings& settings,
    const upstreamclient::UpstreamProtocol& protocol, eventlog::EventLog& log, std::function<base::TimePoint()> now)
    : io_(io)
    , settings_(settings)
    , protocol_(protocol)
    , log_(log)
    , now_(std::move(now))
    , mostVms_(settings.assumedVms)
    , selector_({ [this](UpstreamId id) { return handles_[id].pool->hasCapacity(); },
          [this](UpstreamId id) { return handles_[id].pool->isReachable(); } })
{
}

std::shared_ptr<ServiceState> Directory::service(const std::string& name)
{
    std::shared_ptr<ServiceState>& state = services_[name];
    if (!state) {
        state = std::make_shared<ServiceState>();
        state->name = name;
        state->budget.setSettings(budgetSettings());
    }
    return state;
}

void Directory::apply(const std::vector<discovery::DiscoveredUpstream>& upstreams)
{
    std::map<std::string, UpstreamId> listed;
    for (const discovery::DiscoveredUpstream& known : upstreams) {
        const auto found = current_.find(known.entry.id);
        const auto isSame = [&](const discovery::UpstreamEntry& entry) {
            return entry.startedAt == known.entry.startedAt && entry.endpoint == known.entry.endpoint
                && entry.service == known.entry.service;
        };
        if (found != current_.end() && isSame(entry(found->second))) {
            Handle& handle = handles_[found->second];
            if (known.entry.isDraining && !handle.upstream.entry.isDraining)
                retire(found->second);
            handle.upstream = known;
            listed.emplace(known.entry.id, found->second);
            continue;
        }
        listed.emplace(known.entry.id, add(known));
    }
    for (const auto& [id, upstream] : current_) {
        const auto kept = listed.find(id);
        if (kept == listed.end() || kept->second != upstream)
            retire(upstream);
    }
    current_ = std::move(listed);
    for (const auto& [name, state] : services_)
        pump(name);
}

UpstreamId Directory::add(const discovery::DiscoveredUpstream& known)
{
    const auto id = static_cast<UpstreamId>(handles_.size());
    const Allotted allotted = allotment(known.entry);
    const auto pool = std::make_shared<ConnectionPool>(
        io_, poolSettings(known.entry, allotted), protocol_, poolHooks(id, known.entry.service));
    handles_.push_back({ known, pool });
    swept_.push_back(id);
    selector_.setUpstream(id, distance(known.entry, allotted), known.warmUpUntil);
    if (known.entry.isDraining) {
        retire(id);
        return id;
    }
    service(known.entry.service)->upstreams.push_back(id);
    if (mostConnections_.contains(known.entry.service))
        pool->keepWarm();
    return id;
}

void Directory::retire(UpstreamId id)
{
    Handle& handle = handles_[id];
    std::erase(service(handle.upstream.entry.service)->upstreams, id);
    handle.isRetired = true;
    handle.pool->retire();
}

ConnectionPool::Hooks Directory::poolHooks(UpstreamId id, const std::string& service)
{
    return {
        now_,
        [this, service] { pump(service); },
        [this, id](AttemptId attempt, DroppedOutcome outcome) {
            if (outcome == DroppedOutcome::Answered)
                selector_.onAnswered(id, attempt, now_());
            else if (outcome == DroppedOutcome::Aborted)
                selector_.onFailed(id, attempt, now_());
            else
                selector_.onInconclusive(id, attempt);
        },
        [this, id] {
            log_.change("upstream_replaced",
                { { "upstream", entry(id).id }, { "endpoint", entry(id).endpoint }, { "service", entry(id).service } });
            retire(id);
        },
    };
}

base::Duration Directory::distance(const discovery::UpstreamEntry& entry, const Allotted& allotted) const
{
    const base::Duration standby = allotted.most == 0 ? StandbyDistance : base::Duration::zero();
    if (entry.zone == settings_.zone)
        return standby;
    const auto region = settings_.regions.find(entry.zone);
    const bool isSameRegion = region == settings_.regions.end() || region->second == settings_.region;
    return standby + (isSameRegion ? OtherZoneDistance : OtherRegionDistance);
}

Directory::Allotted Directory::allotment(const discovery::UpstreamEntry& entry) const
{
    const auto found = mostConnections_.find(entry.service);
    const std::uint32_t most = found == mostConnections_.end() ? UnknownConnections : found->second;
    const std::uint32_t shared = most > ReservedConnections ? most - ReservedConnections : most;
    // Nothing is opened ahead of need before it is known how many VMs share the upstream.
    if (vms_.empty())
        return { std::clamp<std::size_t>(shared / settings_.assumedVms, 1, MostConnections), 0 };
    const fleet::ConnectionAllotment allotment(vms_, self_, entry.id, entry.zone);
    const std::size_t warm = entry.zone == settings_.zone ? WarmNearConnections : WarmFarConnections;
    return { std::min(allotment.shareOf(shared), MostConnections),
        std::min(allotment.shareOf(static_cast<std::size_t>(shared * WarmPart)), warm) };
}

upstreamclient::PoolSettings Directory::poolSettings(
    const discovery::UpstreamEntry& entry, const Allotted& allotted) const
{
    // Published endpoints are checked where they are decoded.
    const auto endpoint = http::parseEndpoint(entry.endpoint);
    return { entry.id, endpoint.value_or(http::Endpoint {}), std::max<std::size_t>(1, allotted.most), allotted.warm };
}

balancing::RetryBudgetSettings Directory::budgetSettings() const
{
    return { settings_.retryRatio, settings_.retrySlack / static_cast<double>(mostVms_), settings_.retryWindow };
}

void Directory::applyConfiguration(const routing::RouteTable& routes)
{
    std::map<std::string, std::uint32_t> mostConnections;
    for (const routing::Service& service : routes.configuration().services)
        mostConnections[service.name] = service.maxConnections;
    // Most versions change routes only; dealing out connections anew costs a look at every VM for each upstream.
    if (mostConnections == mostConnections_)
        return;
    mostConnections_ = std::move(mostConnections);
    refreshLimits();
}

void Directory::setFleet(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    vms_ = vms;
    self_ = self;
    mostVms_ = std::max(mostVms_, vms.size());
    refreshLimits();
}

void Directory::refreshLimits()
{
    for (const auto& [name, state] : services_) {
        state->budget.setSettings(budgetSettings());
        for (UpstreamId id : state->upstreams) {
            const Allotted allotted = allotment(entry(id));
            handles_[id].pool->setSettings(poolSettings(entry(id), allotted));
            selector_.setUpstream(id, distance(entry(id), allotted), handles_[id].upstream.warmUpUntil);
            if (mostConnections_.contains(name))
                handles_[id].pool->keepWarm();
        }
    }
}

balancing::WaitQueue::Key Directory::await(ServiceState& service, base::TimePoint goal, RoomCallback callback)
{
    const balancing::WaitQueue::Key key = ++lastKey_;
    service.queue.add(key, goal);
    service.waiting.emplace(key, std::move(callback));
    return key;
}

void Directory::withdraw(ServiceState& service, balancing::WaitQueue::Key key)
{
    service.queue.remove(key);
    service.waiting.erase(key);
}

// A waiting retry may need another upstream than the one that has become free, so more than the first are tried.
void Directory::pump(const std::string& name)
{
    const auto found = services_.find(name);
    if (found == services_.end() || found->second->queue.size() == 0)
        return;
    const std::shared_ptr<ServiceState> state = found->second;
    for (balancing::WaitQueue::Key key : state->queue.peek(PumpDepth, now_())) {
        const auto waiting = state->waiting.find(key);
        if (waiting == state->waiting.end())
            continue;
        const RoomCallback callback = waiting->second;
        if (callback())
            withdraw(*state, key);
    }
}

balancing::ShardLoad Directory::load(const ServiceState& state, base::TimePoint goal, base::Duration typical) const
{
    balancing::ShardLoad load { false, false, state.queue.countAhead(goal, now_()), 0, typical };
    base::Duration quickest = base::Duration::max();
    for (UpstreamId id : state.upstreams) {
        const ConnectionPool& pool = *handles_[id].pool;
        if (!pool.isReachable())
            continue;
        load.isUsable = true;
        load.connections += pool.settings().maxConnections;
        quickest = std::min(quickest, selector_.expectedLatency(id, typical, now_()));
        load.hasCapacity = load.hasCapacity || pool.hasCapacity();
    }
    if (load.isUsable)
        load.serviceTime = quickest;
    return load;
}

void Directory::sweep()
{
    for (UpstreamId id : swept_)
        handles_[id].pool->sweep();
    std::erase_if(
        swept_, [this](UpstreamId id) { return handles_[id].isRetired && handles_[id].pool->connectionCount() == 0; });
    for (const auto& [name, state] : services_)
        pump(name);
}

std::size_t Directory::connectionCount() const
{
    std::size_t count = 0;
    for (const Handle& handle : handles_)
        count += handle.pool->connectionCount();
    return count;
}

PoolCounters Directory::counters() const
{
    PoolCounters sum;
    for (const Handle& handle : handles_)
        addCounters(sum, handle.pool->counters());
    return sum;
}

} // namespace flamingousher::entry
