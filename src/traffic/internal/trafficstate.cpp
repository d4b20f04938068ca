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

    // Time after which a process is ready although some shard has no known replica.
    constexpr base::Duration ReadyWithGaps = std::chrono::seconds(5);

    std::string toText(std::uint64_t boot, std::uint32_t threadIndex)
    {
        char text[32];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(boot));
        return threadIndex == 0 ? text : text + ("t" + std::to_string(threadIndex));
    }

    // Where a traffic thread of a node listens for other nodes.
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
    , context(io, toText(peerIdentity.self.id.boot, threadIndex), threadEndpoint(peerIdentity.self, threadIndex),
          peerIdentity.self.id.boot, std::random_device {}())
    , onCrash(std::move(crashListener))
    , handler(context)
    , homes(io, context.directory, context.incarnation, makeHomeHooks())
    , peerServer(io, identity, peerCounters, makePeerServerHooks())
    , server(io, {},
          [this](const http::Request& request, http::Exchange& exchange) { return handler.handle(request, exchange); })
{
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
    if (!endpoint || !isKnownEndpoint(*endpoint)) {
        return tl::unexpected(Error { ErrorCode::IdentityUnverifiable, Step::Identity, issued.endpoint,
            "no node of the fleet has issued this identity", RunState::Unknown });
    }
    return peers::forwardToIssuer(context.io, *endpoint, issued.boot, identity, peerCounters, context.random(),
        { context.nextId(), call, caller, remaining });
}

// Requests are passed on to nodes of the fleet only, whatever address an identity names.
bool TrafficThread::State::isKnownEndpoint(const http::Endpoint& endpoint) const
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

HomeSet::Hooks TrafficThread::State::makeHomeHooks()
{
    return {
        context.now,
        [this](query::UpstreamId id, const transport::UpstreamStatus& status) {
            noteStatus(id, status);
            peerServer.publishStatus({ context.directory.at(id).name, status });
        },
        [this](query::UpstreamId id, std::uint64_t fingerprint) {
            onCrash({ fingerprint, context.directory.at(id).name, identity.self.id.boot });
        },
        [this](const tables::Upstream& upstream) {
            tables::Upstream limited = upstream;
            limited.slots = fleet::shareOfLimit(upstream.slots, view->seen, view->listed);
            limited.connections = fleet::shareOfLimit(upstream.connections, view->seen, view->listed);
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
            const auto known = idsByName.find(remote.upstream);
            if (known == idsByName.end()) {
                callback({ tl::unexpected(routingError(remote.upstream, "the home does not know the upstream")) });
                return;
            }
            remote.request.upstream = known->second;
            if (!homes.submit(remote.request, callback))
                callback({ tl::unexpected(routingError(remote.upstream, "this node is not the home")) });
        },
        [this](transport::SubRequestId id, const std::string& upstream) {
            const auto known = idsByName.find(upstream);
            if (known != idsByName.end())
                homes.cancel(id, known->second);
        },
        [this](const std::string& upstream) -> std::optional<transport::UpstreamStatus> {
            const auto known = idsByName.find(upstream);
            const transport::UpstreamStatus* status = known == idsByName.end() ? nullptr : homes.status(known->second);
            return status ? std::optional(*status) : std::nullopt;
        },
        [this](const wire::IdentityRequest& request) { return handler.handleForOther(request); },
    };
}

void TrafficThread::State::sweep()
{
    homes.sweep();
    peerServer.sweep();
    for (const auto& [endpoint, link] : links)
        link->sweep();
    handler.moveWaiting();
}

void TrafficThread::State::noteStatus(query::UpstreamId id, const transport::UpstreamStatus& status)
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

// By the tables or the platform's list. An upstream's own word comes with its status.
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
        tablesSince = context.now();
    applyPools(*tables);
    context.tables = tables;
    if (view)
        applyHomes(view);
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

void TrafficThread::State::applyHomes(const std::shared_ptr<const HomeView>& newView)
{
    view = newView;
    if (!context.tables)
        return;
    homes.apply(*context.tables, [this](const tables::Upstream& upstream) {
        const fleet::NodeInfo* home = homeOf(upstream.name);
        return home && view->serving.contains(upstream.name) && isHere(upstream.name, *home);
    });
    for (const auto& [name, pool] : context.pools) {
        for (query::UpstreamId id : pool->upstreams) {
            if (isLeaving(context.directory.at(id)))
                setDraining(*pool, id, true);
        }
    }
    refreshLinks();
}

// Keeps one link for each home that some upstream of the tables has, and asks it for their status.
void TrafficThread::State::refreshLinks()
{
    std::map<std::shared_ptr<peers::PeerLink>, std::set<std::string>> wanted;
    for (const auto& [name, id] : idsByName) {
        const fleet::NodeInfo* home = homeOf(name);
        if (home && !isHere(name, *home))
            wanted[linkTo(name, *home)].insert(name);
    }
    std::erase_if(links, [&](const auto& entry) {
        const auto found = wanted.find(entry.second);
        if (found != wanted.end()) {
            entry.second->subscribeToStatuses(found->second);
            return false;
        }
        // Work in flight keeps a link that is not needed any more.
        if (entry.second->outstanding() > 0) {
            entry.second->subscribeToStatuses({});
            return false;
        }
        entry.second->close();
        return true;
    });
}

const fleet::NodeInfo* TrafficThread::State::homeOf(const std::string& upstream) const
{
    if (!view)
        return nullptr;
    const auto found = view->homes.find(upstream);
    return found == view->homes.end() ? nullptr : &found->second;
}

std::uint32_t TrafficThread::State::threadOf(const std::string& upstream, const fleet::NodeInfo& home) const
{
    return static_cast<std::uint32_t>(
        XXH3_64bits(upstream.data(), upstream.size()) % std::max<std::uint32_t>(1, home.trafficThreads));
}

bool TrafficThread::State::isHere(const std::string& upstream, const fleet::NodeInfo& home) const
{
    return home.id == identity.self.id && threadOf(upstream, home) == index;
}

std::shared_ptr<peers::PeerLink> TrafficThread::State::linkTo(const std::string& upstream, const fleet::NodeInfo& home)
{
    const std::string name = threadEndpoint(home, threadOf(upstream, home));
    std::shared_ptr<peers::PeerLink>& link = links[name];
    if (!link) {
        link = std::make_shared<peers::PeerLink>(context.io, *http::parseEndpoint(name), identity, peerCounters,
            peers::PeerLink::Hooks { context.now, [this] { return context.random(); },
                [this](const wire::RemoteStatus& remote) {
                    const auto known = idsByName.find(remote.upstream);
                    if (known != idsByName.end())
                        noteStatus(known->second, remote.status);
                } });
        link->start();
    }
    return link;
}

void TrafficThread::State::dispatch(transport::SubRequest request, transport::SubCallback callback)
{
    const std::string name = context.directory.at(request.upstream).name;
    const fleet::NodeInfo* home = homeOf(name);
    if (!home) {
        callback({ tl::unexpected(routingError(name, "the upstream has no home")) });
        return;
    }
    if (isHere(name, *home)) {
        if (!homes.submit(request, callback))
            callback({ tl::unexpected(routingError(name, "the upstream is being handed over")) });
        return;
    }
    const std::shared_ptr<peers::PeerLink> link = linkTo(name, *home);
    link->submit({ std::move(request), name, {} }, std::move(callback));
}

void TrafficThread::State::cancel(query::SubRequestId id, query::UpstreamId upstream)
{
    const std::string& name = context.directory.at(upstream).name;
    homes.cancel(id, upstream);
    const fleet::NodeInfo* home = homeOf(name);
    if (home && !isHere(name, *home))
        linkTo(name, *home)->cancel(id, name);
}

bool TrafficThread::State::isReady() const
{
    if (!context.tables)
        return false;
    const bool mayHaveGaps = context.now() - tablesSince >= ReadyWithGaps;
    return std::ranges::all_of(context.pools, [&](const auto& entry) {
        if (entry.second->pool.kind == tables::PoolKind::Service)
            return true;
        const auto plan = entry.second->catalog.bestPlan();
        return plan && (mayHaveGaps || coversAllShards(*plan));
    });
}

std::string TrafficThread::State::describe()
{
    boost::json::array upstreams;
    for (const auto& [id, link] : homes.links()) {
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
        { "crash_evidence", context.quarantine.evidenceCount() },
        { "quarantined", context.quarantine.quarantinedCount() },
    });
}

metrics::Snapshot TrafficThread::State::collectMetrics()
{
    transport::LinkCounters sum;
    std::size_t connections = 0;
    for (const auto& [id, link] : homes.links()) {
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
    gauge("home_upstreams", "Upstreams of which this node is the home.", homes.links().size());
    gauge("upstream_connections", "Connections open to upstreams.", connections);
    gauge("sub_requests_sent", "Sub-requests sent to upstreams that have a link now.", sum.sent);
    gauge("sub_requests_lost", "Sub-requests lost with their connection.", sum.lost);
    gauge("sub_requests_cancelled", "Sub-requests cancelled.", sum.cancelled);
    gauge("sub_requests_refused", "Sub-requests refused before they ran.", sum.refusedNotRun);
    gauge("silent_connections_dropped", "Connections to upstreams dropped as silent.", sum.silentDropped);
    gauge("identities_outstanding", "Identities issued that have not expired.", context.identities.outstanding());
    gauge("quarantined_requests", "Requests not sent because they crash upstreams.",
        context.quarantine.quarantinedCount());
    gauge("caller_connections", "Callers' connections open.", server.counters().open);
    gauge("malformed_requests", "Callers' requests refused as malformed or oversized.",
        server.counters().malformedRequests + server.counters().oversizedRequests);
    gauge("peer_frames_sent", "Frames sent to other nodes.", peerCounters.framesSent);
    gauge("peer_bytes_sent", "Bytes sent to other nodes.", peerCounters.bytesSent);
    gauge("peer_frames_refused", "Frames of other nodes refused.", peerCounters.refused);
    gauge("peer_connections_lost", "Connections to other nodes lost.", peerCounters.connectionsLost);
    return context.metrics.snapshot();
}

} // namespace flamingousher::traffic
