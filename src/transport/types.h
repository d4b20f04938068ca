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

// Longest time given to one sub-request. Shorter than the hold-off of a home that takes over, so that nothing of the
// previous home still runs then.
constexpr base::Duration LongestSubRequest = std::chrono::seconds(2);

// Search for a text in one shard of one index version.
struct SearchCall {
    query::ServedShard target;
    std::string text;
    std::uint32_t limit { 10 };

    bool operator==(const SearchCall&) const = default;
};

// A whole request passed to a single-owner service.
struct ServiceCall {
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string identity; // empty for idempotent requests

    bool operator==(const ServiceCall&) const = default;
};

// Work for one upstream.
struct SubRequest {
    SubRequestId id { 0 };
    UpstreamId upstream { 0 };
    base::Rank rank { base::Rank::Normal };
    std::string caller;
    base::TimePoint deadline;
    std::uint64_t fingerprint { 0 }; // of the caller's request
    std::variant<SearchCall, ServiceCall> call;

    bool operator==(const SubRequest&) const = default;
};

struct ServiceAnswer {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const ServiceAnswer&) const = default;
};

using SubValue = std::variant<query::SubAnswer, ServiceAnswer>;

// The end of a sub-request. Exactly one follows each sub-request.
struct SubResult {
    tl::expected<SubValue, base::Error> value;
    base::Duration queued { 0 }; // time spent waiting for a slot
    base::Duration served { 0 }; // time from the send to the answer

    bool operator==(const SubResult&) const = default;
};

using SubCallback = std::function<void(SubResult)>;

// What an upstream says of itself.
struct UpstreamStatus {
    bool isDraining { false };
    double load { 0 }; // informative only
    std::vector<query::ServedShard> served;

    bool operator==(const UpstreamStatus&) const = default;
};

} // namespace flamingousher::transport
