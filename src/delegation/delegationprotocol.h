#pragma once

#include "base/error.h"
#include "http/types.h"
#include "upstreamclient/types.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace flamingousher::delegation {

// The limits under which a delegate runs a request. The request itself is forwarded as the caller sent it, and the
// response is passed back unchanged.
struct DelegatedLimits {
    std::uint64_t version { 0 }; // of the configuration: the delegate must have the same in force
    base::Duration remaining { 0 }; // until the deadline, when the request was sent
    base::Duration goalLead { 0 }; // the latency goal ends this long before the deadline
    // The delegating VM gives up without a confirmation within this time, and runs the request itself. Until then a
    // delegate sends no hedges. 0 if the delegating VM cannot run the request.
    base::Duration confirmWithin { 0 };

    bool operator==(const DelegatedLimits&) const = default;
};

// Returns the request with the limits that do not depend on the time at which it is sent.
std::shared_ptr<const upstreamclient::OutboundRequest> makeDelegatedRequest(const upstreamclient::OutboundRequest&,
    std::uint64_t version, base::Duration goalLead, base::Duration confirmWithin);

// Encodes delegated requests and decodes the delegates' responses. A reply of kind NotRun is a refusal: no upstream has
// seen the request. All other responses are final.
upstreamclient::UpstreamProtocol makeDelegationProtocol();

// Reads the limits from a delegated request and removes them, which leaves the caller's request.
tl::expected<DelegatedLimits, base::Error> takeLimits(http::Request&);

// Marks a response with the request that it answers.
void markResponse(http::Response&, const std::string& requestId);

// Refuses a delegated request before any of its work has started.
http::Response refuseDelegated(const http::Request&, const std::string& reason);

// Removes the fields of this protocol from a response.
void removeMarks(http::Response&);

} // namespace flamingousher::delegation
