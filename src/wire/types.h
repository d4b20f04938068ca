#pragma once

#include "fleet/fleetcore.h"
#include "transport/types.h"

#include <string>
#include <variant>
#include <vector>

namespace flamingousher::wire {

// Number of the protocol between processes. Frames of another number are refused.
inline constexpr std::uint16_t ProtocolVersion = 1;

inline constexpr std::size_t MaximumFrameBytes = 8 * 1024 * 1024;

// A datagram larger than this is not sent, so that it is not fragmented.
inline constexpr std::size_t MaximumDatagramBytes = 8 * 1024;

// First message in either direction of a connection.
struct Hello {
    fleet::NodeInfo from;
    std::uint64_t nonce { 0 };

    bool operator==(const Hello&) const = default;
};

// A sub-request on its way to the home of its upstream, which is known by name between nodes.
struct RemoteRequest {
    transport::SubRequest request;
    std::string upstream;
    base::Duration remaining { 0 }; // until the deadline

    bool operator==(const RemoteRequest&) const = default;
};

struct RemoteResult {
    transport::SubRequestId id { 0 };
    transport::SubResult result;

    bool operator==(const RemoteResult&) const = default;
};

struct RemoteStatus {
    std::string upstream;
    transport::UpstreamStatus status;

    bool operator==(const RemoteStatus&) const = default;
};

struct RemoteCancel {
    transport::SubRequestId id { 0 };
    std::string upstream;

    bool operator==(const RemoteCancel&) const = default;
};

// What one side has collected for the other.
struct Batch {
    std::vector<RemoteRequest> requests;
    std::vector<RemoteResult> results;
    std::vector<RemoteCancel> cancels;
    std::vector<RemoteStatus> statuses;
    std::vector<std::string> wantedStatuses; // names of upstreams

    bool operator==(const Batch&) const = default;

    bool isEmpty() const
    {
        return requests.empty() && results.empty() && cancels.empty() && statuses.empty() && wantedStatuses.empty();
    }
};

// A request passed on to the process that issued its identity.
struct IdentityRequest {
    std::uint64_t id { 0 };
    transport::ServiceCall call;
    std::string caller;
    base::Duration remaining { 0 };

    bool operator==(const IdentityRequest&) const = default;
};

struct IdentityResult {
    std::uint64_t id { 0 };
    transport::ServiceAnswer answer;

    bool operator==(const IdentityResult&) const = default;
};

using Content = std::variant<fleet::FleetMessage, Hello, Batch, IdentityRequest, IdentityResult>;

} // namespace flamingousher::wire
