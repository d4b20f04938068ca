#pragma once

#include "http/types.h"
#include "identity/identityregistry.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/trafficcontext.h"

#include <tl/expected.hpp>

namespace flamingousher::traffic {

// Passes requests whole to one upstream of a single-owner service. A non-idempotent request needs an identity
// and is sent at most once, unless it is proved that it was not run.
class ServiceHandler {
public:
    explicit ServiceHandler(TrafficContext&);

    http::Response handle(const http::Request&, CallerRequest&, PoolState&);

    // Issues an identity for a non-idempotent request.
    http::Response issueIdentity(const http::Request&);

    // Runs a request that another process has passed on, because this one issued its identity.
    transport::ServiceAnswer runForOther(const http::Request&, CallerRequest&, PoolState&);

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
