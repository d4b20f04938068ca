#pragma once

#include "http/types.h"
#include "identity/identityregistry.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/trafficcontext.h"

#include <tl/expected.hpp>

namespace flamingousher::traffic {

// Sends each request unchanged to one upstream of a service without shards. A non-idempotent request needs an
// identity and is sent again only if it has certainly not run.
class ServiceHandler {
public:
    explicit ServiceHandler(TrafficContext&);

    http::Response handle(const http::Request&, CallerRequest&, PoolState&);

    // Issues an identity for a non-idempotent request.
    http::Response issueIdentity(const http::Request&);

    // Runs a request that another process has forwarded because this process issued its identity.
    transport::ServiceAnswer runForwarded(const http::Request&, CallerRequest&, PoolState&);

private:
    using Answer = tl::expected<transport::ServiceAnswer, base::Error>;

    Answer run(CallerRequest&, PoolState&, const transport::ServiceCall&);
    Answer runOnce(CallerRequest&, const transport::ServiceCall&, query::UpstreamId);
    Answer runWithIdentity(CallerRequest&, PoolState&, const transport::ServiceCall&);
    Answer runIssuedHere(CallerRequest&, PoolState&, const transport::ServiceCall&);
    http::Response respond(const http::Request&, CallerRequest&, Answer);

    TrafficContext& context_;
};

} // namespace flamingousher::traffic
