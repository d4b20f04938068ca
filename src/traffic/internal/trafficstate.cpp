#include "traffic/internal/trafficstate.h"

#include "fleet/upstreamownership.h"
#include "http/client.h"
#include "peers/forwardtoissuer.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <random>

namespace flamingousher::traffic {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    // Time after which the process reports ready even if some shards have no known replica.
    constexpr base::Duration MissingReplicaGracePeriod = std::chrono::seconds(5);

    std::string formatIncarnation(std::uint64_t boot, std::uint32_t threadIndex)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(boot));
        return threadIndex == 0 ? text : text + ("t" + std::to_string(threadIndex));
    }

    // Returns the endpoint where a traffic thread of a node listens for other nodes.
    std::string threadEndpoint(const fleet::NodeInfo& node, std::uint32_t thread)
    {
        auto endpoint = http::parseEndpoint(node.id.endpoint).value_or(http::Endpoint {});
        endpoint.port(static_cast<std::uint16_t>(endpoint.port() + 1 + thread));
        return http::toString(endpoint);
    }

    Error routingError(const std::string& upstream, const char* detail)
    {
        return { ErrorCode::Unreachable, Step::Routing, upstream, detail, RunState::NotRun };
    }

    bool coversAllShards(const query::ShardPlan& plan)
    {
        return std::ranges::none_of(plan.replicas, [](const auto& replicas) { return replicas.empty(); });
    }

} // namespace

TrafficThread::State::State(boost::asio::io_context& io, const peers::PeerIdentity& peerIdentity,
    std::uint32_t threadIndex, CrashListener crashListener)
    : identity(peerIdentity)
    , index(threadIndex)
    , context(io, formatIncarnation(peerIdentity.self.id.boot, threadIndex),
          threadEndpoint(peerIdentity.self, threadIndex), peerIdentity.self.id.boot, std::random_device {}())
    , handler(context)
    , ownedUpstreams(io, context.directory, context.incarnation, makeOwnedUpstreamsHooks())
    , peerServer(io, identity, peerCounters, makePeerServerHooks())
    , server(io, {},
          [this](const http::Request& request, http::Exchange& exchange) { return handler.handle(request, exchange); })
{
    context.reportCrash = std::move(crashListener);
    context.dispatcher = {
        [this](transport::SubRequest request, transport::SubCallback callback) {
            dispatch(std::move(request), std::move(callback));
        },
        [this](query::SubRequestId id, query::UpstreamId upstream) { cancel(id, upstream); },
        [this](const identity::Identity& issued, const transport::ServiceCall& call, const std::string& caller,
            base::Duration remaining) { return forwardToIssuer(issued, call, caller, remaining); },
    };
}

tl::expected<transport::ServiceAnswer, Error> TrafficThread::State::forwardToIssuer(const identity::Identity& issued,
    const transport::ServiceCall& call, const std::string& caller, base::Duration remaining)
{
    const auto endpoint = http::parseEndpoint(issued.endpoint);
    if (!endpoint || !isFleetEndpoint(*endpoint)) {
        return tl::unexpected(Error { ErrorCode::IdentityUnverifiable, Step::Identity, issued.endpoint,
            "the identity was not issued by a node of this fleet", RunState::Unknown });
    }
    return peers::forwardToIssuer(context.io, *endpoint, issued.boot, identity, peerCounters, context.random(),
        { context.nextId(), call, caller, remaining });
}

// Callers can forge identities, so requests are forwarded only to endpoints of nodes in the fleet.
bool TrafficThread::State::isFleetEndpoint(const http::Endpoint& endpoint) const
{
    if (!view)
        return false;
    return std::ranges::any_of(view->nodes, [&](const fleet::NodeInfo& node) {
        for (std::uint32_t thread = 0; thread < node.trafficThreads; ++thread) {
            if (threadEndpoint(node, thread) == http::toString(endpoint))
                return true;
        }
        return false;
    });
}

OwnedUpstreams::Hooks TrafficThread::State::makeOwnedUpstreamsHooks()
{
    return {
        context.now,
        [this](query::UpstreamId id, const transport::UpstreamStatus& status) {
            updateStatus(id, status);
            peerServer.publishStatus({ context.directory.at(id).name, status });
        },
        [this](query::UpstreamId id, const transport::SubRequest& request) {
            context.onCrash(request.fingerprint, request.knownCrashes, id);
        },
        [this](const tables::Upstream& upstream) {
            tables::Upstream limited = upstream;
            limited.slots = fleet::shareOfLimit(upstream.slots, view->visibleNodes, view->listedNodes);
            limited.connections = fleet::shareOfLimit(upstream.connections, view->visibleNodes, view->listedNodes);
            if (isLeaving(upstream))
                limited.state = tables::UpstreamState::Draining;
            return limited;
        },
    };
}

peers::PeerServer::Hooks TrafficThread::State::makePeerServerHooks()
{
    return {
        context.now,
        [this] { return context.random(); },
        [this] { return context.nextId(); },
        [this](wire::RemoteRequest remote, transport::SubCallback callback) {
            const auto found = idsByName.find(remote.upstream);
            if (found == idsByName.end()) {
                callback({ tl::unexpected(routingError(remote.upstream, "the upstream is unknown to its owner")) });
                return;
            }
            remote.request.upstream = found->second;
            if (!ownedUpstreams.submit(remote.request, callback))
                callback({ tl::unexpected(routingError(remote.upstream, "this node does not own the upstream")) });
        },
        [this](transport::SubRequestId id, const std::string& upstream) {
            const auto found = idsByName.find(upstream);
            if (found != idsByName.end())
                ownedUpstreams.cancel(id, found->second);
        },
        [this](const std::string& upstream) -> std::optional<transport::UpstreamStatus> {
            const auto found = idsByName.find(upstream);
            const transport::UpstreamStatus* status
                = found == idsByName.end() ? nullptr : ownedUpstreams.status(found->second);
            return status ? std::optional(*status) : std::nullopt;
        },
        [this](const wire::IdentityRequest& request) { return handler.handleForwarded(request); },
    };
}

void TrafficThread::State::sweep()
{
    ownedUpstreams.sweep();
    peerServer.sweep();
    for (const auto& [endpoint, link] : links)
        link->sweep();
    handler.processWaiting();
}

void TrafficThread::State::updateStatus(query::UpstreamId id, const transport::UpstreamStatus& status)
{
    const tables::Upstream& upstream = context.directory.at(id);
    const std::shared_ptr<PoolState> pool = context.pool(upstream.pool);
    if (!pool)
        return;
    pool->catalog.setServed(id, status.served);
    setDraining(*pool, id, status.isDraining || isDrained(upstream));
}

void TrafficThread::State::setDraining(PoolState& pool, query::UpstreamId id, bool isDraining)
{
    pool.catalog.setUsable(id, !isDraining);
    context.chooser.setDraining(id, isDraining);
}

// Returns whether the tables or the platform's list drain the upstream. Its own status is not considered.
bool TrafficThread::State::isDrained(const tables::Upstream& upstream) const
{
    return upstream.state == tables::UpstreamState::Draining || isLeaving(upstream);
}

bool TrafficThread::State::isLeaving(const tables::Upstream& upstream) const
{
    return view && view->leavingAddresses.contains(upstream.address);
}

void TrafficThread::State::applyTables(const std::shared_ptr<const tables::Tables>& tables)
{
    if (!context.tables)
        firstTablesAt = context.now();
    applyPools(*tables);
    context.tables = tables;
    if (view)
        applyOwnership(view);
}

void TrafficThread::State::applyPools(const tables::Tables& tables)
{
    idsByName.clear();
    std::erase_if(context.pools, [&](const auto& entry) { return !tables.pool(entry.first); });
    for (const tables::Pool& pool : tables.pools) {
        std::shared_ptr<PoolState>& entry = context.pools[pool.name];
        if (!entry)
            entry = std::make_shared<PoolState>();
        PoolState& state = *entry;
        const std::vector<query::UpstreamId> before = std::exchange(state.upstreams, {});
        state.pool = pool;
        for (const tables::Upstream& upstream : pool.upstreams) {
            const query::UpstreamId id = context.directory.idOf(upstream);
            idsByName[upstream.name] = id;
            state.upstreams.push_back(id);
            if (isDrained(upstream))
                setDraining(state, id, true);
        }
        for (query::UpstreamId id : before) {
            if (std::ranges::find(state.upstreams, id) == state.upstreams.end())
                state.catalog.setServed(id, {});
        }
    }
}

void TrafficThread::State::applyOwnership(const std::shared_ptr<const OwnershipView>& newView)
{
    view = newView;
    if (!context.tables)
        return;
    ownedUpstreams.apply(*context.tables, [this](const tables::Upstream& upstream) {
        const fleet::NodeInfo* owner = ownerOf(upstream.name);
        return owner && view->serving.contains(upstream.name) && isOwnedHere(upstream.name, *owner);
    });
    for (const auto& [name, pool] : context.pools) {
        for (query::UpstreamId id : pool->upstreams) {
            if (isLeaving(context.directory.at(id)))
                setDraining(*pool, id, true);
        }
    }
    refreshLinks();
}

// Keeps a link to each owner of an upstream in the tables, and subscribes to the statuses of its upstreams.
void TrafficThread::State::refreshLinks()
{
    std::map<std::shared_ptr<peers::PeerLink>, std::set<std::string>> wanted;
    for (const auto& [name, id] : idsByName) {
        const fleet::NodeInfo* owner = ownerOf(name);
        if (owner && !isOwnedHere(name, *owner))
            wanted[peerLinkTo(name, *owner)].insert(name);
    }
    std::erase_if(links, [&](const auto& entry) {
        const auto found = wanted.find(entry.second);
        if (found != wanted.end()) {
            entry.second->subscribeToStatuses(found->second);
            return false;
        }
        // An unneeded link stays open while it has work in flight.
        if (entry.second->outstanding() > 0) {
            entry.second->subscribeToStatuses({});
            return false;
        }
        entry.second->close();
        return true;
    });
}

const fleet::NodeInfo* TrafficThread::State::ownerOf(const std::string& upstream) const
{
    if (!view)
        return nullptr;
    const auto found = view->owners.find(upstream);
    return found == view->owners.end() ? nullptr : &found->second;
}

std::uint32_t TrafficThread::State::threadOf(const std::string& upstream, const fleet::NodeInfo& owner) const
{
    return static_cast<std::uint32_t>(
        XXH3_64bits(upstream.data(), upstream.size()) % std::max<std::uint32_t>(1, owner.trafficThreads));
}

bool TrafficThread::State::isOwnedHere(const std::string& upstream, const fleet::NodeInfo& owner) const
{
    return owner.id == identity.self.id && threadOf(upstream, owner) == index;
}

std::shared_ptr<peers::PeerLink> TrafficThread::State::peerLinkTo(
    const std::string& upstream, const fleet::NodeInfo& owner)
{
    const std::string name = threadEndpoint(owner, threadOf(upstream, owner));
    std::shared_ptr<peers::PeerLink>& link = links[name];
    if (!link) {
        link = std::make_shared<peers::PeerLink>(context.io, *http::parseEndpoint(name), identity, peerCounters,
            peers::PeerLink::Hooks { context.now, [this] { return context.random(); },
                [this](const wire::RemoteStatus& remote) {
                    const auto found = idsByName.find(remote.upstream);
                    if (found != idsByName.end())
                        updateStatus(found->second, remote.status);
                } });
        link->start();
    }
    return link;
}

void TrafficThread::State::dispatch(transport::SubRequest request, transport::SubCallback callback)
{
    const std::string name = context.directory.at(request.upstream).name;
    const fleet::NodeInfo* owner = ownerOf(name);
    if (!owner) {
        callback({ tl::unexpected(routingError(name, "the upstream has no owner")) });
        return;
    }
    if (isOwnedHere(name, *owner)) {
        if (!ownedUpstreams.submit(request, callback))
            callback({ tl::unexpected(routingError(name, "ownership of the upstream is being transferred")) });
        return;
    }
    const std::shared_ptr<peers::PeerLink> link = peerLinkTo(name, *owner);
    link->submit({ std::move(request), name, {} }, std::move(callback));
}

void TrafficThread::State::cancel(query::SubRequestId id, query::UpstreamId upstream)
{
    const std::string& name = context.directory.at(upstream).name;
    ownedUpstreams.cancel(id, upstream);
    const fleet::NodeInfo* owner = ownerOf(name);
    if (owner && !isOwnedHere(name, *owner))
        peerLinkTo(name, *owner)->cancel(id, name);
}

bool TrafficThread::State::isReady() const
{
    if (!context.tables)
        return false;
    const bool allowsGaps = context.now() - firstTablesAt >= MissingReplicaGracePeriod;
    return std::ranges::all_of(context.pools, [&](const auto& entry) {
        if (entry.second->pool.kind == tables::PoolKind::Service)
            return true;
        const auto plan = entry.second->catalog.bestPlan();
        return plan && (allowsGaps || coversAllShards(*plan));
    });
}

std::string TrafficThread::State::describe()
{
    boost::json::array upstreams;
    for (const auto& [id, link] : ownedUpstreams.links()) {
        upstreams.push_back(boost::json::object {
            { "upstream", link->upstream().name },
            { "endpoint", link->upstream().endpoint() },
            { "draining", link->isDraining() },
            { "slots", link->queue().slots() },
            { "running", link->queue().runningCount() },
            { "waiting", link->queue().waitingCount() },
            { "connections", link->connectionCount() },
            { "sent", link->counters().sent },
            { "lost", link->counters().lost },
            { "silent_dropped", link->counters().silentDropped },
            { "ejected", context.chooser.isEjected(id, context.now()) },
        });
    }
    boost::json::array pools;
    for (auto& [name, pool] : context.pools) {
        const auto plan = pool->catalog.bestPlan();
        boost::json::object gates;
        for (base::Rank rank : base::AllRanks) {
            gates[base::toString(rank)] = boost::json::object { { "limit", pool->gate(rank).limit() },
                { "in_progress", pool->gate(rank).inProgress() }, { "waiting", pool->gate(rank).waiting() },
                { "hedge_after_ms", base::toMilliseconds(pool->extraAttemptPolicy(rank).hedgeDelay()) } };
        }
        pools.push_back(boost::json::object {
            { "pool", name },
            { "snapshot", plan ? plan->version : 0 },
            { "shards", plan ? plan->replicas.size() : 0 },
            { "gates", std::move(gates) },
        });
    }
    boost::json::array peerLinks;
    for (const auto& [endpoint, link] : links) {
        peerLinks.push_back(boost::json::object {
            { "endpoint", endpoint }, { "connected", link->isConnected() }, { "outstanding", link->outstanding() } });
    }
    return boost::json::serialize(boost::json::object {
        { "tables_revision", context.tables ? context.tables->revision : 0 },
        { "records", context.records.size() },
        { "pools", std::move(pools) },
        { "upstreams", std::move(upstreams) },
        { "peers", std::move(peerLinks) },
        { "identities_outstanding", context.identities.outstanding() },
        { "crash_evidence", context.quarantine.suspectedCount() },
        { "quarantined", context.quarantine.quarantinedCount(context.now()) },
    });
}

metrics::Snapshot TrafficThread::State::collectMetrics()
{
    transport::LinkCounters sum;
    std::size_t connections = 0;
    for (const auto& [id, link] : ownedUpstreams.links()) {
        sum.sent += link->counters().sent;
        sum.lost += link->counters().lost;
        sum.cancelled += link->counters().cancelled;
        sum.refusedNotRun += link->counters().refusedNotRun;
        sum.silentDropped += link->counters().silentDropped;
        connections += link->connectionCount();
    }
    const auto gauge = [&](const std::string& name, const std::string& help, auto value) {
        context.metrics.gauge("flamingousher_" + name, help).set(static_cast<double>(value));
    };
    gauge("home_upstreams", "Upstreams that this node owns.", ownedUpstreams.links().size());
    gauge("upstream_connections", "Open connections to upstreams.", connections);
    gauge("sub_requests_sent", "Sub-requests sent on the current links to upstreams.", sum.sent);
    gauge("sub_requests_lost", "Sub-requests lost due to a lost connection.", sum.lost);
    gauge("sub_requests_cancelled", "Cancelled sub-requests.", sum.cancelled);
    gauge("sub_requests_refused", "Sub-requests rejected before they ran.", sum.refusedNotRun);
    gauge("silent_connections_dropped", "Unresponsive connections to upstreams that were closed.", sum.silentDropped);
    gauge("identities_outstanding", "Issued identities that have not expired.", context.identities.outstanding());
    gauge("quarantined_requests", "Requests in quarantine because they crash upstreams.",
        context.quarantine.quarantinedCount(context.now()));
    gauge("caller_connections", "Open connections from callers.", server.counters().open);
    gauge("malformed_requests", "Malformed or oversized requests from callers.",
        server.counters().malformedRequests + server.counters().oversizedRequests);
    gauge("peer_frames_sent", "Frames sent to other nodes.", peerCounters.framesSent);
    gauge("peer_bytes_sent", "Bytes sent to other nodes.", peerCounters.bytesSent);
    gauge("peer_frames_refused", "Frames from other nodes rejected.", peerCounters.refused);
    gauge("peer_connections_lost", "Lost connections to other nodes.", peerCounters.connectionsLost);
    return context.metrics.snapshot();
}

} // namespace flamingousher::traffic
