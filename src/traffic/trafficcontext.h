#pragma once

#include "accounts/recordstore.h"
#include "base/types.h"
#include "identity/identityregistry.h"
#include "metrics/registry.h"
#include "quarantine/quarantine.h"
#include "query/replicachooser.h"
#include "tables/types.h"
#include "traffic/poolstate.h"
#include "transport/types.h"
#include "transport/upstreamdirectory.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace flamingousher::traffic {

// Sends sub-requests to the owner of their upstream, on this node or another.
struct Dispatcher {
    std::function<void(transport::SubRequest, transport::SubCallback)> submit;
    std::function<void(query::SubRequestId, query::UpstreamId)> cancel;

    // Forwards a request to the process that issued its identity.
    std::function<tl::expected<transport::ServiceAnswer, base::Error>(
        const identity::Identity&, const transport::ServiceCall&, const std::string& caller, base::Duration remaining)>
        forwardToIssuer;
};

// State shared by the request handlers of one traffic thread. Accessed only on that thread.
struct TrafficContext {
    // identityEndpoint, boot: the endpoint and incarnation in the identities that this thread issues.
    TrafficContext(boost::asio::io_context& ioContext, const std::string& incarnationText,
        const std::string& identityEndpoint, std::uint64_t boot, std::uint64_t seed);

    boost::asio::io_context& io;
    std::string incarnation; // unique among all process incarnations
    std::function<base::TimePoint()> now;
    std::mt19937_64 random;
    std::shared_ptr<const tables::Tables> tables; // null until a configuration is loaded
    transport::UpstreamDirectory directory;
    query::ReplicaChooser chooser;
    std::map<std::string, std::shared_ptr<PoolState>> pools;
    identity::IdentityRegistry identities;
    quarantine::Quarantine quarantine;
    std::function<void(const quarantine::CrashRecord&)> reportCrash; // to the other threads and nodes
    accounts::RecordStore records;
    metrics::Registry metrics;
    Dispatcher dispatcher;
    std::uint64_t lastId { 0 };

    // Returns a number that is unique within this incarnation.
    std::uint64_t nextId() { return ++lastId; }

    // Record that an upstream has ended while it ran a request, or has responded to it, and tell the other threads and
    // nodes.
    void onCrash(quarantine::Fingerprint, std::uint32_t crashesWhenSent, query::UpstreamId);
    void onAnswered(quarantine::Fingerprint);

    // Returns null if the tables have no such pool. Work in progress keeps a removed pool alive.
    std::shared_ptr<PoolState> pool(const std::string& name) const;

    // Suspends the calling fiber.
    void sleepFor(base::Duration);
};

} // namespace flamingousher::traffic
