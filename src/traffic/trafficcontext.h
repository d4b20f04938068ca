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

// Sends sub-requests to the home of their upstream, on this node or another.
struct Dispatcher {
    std::function<void(transport::SubRequest, transport::SubCallback)> submit;
    std::function<void(query::SubRequestId, query::UpstreamId)> cancel;

    // Passes a request on to the process that issued its identity.
    std::function<tl::expected<transport::ServiceAnswer, base::Error>(
        const identity::Identity&, const transport::ServiceCall&, const std::string& caller, base::Duration remaining)>
        forwardToIssuer;
};

// What the request handlers of one traffic thread share. Used on that thread only.
struct TrafficContext {
    // identityEndpoint, boot: where and as which incarnation this thread vouches for identities.
    TrafficContext(boost::asio::io_context& ioContext, const std::string& incarnationText,
        const std::string& identityEndpoint, std::uint64_t boot, std::uint64_t seed);

    boost::asio::io_context& io;
    std::string incarnation; // text that no other process incarnation uses
    std::function<base::TimePoint()> now;
    std::mt19937_64 random;
    std::shared_ptr<const tables::Tables> tables; // null until a configuration is known
    transport::UpstreamDirectory directory;
    query::ReplicaChooser chooser;
    std::map<std::string, std::shared_ptr<PoolState>> pools;
    identity::IdentityRegistry identities;
    quarantine::Quarantine quarantine;
    accounts::RecordStore records;
    metrics::Registry metrics;
    Dispatcher dispatcher;
    std::uint64_t lastId { 0 };

    // A number this incarnation has not used before.
    std::uint64_t nextId() { return ++lastId; }

    // Null when the tables have no such pool. Work in progress keeps a pool that an edit has removed.
    std::shared_ptr<PoolState> pool(const std::string& name) const;

    // Suspends the calling fiber.
    void sleepFor(base::Duration);
};

} // namespace flamingousher::traffic
