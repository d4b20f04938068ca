#pragma once

#include "fleet/fleetcore.h"
#include "transport/types.h"

#include <string>
#include <variant>
#include <vector>

namespace flamingousher::wire {

// Version of the protocol between processes. Messages of another version are refused.
inline constexpr std::uint16_t ProtocolVersion = 1;

inline constexpr std::size_t MaxFrameBytes = 8 * 1024 * 1024;

// Larger datagrams are not sent, to avoid IP fragmentation.
inline constexpr std::size_t MaxDatagramBytes = 8 * 1024;

// First message in each direction of a connection.
struct Hello {
    fleet::NodeInfo from;
    std::uint64_t nonce { 0 };

    bool operator==(const Hello&) const = default;
};

// A sub-request for an upstream owned by another node. Nodes identify upstreams by name.
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

// Messages batched into one frame.
struct Batch {
    std::vector<RemoteRequest> requests;
    std::vector<RemoteResult> results;
    std::vector<RemoteCancel> cancels;
    std::vector<RemoteStatus> statuses;
    std::vector<std::string> statusSubscriptions; // upstream names

    bool operator==(const Batch&) const = default;

    bool isEmpty() const
    {
        return requests.empty() && results.empty() && cancels.empty() && statuses.empty()
            && statusSubscriptions.empty();
    }
};

// A request forwarded to the process that issued its identity.
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
