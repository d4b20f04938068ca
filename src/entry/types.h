#pragma once

#include "base/error.h"
#include "http/types.h"
#include "routing/types.h"
#include "upstreamclient/types.h"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::entry {

// A caller's request, decoded by the CallerProtocol.
struct DecodedRequest {
    std::string host;
    std::string path; // without the query
    std::string requestId;
    std::optional<std::chrono::milliseconds> timeout;
    std::shared_ptr<const upstreamclient::OutboundRequest> outbound;
};

// The replies of all shards to one request, to be merged into one response.
struct GatheredAnswer {
    std::vector<upstreamclient::UpstreamReply> replies;
    std::uint32_t missingShards { 0 }; // number of shards without a reply
    std::uint32_t recordLimit { 0 };
};

// Decodes callers' requests and encodes the responses to them.
struct CallerProtocol {
    std::function<tl::expected<DecodedRequest, base::Error>(const http::Request&)> decode;

    // Merges the replies of the shards and reports how many are missing.
    std::function<http::Response(const http::Request&, const GatheredAnswer&)> encodeGathered;

    // Passes on the response of one upstream unchanged.
    std::function<http::Response(const http::Request&, upstreamclient::UpstreamReply&&)> encodeSingle;

    // retryAfter: zero if the caller need not wait. May state "not run" only if the error proves that no upstream ran
    // the request.
    std::function<http::Response(
        const http::Request&, const std::string& requestId, const base::Error&, base::Duration retryAfter)>
        encodeError;
};

struct EntrySettings {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions; // region of each availability zone
    http::Endpoint callers;
    std::optional<http::Endpoint> fanouts; // accepts requests that other VMs delegate
    double retryRatio { 0.2 }; // extra attempts per request to a service, over all VMs
    double retrySlack { 0 }; // extra attempts per window regardless of the requests, over all VMs
    base::Duration retryWindow { std::chrono::seconds(10) };
    std::size_t assumedVmCount { 12 }; // number of VMs assumed until the fleet is known

    // Bound on the requests of all VMs to a cold upstream in a second, from the rate that its service states.
    double warmUpFactor { 1 };
    double warmUpSlack { 0 };

    std::size_t memoryBytes { 160'000'000 }; // of the VM
    std::size_t descriptors { 4'096 }; // that the process may have open

    // A VM whose tasks run later than this refuses delegated requests: it has no time left for those of others.
    base::Duration maxDelegateSchedulingDelay { std::chrono::milliseconds(15) };

    bool operator==(const EntrySettings&) const = default;
};

// Times of a planned stop.
struct ShutdownTimes {
    base::TimePoint unlistedAt; // from then on the load balancer opens no connections to this VM
    base::TimePoint endsAt; // the process ends, also with requests in progress

    bool operator==(const ShutdownTimes&) const = default;

    // Returns whether a request that arrives now is answered before the end. While the load balancer still sends its
    // usual traffic, that is expected of requests that meet their goal; later the few that come must be certain.
    bool admits(base::TimePoint now, base::TimePoint goal, base::TimePoint deadline) const
    {
        return (now < unlistedAt ? goal : deadline) <= endsAt;
    }
};

} // namespace flamingousher::entry
