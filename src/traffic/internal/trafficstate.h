#pragma once

#include "http/server.h"
#include "peers/peerlink.h"
#include "peers/peerserver.h"
#include "traffic/ownedupstreams.h"
#include "traffic/ownershipview.h"
#include "traffic/requesthandler.h"
#include "traffic/trafficcontext.h"
#include "traffic/trafficthread.h"

#include <map>
#include <memory>
#include <string>

namespace flamingousher::traffic {

// The state of one traffic thread. Accessed only on that thread.
struct TrafficThread::State {
    State(boost::asio::io_context&, const peers::PeerIdentity&, std::uint32_t threadIndex, CrashListener);

    void sweep();
    void applyTables(const std::shared_ptr<const tables::Tables>&);
    void applyOwnership(const std::shared_ptr<const OwnershipView>&);
    bool isReady() const;
    std::string describe();
    metrics::Snapshot collectMetrics();

    // Sends a sub-request to the owner of its upstream, on this thread, another thread or another node.
    void dispatch(transport::SubRequest, transport::SubCallback);
    void cancel(query::SubRequestId, query::UpstreamId);

    tl::expected<transport::ServiceAnswer, base::Error> forwardToIssuer(
        const identity::Identity&, const transport::ServiceCall&, const std::string& caller, base::Duration remaining);
    bool isFleetEndpoint(const http::Endpoint&) const;

    OwnedUpstreams::Hooks makeOwnedUpstreamsHooks();
    peers::PeerServer::Hooks makePeerServerHooks();
    void applyPools(const tables::Tables&);
    void refreshLinks();
    void updateStatus(query::UpstreamId, const transport::UpstreamStatus&);
    void setDraining(PoolState&, query::UpstreamId, bool isDraining);
    bool isDrained(const tables::Upstream&) const;
    bool isLeaving(const tables::Upstream&) const;
    const fleet::NodeInfo* ownerOf(const std::string& upstream) const;
    std::uint32_t threadOf(const std::string& upstream, const fleet::NodeInfo& owner) const;
    bool isOwnedHere(const std::string& upstream, const fleet::NodeInfo& owner) const;
    std::shared_ptr<peers::PeerLink> peerLinkTo(const std::string& upstream, const fleet::NodeInfo& owner);

    const peers::PeerIdentity& identity;
    std::uint32_t index;
    TrafficContext context;
    std::shared_ptr<const OwnershipView> view;
    std::map<std::string, query::UpstreamId> idsByName; // upstreams of the current tables
    base::TimePoint firstTablesAt;
    RequestHandler handler;
    OwnedUpstreams ownedUpstreams;
    peers::PeerCounters peerCounters;
    std::map<std::string, std::shared_ptr<peers::PeerLink>> links; // by endpoint
    peers::PeerServer peerServer;
    http::Server server;
};

} // namespace flamingousher::traffic
