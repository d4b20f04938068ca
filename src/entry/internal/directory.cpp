#include "entry/internal/directory.h"

#include <algorithm>
#include <utility>

namespace flamingousher::entry {

using upstreamclient::ConnectionPool;
using upstreamclient::DroppedOutcome;
using upstreamclient::PoolCounters;

namespace {

    // Added to the expected latency of upstreams in other zones and regions. Covers the round trip, and prefers the
    // VM's own zone, where traffic is free of charge.
    constexpr base::Duration CrossZonePenalty = std::chrono::milliseconds(2);
    constexpr base::Duration CrossRegionPenalty = std::chrono::milliseconds(40);

    // Estimates of equally fast upstreams differ by this factor at times. Without it, chance would send most requests
    // to other zones.
    constexpr double CrossZoneFactor = 1.4;

    // Per upstream. More connections are of no use, since an upstream has far fewer slots.
    constexpr std::size_t MaxConnections = 12;

    // Fraction of an upstream's connection limit that is kept open in advance. After a power failure of all VMs, the
    // upstreams still count the old connections until these time out, so the limit must fit the same number again.
    constexpr double WarmFraction = 0.5;

    // Most requests stay in the zone; hedges leave it.
    constexpr std::size_t WarmSameZoneConnections = 2;
    constexpr std::size_t WarmCrossZoneConnections = 1;

    // Added for upstreams whose connections are all allocated to other VMs: they are used only if the other upstreams
    // of the service are much slower.
    constexpr base::Duration StandbyPenalty = std::chrono::milliseconds(30);

    // Fraction of a sharded service's connections, and of the requests that its upstreams take, that is allotted to the
    // VMs that run requests over many shards. The rest is for VMs that delegate these requests and have to run some of
    // them themselves.
    constexpr double ExecutorFraction = 0.7;

    // Connections to each upstream of a sharded service from a VM that delegates.
    constexpr std::size_t DelegatingVmConnections = 1;

    // Restarts of delegated requests per retry window and VM. Each one costs an extra attempt at every shard.
    constexpr double RestartsPerVm = 1;

    // A store that lags may list an upstream long after it has said that it leaves.
    constexpr base::Duration LeftRetention = std::chrono::minutes(10);

    // A stated warm-up time that shifts by less is the same one.
    constexpr base::Duration WarmUpShift = std::chrono::milliseconds(500);

    // An upstream is kept busy while its responses are on their way and the next requests come.
    constexpr double InitialOvercommit = 1.5;

    // Two queries that arrive at a VM together do not wait for each other.
    constexpr double MinInitialLimit = 2;

    // Requests per second assumed where all upstreams are limited to none.
    constexpr double MinQueueRate = 0.1;

    constexpr std::uint32_t DefaultMaxConnections = 24; // for services missing from the configuration

    // Connections per upstream that are not allocated, for VMs that join or are being replaced.
    constexpr std::uint32_t ReservedConnections = 2;

    constexpr std::size_t DispatchScanDepth = 16; // waiting sub-requests tried when a connection becomes free

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
        sum.crashed += counters.crashed;
        sum.evicted += counters.evicted;
    }

} // namespace

Directory::Directory(boost::asio::io_context& io, const EntrySettings& settings,
    const upstreamclient::UpstreamProtocol& protocol, balancing::MemoryBudget& memory, eventlog::EventLog& log,
    std::function<base::TimePoint()> now)
    : io_(io)
    , settings_(settings)
    , protocol_(protocol)
    , memory_(memory)
    , log_(log)
    , now_(std::move(now))
    , maxVmsSeen_(settings.assumedVmCount)
    , selector_({ [this](UpstreamId id) { return hasCapacity(id); }, [this](UpstreamId id) { return isReachable(id); },
          [this](UpstreamId id) { upstreams_[id].concurrency.onWaiting(); } })
{
}

std::shared_ptr<ServiceState> Directory::service(const std::string& name)
{
    std::shared_ptr<ServiceState>& state = services_[name];
    if (!state) {
        state = std::make_shared<ServiceState>();
        state->name = name;
        state->budget.setSettings(budgetSettings(name));
    }
    return state;
}

void Directory::apply(const std::vector<discovery::DiscoveredUpstream>& upstreams)
{
    std::map<std::string, UpstreamId> listed;
    for (const discovery::DiscoveredUpstream& discovered : upstreams) {
        const auto found = published_.find(discovered.entry.id);
        const auto isSameInstance = [&](const discovery::UpstreamEntry& entry) {
            return entry.startedAt == discovered.entry.startedAt && entry.endpoint == discovered.entry.endpoint
                && entry.service == discovered.entry.service;
        };
        if (found != published_.end() && isSameInstance(entry(found->second))) {
            PooledUpstream& pooled = upstreams_[found->second];
            if (discovered.entry.isDraining && !pooled.upstream.entry.isDraining)
                retire(found->second);
            const bool isColdAgain = discovered.warmUpUntil > pooled.upstream.warmUpUntil;
            pooled.upstream = discovered;
            if (isColdAgain)
                updateWarmUp(found->second);
            listed.emplace(discovered.entry.id, found->second);
            continue;
        }
        listed.emplace(discovered.entry.id, add(discovered));
    }
    for (const auto& [id, upstream] : published_) {
        const auto match = listed.find(id);
        if (match == listed.end() || match->second != upstream)
            retire(upstream);
    }
    published_ = std::move(listed);
    for (const auto& [name, state] : services_)
        dispatchWaiting(name);
}

UpstreamId Directory::add(const discovery::DiscoveredUpstream& discovered)
{
    const auto id = static_cast<UpstreamId>(upstreams_.size());
    const ConnectionLimits limits = computeLimits(discovered.entry);
    const auto pool = std::make_shared<ConnectionPool>(
        io_, poolSettings(discovered.entry, limits), protocol_, poolHooks(id, discovered.entry.service));
    upstreams_.push_back({ discovered, pool, {} });
    inheritNotices(id);
    upstreams_[id].pacer.setShare(requestShare(discovered.entry.service), now_());
    openPoolIds_.push_back(id);
    updateWarmUp(id);
    if (discovered.entry.isDraining || hasLeft(discovered.entry)) {
        retire(id);
        return id;
    }
    service(discovered.entry.service)->upstreams.push_back(id);
    if (configured_.contains(discovered.entry.service))
        pool->keepWarm();
    return id;
}

// An entry lapses while the store is away, and an availability zone is evacuated and taken back: the process remains.
void Directory::inheritNotices(UpstreamId id)
{
    const auto [position, isNew] = idsByProcess_.try_emplace({ entry(id).id, entry(id).startedAt }, id);
    if (isNew)
        return;
    const PooledUpstream& previous = upstreams_[std::exchange(position->second, id)];
    if (previous.upstream.entry.endpoint == entry(id).endpoint)
        upstreams_[id].pacer = previous.pacer;
}

void Directory::retire(UpstreamId id)
{
    PooledUpstream& pooled = upstreams_[id];
    std::erase(service(pooled.upstream.entry.service)->upstreams, id);
    pooled.isRetired = true;
    pooled.pool->retire();
}

ConnectionPool::Hooks Directory::poolHooks(UpstreamId id, const std::string& service)
{
    return {
        now_,
        [this, service] { dispatchWaiting(service); },
        [this, id](AttemptId attempt, DroppedOutcome outcome) {
            if (outcome == DroppedOutcome::Answered)
                selector_.onAnswered(id, attempt, now_());
            else if (outcome == DroppedOutcome::Aborted)
                selector_.onFailed(id, attempt, now_());
            else
                selector_.onInconclusive(id, attempt);
        },
        [this, id] {
            log_.writeChange("upstream_replaced",
                { { "upstream", entry(id).id }, { "endpoint", entry(id).endpoint }, { "service", entry(id).service } });
            retire(id);
        },
        [this, id](const balancing::UpstreamNotice& notice) { onNotice(id, notice); },
        [this, id](std::size_t attempts) {
            log_.writeDecision("upstream_crashed",
                { { "upstream", entry(id).id }, { "endpoint", entry(id).endpoint }, { "service", entry(id).service },
                    { "started_at", entry(id).startedAt }, { "attempts", attempts } });
        },
        [this, id](std::function<void()> evict) { return openCharge(id, std::move(evict)); },
    };
}

balancing::MemoryBudget::Charge Directory::openCharge(UpstreamId id, std::function<void()> evict)
{
    return memory_.open(entry(id).id, [this, id, evict = std::move(evict)] {
        if (log_.hasTokens())
            log_.writeDecision("response_evicted",
                { { "upstream", entry(id).id }, { "service", entry(id).service }, { "held_bytes", memory_.used() },
                    { "limit_bytes", memory_.limit() } });
        evict();
    });
}

bool Directory::hasCapacity(UpstreamId id) const
{
    const PooledUpstream& pooled = upstreams_[id];
    return pooled.pool->hasCapacity() && pooled.pacer.allows(now_())
        && pooled.concurrency.allows(selector_.inFlight(id), now_());
}

bool Directory::isReachable(UpstreamId id) const
{
    const PooledUpstream& pooled = upstreams_[id];
    return pooled.pool->reach() != upstreamclient::Reach::Unreached && pooled.pool->isReachable()
        && !pooled.pacer.isPaused(now_());
}

void Directory::onSent(UpstreamId id, AttemptId attempt, base::Duration typical)
{
    selector_.onSent(id, attempt, typical, now_());
    upstreams_[id].pacer.onSent(now_());
}

void Directory::onNotice(UpstreamId id, const balancing::UpstreamNotice& notice)
{
    if (notice.isLeaving && !upstreams_[id].isRetired)
        onLeaving(id);
    balancing::UpstreamPacer& pacer = upstreams_[id].pacer;
    if (notice.warmUpRemaining && !upstreams_[id].isRetired)
        onWarmUpNotice(id, now_() + *notice.warmUpRemaining);
    const bool wasLimited = pacer.rate().has_value();
    const bool wasPaused = pacer.isPaused(now_());
    pacer.onResponse(notice, now_());
    if (!wasPaused && pacer.isPaused(now_()))
        log_.writeDecision("upstream_paused",
            { { "upstream", entry(id).id }, { "service", entry(id).service },
                { "pause_ms", eventlog::milliseconds(pacer.pausedUntil() - now_()) } });
    if (wasLimited != pacer.rate().has_value())
        log_.writeDecision("upstream_limit",
            { { "upstream", entry(id).id }, { "service", entry(id).service },
                { "limit_per_s", notice.requestsPerSecond.value_or(0) }, { "own_per_s", pacer.rate().value_or(0) } });
}

// Each response states the time again, which seems to shift by the delay of the response.
void Directory::onWarmUpNotice(UpstreamId id, base::TimePoint warmUpUntil)
{
    base::TimePoint& known = upstreams_[id].upstream.warmUpUntil;
    const bool wasWarm = known <= now_();
    if (wasWarm ? warmUpUntil <= now_() : warmUpUntil <= known + WarmUpShift)
        return;
    known = warmUpUntil;
    if (wasWarm)
        log_.writeDecision("upstream_cold",
            { { "upstream", entry(id).id }, { "service", entry(id).service },
                { "warm_up_ms", eventlog::milliseconds(warmUpUntil - now_()) } });
    updateWarmUp(id);
}

void Directory::onLeaving(UpstreamId id)
{
    log_.writeDecision("upstream_leaving", { { "upstream", entry(id).id }, { "service", entry(id).service } });
    std::erase_if(left_, [&](const auto& left) { return left.second + LeftRetention < now_(); });
    left_[{ entry(id).id, entry(id).startedAt }] = now_();
    retire(id);
}

// Like the connections, what the upstreams of a sharded service take is divided among the VMs that run requests over
// many shards, but for a part for the others.
double Directory::requestShare(const std::string& service) const
{
    if (vms_.empty())
        return 1.0 / static_cast<double>(settings_.assumedVmCount);
    if (!isDelegationUsed() || !isSharded(service))
        return 1.0 / static_cast<double>(vms_.size());
    const auto executors = static_cast<double>(plan_.executors.size());
    return plan_.isDelegatingFanouts ? (1 - ExecutorFraction) / (static_cast<double>(vms_.size()) - executors)
                                     : ExecutorFraction / executors;
}

balancing::ReplicaSelector::Distance Directory::distance(
    const discovery::UpstreamEntry& entry, const ConnectionLimits& limits) const
{
    const base::Duration standby = limits.max == 0 ? StandbyPenalty : base::Duration::zero();
    if (entry.zone == settings_.zone)
        return { standby, 1 };
    const std::string region = regionOf(entry.zone);
    const bool isSameRegion = region.empty() || region == settings_.region;
    return { standby + (isSameRegion ? CrossZonePenalty : CrossRegionPenalty), CrossZoneFactor };
}

// Returns an empty string for a zone whose region the settings do not state.
std::string Directory::regionOf(const std::string& zone) const
{
    const auto region = settings_.regions.find(zone);
    return region == settings_.regions.end() ? std::string() : region->second;
}

fleet::ConnectionAllotment Directory::allotment(const discovery::UpstreamEntry& entry) const
{
    return { isLimitedToExecutors(entry.service) ? plan_.executors : vms_, self_, entry.id, entry.zone };
}

// A VM that does not know the others, or leaves the service to them, sends nothing to a cold upstream.
std::optional<balancing::WarmUpPace> Directory::warmUpPace(const discovery::UpstreamEntry& entry) const
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
balancing::ConcurrencyBounds Directory::concurrencyBounds(
    const discovery::UpstreamEntry& entry, const ConnectionLimits& limits) const
{
    const double max = std::max(1.0, static_cast<double>(limits.max));
    const double equalPart
        = entry.slots / static_cast<double>(vms_.empty() ? settings_.assumedVmCount : allotment(entry).vmCount());
    return { std::min(equalPart, max), std::clamp(equalPart * InitialOvercommit, std::min(MinInitialLimit, max), max),
        max };
}

void Directory::updateWarmUp(UpstreamId id)
{
    const PooledUpstream& pooled = upstreams_[id];
    const ConnectionLimits limits = computeLimits(pooled.upstream.entry);
    selector_.setUpstream(id, distance(pooled.upstream.entry, limits), pooled.upstream.warmUpUntil);
    upstreams_[id].concurrency.setBounds(concurrencyBounds(pooled.upstream.entry, limits));
    upstreams_[id].pacer.setWarmUp(pooled.upstream.warmUpUntil, warmUpPace(pooled.upstream.entry), now_());
}

Directory::ConnectionLimits Directory::computeLimits(const discovery::UpstreamEntry& entry) const
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

upstreamclient::PoolSettings Directory::poolSettings(
    const discovery::UpstreamEntry& entry, const ConnectionLimits& limits) const
{
    // Published endpoints have been validated when they were decoded.
    const auto endpoint = http::parseEndpoint(entry.endpoint);
    return { entry.id, endpoint.value_or(http::Endpoint {}), std::max<std::size_t>(1, limits.max), limits.warm };
}

// The slack of a sharded service is divided into one restart for each VM that delegates, and equal parts of the rest
// for the executors.
balancing::RetryBudgetSettings Directory::budgetSettings(const std::string& service) const
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
balancing::RetryBudgetSettings Directory::restartSettings() const
{
    const auto delegatingVms = static_cast<double>(vms_.size() - plan_.executors.size());
    const bool areAffordable = delegatingVms * RestartsPerVm <= settings_.retrySlack / 2;
    return { 0, areAffordable ? RestartsPerVm : 0, settings_.retryWindow };
}

delegation::DelegationPlan Directory::makePlan(const std::vector<fleet::NodeInfo>& vms) const
{
    std::set<std::string> zones;
    for (const std::string& name : shardedServices_) {
        if (const auto found = services_.find(name); found != services_.end()) {
            for (UpstreamId id : found->second->upstreams)
                zones.insert(entry(id).zone);
        }
    }
    return vms.empty() ? delegation::DelegationPlan {} : delegation::makeDelegationPlan(vms, self_, zones, unlinked_);
}

void Directory::updatePlan()
{
    plan_ = makePlan(vms_);
    restarts_.setSettings(restartSettings());
}

void Directory::applyConfiguration(const routing::RouteTable& routes)
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
        return;
    configured_ = std::move(configured);
    shardedServices_ = std::move(shardedServices);
    updatePlan();
    refreshLimits();
}

void Directory::setFirstMembers(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    if (!vms_.empty())
        return;
    firstMembers_ = vms;
    self_ = self;
}

delegation::DelegationPlan Directory::currentPlan() const
{
    return makePlan(vms_.empty() ? firstMembers_ : vms_);
}

void Directory::setFleet(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    vms_ = vms;
    self_ = self;
    maxVmsSeen_ = std::max(maxVmsSeen_, vms.size());
    updatePlan();
    refreshLimits();
}

void Directory::refreshLimits()
{
    for (const auto& [name, state] : services_) {
        state->budget.setSettings(budgetSettings(name));
        for (UpstreamId id : state->upstreams) {
            const ConnectionLimits limits = computeLimits(entry(id));
            upstreams_[id].pool->setSettings(poolSettings(entry(id), limits));
            upstreams_[id].pacer.setShare(requestShare(name), now_());
            updateWarmUp(id);
            if (configured_.contains(name))
                upstreams_[id].pool->keepWarm();
        }
    }
}

balancing::WaitQueue::Key Directory::enqueue(
    ServiceState& service, base::TimePoint goal, base::Duration work, CapacityCallback callback)
{
    const balancing::WaitQueue::Key key = ++lastKey_;
    service.queue.add(key, goal, work);
    service.callbacks.emplace(key, std::move(callback));
    return key;
}

void Directory::removeWaiting(ServiceState& service, balancing::WaitQueue::Key key)
{
    service.queue.remove(key);
    service.callbacks.erase(key);
}

// Tries several waiting sub-requests, because the first may be a retry that must not go to the upstream that has become
// free.
void Directory::dispatchWaiting(const std::string& name)
{
    const auto found = services_.find(name);
    if (found == services_.end() || found->second->queue.size() == 0)
        return;
    const std::shared_ptr<ServiceState> state = found->second;
    for (balancing::WaitQueue::Key key : state->queue.peek(DispatchScanDepth, now_())) {
        const auto waiting = state->callbacks.find(key);
        if (waiting == state->callbacks.end())
            continue;
        const CapacityCallback callback = waiting->second;
        if (callback())
            removeWaiting(*state, key);
    }
    if (state->queue.size() > 0)
        awaitPauseEnd(state);
}

// Returns the time until the limits that this VM keeps allow one more request to the upstream.
base::Duration Directory::pauseTime(UpstreamId id) const
{
    const PooledUpstream& pooled = upstreams_[id];
    return std::max(pooled.concurrency.waitTime(now_()), pooled.pacer.waitTime(now_()));
}

// No response or connection wakes what waits for a pause, and the next sweep may be far off.
void Directory::awaitPauseEnd(const std::shared_ptr<ServiceState>& state)
{
    base::Duration shortest = base::Duration::max();
    for (UpstreamId id : state->upstreams) {
        if (const base::Duration pause = pauseTime(id); pause > base::Duration::zero())
            shortest = std::min(shortest, pause);
    }
    if (shortest == base::Duration::max() || now_() + shortest >= state->pauseEndsAt)
        return;
    if (!state->pauseTimer)
        state->pauseTimer = std::make_unique<boost::asio::steady_timer>(io_);
    state->pauseEndsAt = now_() + shortest;
    state->pauseTimer->expires_at(state->pauseEndsAt);
    state->pauseTimer->async_wait([this, weak = std::weak_ptr(state)](const boost::system::error_code& error) {
        const auto waiting = weak.lock();
        if (error || !waiting)
            return;
        waiting->pauseEndsAt = base::TimePoint::max();
        dispatchWaiting(waiting->name);
    });
}

bool Directory::mayRun(const routing::Route& route, UpstreamId id) const
{
    return route.allowedRegions.empty()
        || std::ranges::find(route.allowedRegions, regionOf(entry(id).zone)) != route.allowedRegions.end();
}

std::vector<UpstreamId> Directory::upstreamsFor(const routing::Route& route, const ServiceState& state) const
{
    std::vector<UpstreamId> upstreams = state.upstreams;
    if (!route.allowedRegions.empty())
        std::erase_if(upstreams, [&](UpstreamId id) { return !mayRun(route, id); });
    return upstreams;
}

balancing::ShardLoad Directory::load(
    const routing::Route& route, const ServiceState& state, base::TimePoint goal, base::Duration typical) const
{
    balancing::ShardLoad load { .isUsable = false,
        .hasCapacity = false,
        .isCongested = true,
        .workAhead = state.queue.workAhead(goal, now_()),
        .work = typical,
        .parallelism = 0,
        .serviceTime = typical };
    base::TimePoint usableAt = base::TimePoint::max();
    base::Duration minLatency = base::Duration::max();
    base::Duration minWait = base::Duration::max();
    double rate = 0; // of the upstreams that are limited
    for (UpstreamId id : upstreamsFor(route, state)) {
        const balancing::UpstreamPacer& pacer = upstreams_[id].pacer;
        if (pacer.isPaused(now_()))
            usableAt = std::min(usableAt, pacer.pausedUntil());
        if (!isReachable(id))
            continue;
        load.isUsable = true;
        if (!pacer.isWarmingUp(now_()))
            load.parallelism += upstreams_[id].concurrency.value() / std::max(1.0, selector_.slowness(id, now_()));
        minLatency = std::min(minLatency, selector_.expectedLatency(id, typical, now_()));
        load.hasCapacity = load.hasCapacity || hasCapacity(id);
        load.isCongested = load.isCongested && upstreams_[id].concurrency.isCongested(now_());
        minWait = std::min(minWait, pacer.waitTime(now_()));
        rate += pacer.allowedRate(now_()).value_or(0);
    }
    load.isCongested = load.isCongested && load.isUsable;
    if (!load.isUsable) {
        if (usableAt != base::TimePoint::max())
            load.usableIn = usableAt - now_();
        return load;
    }
    load.parallelism *= balancing::availableFraction(state.offered.above(route.priority, now_()), load.parallelism);
    load.serviceTime = minLatency;
    if (minWait > base::Duration::zero()) {
        const std::chrono::duration<double> queueTime(
            static_cast<double>(state.queue.countAhead(goal, now_())) / std::max(rate, MinQueueRate));
        load.limitWait = minWait + std::chrono::ceil<base::Duration>(queueTime);
    }
    return load;
}

void Directory::sweep()
{
    for (UpstreamId id : openPoolIds_)
        upstreams_[id].pool->sweep();
    std::erase_if(openPoolIds_,
        [this](UpstreamId id) { return upstreams_[id].isRetired && upstreams_[id].pool->connectionCount() == 0; });
    updateLinks();
    for (const auto& [name, state] : services_) {
        dispatchWaiting(name);
        endUnreached(state);
    }
}

// What waits for a service that is not reached ends at once, not when its turn comes.
void Directory::endUnreached(const std::shared_ptr<ServiceState>& state)
{
    if (state->queue.size() == 0 || !isUnreached({}, *state))
        return;
    for (balancing::WaitQueue::Key key : state->queue.peek(state->queue.size(), now_())) {
        const auto waiting = state->callbacks.find(key);
        if (waiting == state->callbacks.end())
            continue;
        const CapacityCallback callback = waiting->second;
        if (callback())
            removeWaiting(*state, key);
    }
}

Directory::ReachCounts Directory::countReach() const
{
    ReachCounts counts;
    for (const auto& [name, state] : services_) {
        for (UpstreamId id : state->upstreams) {
            const upstreamclient::Reach reach = upstreams_[id].pool->reach();
            counts.reached += reach == upstreamclient::Reach::Reached ? 1 : 0;
            counts.unreached += reach == upstreamclient::Reach::Unreached ? 1 : 0;
        }
    }
    return counts;
}

// All VMs know the same upstreams, so a service without any is missing everywhere.
bool Directory::isUnreached(const routing::Route& route, const ServiceState& service) const
{
    const std::vector<UpstreamId> upstreams = upstreamsFor(route, service);
    return !upstreams.empty() && std::ranges::all_of(upstreams, [this](UpstreamId id) {
        return upstreams_[id].pool->reach() == upstreamclient::Reach::Unreached;
    });
}

bool Directory::reachesService(const routing::Route& route, const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() || !isUnreached(route, *found->second);
}

bool Directory::reaches(const routing::Route& route) const
{
    if (!route.isFanout()) {
        return std::ranges::all_of(route.services,
            [&](const routing::WeightedService& service) { return reachesService(route, service.service); });
    }
    const auto reached = static_cast<std::size_t>(
        std::ranges::count_if(route.shards, [&](const std::string& shard) { return reachesService(route, shard); }));
    return reached >= balancing::requiredShards(route.shards.size(), route.minCoverage);
}

void Directory::updateLinks()
{
    const ReachCounts counts = countReach();
    if (!links_.update(counts.reached, counts.unreached))
        return;
    log_.writeChange(links_.areLinksLost() ? "links_lost" : "links_restored",
        { { "reached", counts.reached }, { "unreached", counts.unreached } });
    if (onLinksChanged)
        onLinksChanged(links_.areLinksLost());
}

std::size_t Directory::connectionCount() const
{
    std::size_t count = 0;
    for (const PooledUpstream& pooled : upstreams_)
        count += pooled.pool->connectionCount();
    return count;
}

PoolCounters Directory::counters() const
{
    PoolCounters sum;
    for (const PooledUpstream& pooled : upstreams_)
        addCounters(sum, pooled.pool->counters());
    return sum;
}

} // namespace flamingousher::entry
