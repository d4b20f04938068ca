#pragma once

#include "balancing/memorybudget.h"
#include "balancing/types.h"
#include "base/error.h"
#include "http/client.h"
#include "http/types.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace flamingousher::upstreamclient {

using balancing::AttemptId;
using balancing::UpstreamNotice;

// A caller's request as forwarded to upstreams, shared by all its attempts.
struct OutboundRequest {
    std::string requestId;
    std::string head; // request line and the header fields that all attempts share, without the empty line
    std::string body;
    std::uint64_t fingerprint { 0 }; // equal for requests for the same work of the same caller
};

enum class ReplyKind : std::uint8_t {
    Success,
    Failure, // ran or may have run, without success
    NotRun, // the upstream states that it did not run the request
    WrongUpstream, // another process answers at this address; the request was not run
};

// An upstream's response, as decoded by the protocol.
struct UpstreamReply {
    ReplyKind kind { ReplyKind::Failure };
    std::string requestId; // of the answered request; empty when the response has none
    std::string stamp; // issued by the upstream as proof of this answer; may be empty
    UpstreamNotice notice;
    std::optional<std::chrono::seconds> idleTimeout; // after which the upstream closes an idle connection
    http::Response response;
    // The caller may get this failure: the upstream itself sent it, and it promises nothing that is not proved.
    bool isForwardable { false };
    std::shared_ptr<balancing::MemoryBudget::Charge> memory; // of the response; may be null
};

// Encodes requests to upstreams and decodes their responses.
struct UpstreamProtocol {
    // Returns the bytes of one attempt. remaining: time until the caller's deadline.
    std::function<std::string(const OutboundRequest&, const std::string& upstreamId, base::Duration remaining)> encode;
    std::function<UpstreamReply(http::Response&&)> decode;
};

struct Attempt {
    AttemptId id { 0 };
    std::shared_ptr<const OutboundRequest> request;
    base::TimePoint deadline;
    bool isAbortable { true }; // may be aborted before its deadline once dropped
    std::size_t maxResponseBytes { 8 * 1024 * 1024 }; // of the body
    std::function<void()> onInterim; // called for each interim response; may be empty

    // Called if the upstream's process has ended while it may have run the attempt, also after the attempt was dropped.
    // It takes some time to find out, so the result of the attempt comes first. May be empty.
    std::function<void()> onUpstreamCrashed;
};

// Result of an attempt: the upstream's reply, or an error with the known run state of the request.
using AttemptResult = tl::expected<UpstreamReply, base::Error>;
using AttemptCallback = std::function<void(AttemptResult)>;

// How a dropped attempt ended.
enum class DroppedOutcome : std::uint8_t {
    Answered,
    Aborted,
    NeverSent,
};

// Whether the network lets this VM reach an upstream, as far as its connections show.
enum class Reach : std::uint8_t {
    Unknown, // no connection, and the last one that was opened did not fail
    Reached, // a connection is established
    Unreached, // the last connection could not be opened, and no other is known to work
};

std::string_view toString(Reach);

struct PoolSettings {
    std::string upstreamId;
    http::Endpoint endpoint;
    std::size_t maxConnections { 1 };
    std::size_t warmConnections { 1 }; // kept open without requests
    // A dropped attempt is aborted after this time. Upstreams that pause for 0.1 to 0.15 s still answer within the
    // default time, so their connection is kept.
    base::Duration droppedAttemptTimeout { std::chrono::milliseconds(200) };

    bool operator==(const PoolSettings&) const = default;
};

struct PoolCounters {
    std::uint64_t opened { 0 };
    std::uint64_t openFailed { 0 };
    std::uint64_t refusedAtLimit { 0 }; // connections reset by the upstream before any answer
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t lost { 0 };
    std::uint64_t unmatched { 0 }; // responses without a matching attempt
    std::uint64_t silentDropped { 0 };
    std::uint64_t aborted { 0 };
    std::uint64_t crashed { 0 }; // times that the upstream ended while it may have run attempts
    std::uint64_t evicted { 0 }; // attempts ended since the VM held too many bytes of responses
    std::uint64_t invalid { 0 }; // attempts ended by bytes that are no valid response
    std::uint64_t unexpectedErrors { 0 }; // connections closed by an exception while a response was handled
};

} // namespace flamingousher::upstreamclient
