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

    // Added for upstreams whose connections are all allocated to other VMs: they are used only if the other upstreams
    // of the service are much slower.
    constexpr base::Duration StandbyPenalty = std::chrono::milliseconds(30);

    // A store that lags may list an upstream long after it has said that it leaves.
    constexpr base::Duration LeftRetention = std::chrono::minutes(10);

    // A stated warm-up time that shifts by less is the same one.
    constexpr base::Duration WarmUpShift = std::chrono::milliseconds(500);

    // Requests per second assumed where all upstreams are limited to none.
    constexpr double MinQueueRate = 0.1;

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
        sum.invalid += counters.invalid;
        sum.unexpectedErrors += counters.unexpectedErrors;
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
    , shares_(settings_)
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
        state->budget.setSettings(shares_.budgetSettings(name));
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
                applyWarmUp(found->second, connectionLimits(found->second));
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
    const ConnectionLimits limits = shares_.connectionLimits(discovered.entry);
    const auto pool = std::make_shared<ConnectionPool>(
        io_, poolSettings(discovered.entry, limits), protocol_, poolHooks(id, discovered.entry.service));
    upstreams_.push_back({ discovered, pool, {} });
    inheritNotices(id);
    openPoolIds_.push_back(id);
    applyShares(id, limits);
    if (discovered.entry.isDraining || hasLeft(discovered.entry)) {
        retire(id);
        return id;
    }
    service(discovered.entry.service)->upstreams.push_back(id);
    if (shares_.isConfigured(discovered.entry.service))
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
        [this, id](const std::string& reason) {
            log_.writeDecision("unexpected_error",
                { { "upstream", entry(id).id }, { "endpoint", entry(id).endpoint }, { "reason", reason } });
        },
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
    applyWarmUp(id, connectionLimits(id));
}

void Directory::onLeaving(UpstreamId id)
{
    log_.writeDecision("upstream_leaving", { { "upstream", entry(id).id }, { "service", entry(id).service } });
    std::erase_if(left_, [&](const auto& left) { return left.second + LeftRetention < now_(); });
    left_[{ entry(id).id, entry(id).startedAt }] = now_();
    retire(id);
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

void Directory::applyShares(UpstreamId id, const ConnectionLimits& limits)
{
    upstreams_[id].pacer.setShare(shares_.requestShare(entry(id).service), now_());
    upstreams_[id].concurrency.setBounds(shares_.concurrencyBounds(entry(id), limits));
    applyWarmUp(id, limits);
}

void Directory::applyWarmUp(UpstreamId id, const ConnectionLimits& limits)
{
    const base::TimePoint warmUpUntil = upstreams_[id].upstream.warmUpUntil;
    selector_.setUpstream(id, distance(entry(id), limits), warmUpUntil);
    upstreams_[id].pacer.setWarmUp(warmUpUntil, shares_.warmUpPace(entry(id)), now_());
}

upstreamclient::PoolSettings Directory::poolSettings(
    const discovery::UpstreamEntry& entry, const ConnectionLimits& limits) const
{
    // Published endpoints have been validated when they were decoded.
    const auto endpoint = http::parseEndpoint(entry.endpoint);
    return { entry.id, endpoint.value_or(http::Endpoint {}), std::max<std::size_t>(1, limits.max), limits.warm };
}

std::set<std::string> Directory::shardedZones() const
{
    std::set<std::string> zones;
    for (const std::string& name : shares_.shardedServices()) {
        if (const auto found = services_.find(name); found != services_.end()) {
            for (UpstreamId id : found->second->upstreams)
                zones.insert(entry(id).zone);
        }
    }
    return zones;
}

void Directory::applyConfiguration(const routing::RouteTable& routes)
{
    if (shares_.setConfiguration(routes))
        refreshShares();
}

void Directory::setFleet(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self)
{
    shares_.setFleet(vms, self);
    refreshShares();
}

void Directory::refreshShares()
{
    shares_.updatePlan(shardedZones());
    restarts_.setSettings(shares_.restartSettings());
    for (const auto& [name, state] : services_) {
        state->budget.setSettings(shares_.budgetSettings(name));
        for (UpstreamId id : state->upstreams) {
            const ConnectionLimits limits = shares_.connectionLimits(entry(id));
            upstreams_[id].pool->setSettings(poolSettings(entry(id), limits));
            applyShares(id, limits);
            if (shares_.isConfigured(name))
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
