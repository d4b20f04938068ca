#pragma once

#include "base/error.h"
#include "query/types.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace flamingousher::transport {

using query::SubRequestId;
using query::UpstreamId;

// Maximum time allowed for one sub-request. Shorter than the takeover delay of a new upstream owner, so that
// no sub-request of the previous owner is still running when the new one starts.
constexpr base::Duration MaxSubRequestDuration = std::chrono::seconds(2);

// A search in one shard of one index version.
struct SearchCall {
    query::ServedShard target;
    std::string text;
    std::uint32_t limit { 10 };

    bool operator==(const SearchCall&) const = default;
};

// A complete request forwarded to a single-owner service.
struct ServiceCall {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string identity; // empty for idempotent requests

    bool operator==(const ServiceCall&) const = default;
};

// A unit of work for one upstream.
struct SubRequest {
    SubRequestId id { 0 };
    UpstreamId upstream { 0 };
    base::Rank rank { base::Rank::Normal };
    std::string caller;
    base::TimePoint deadline;
    std::uint64_t fingerprint { 0 }; // fingerprint of the caller's request
    std::variant<SearchCall, ServiceCall> call;
    std::uint32_t knownCrashes { 0 }; // of the fingerprint, when it was sent

    bool operator==(const SubRequest&) const = default;
};

struct ServiceAnswer {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const ServiceAnswer&) const = default;
};

using SubResponse = std::variant<query::SubAnswer, ServiceAnswer>;

// Outcome of a sub-request. Every sub-request that is not cancelled gets exactly one.
struct SubResult {
    tl::expected<SubResponse, base::Error> value;
    base::Duration queued { 0 }; // time spent waiting for a slot
    base::Duration served { 0 }; // time from sending to the response

    bool operator==(const SubResult&) const = default;
};

using SubCallback = std::function<void(SubResult)>;

// Status reported by an upstream.
struct UpstreamStatus {
    bool isDraining { false };
    double load { 0 }; // informational only
    std::vector<query::ServedShard> served;

    bool operator==(const UpstreamStatus&) const = default;
};

} // namespace flamingousher::transport
