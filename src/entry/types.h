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

// A caller's request as the protocol in use understands it.
struct CallerCall {
    std::string host;
    std::string path; // without the query
    std::string requestId;
    std::optional<std::chrono::milliseconds> timeAllowed;
    std::shared_ptr<const upstreamclient::OutboundRequest> outbound;
};

// The parts of one answer over shards.
struct GatheredAnswer {
    std::vector<upstreamclient::UpstreamReply> parts;
    std::uint32_t missing { 0 }; // shards that are left out
    std::uint32_t recordLimit { 0 };
};

// How callers' requests are read and their responses are written.
struct CallerProtocol {
    std::function<tl::expected<CallerCall, base::Error>(const http::Request&)> decode;

    // The merged answer, with what is missing.
    std::function<http::Response(const http::Request&, const GatheredAnswer&)> encodeGathered;

    // One upstream's answer, unchanged.
    std::function<http::Response(const http::Request&, upstreamclient::UpstreamReply&&)> encodeSingle;

    // retryAfter: zero when the caller need not wait. Only errors that prove "not run" may promise so.
    std::function<http::Response(
        const http::Request&, const std::string& requestId, const base::Error&, base::Duration retryAfter)>
        encodeError;
};

struct EntrySettings {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions; // by availability zone
    http::Endpoint callers;
    double retryRatio { 0.2 }; // extra attempts for each request at a service, over all VMs
    double retrySlack { 0 }; // extra attempts in a window, over all VMs
    base::Duration retryWindow { std::chrono::seconds(10) };
    std::size_t assumedVms { 12 }; // until the VMs of the fleet are known

    bool operator==(const EntrySettings&) const = default;
};

} // namespace flamingousher::entry
