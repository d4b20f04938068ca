#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::soak {

using base::TimePoint;

// A request of a caller with a unique ID.
struct SentRequest {
    std::string id;
    std::size_t vm { 0 };
    std::uint32_t start { 0 }; // value of VmProcess::startCount() when the connection was opened
    bool isFanout { false }; // false: a non-idempotent request that may run at most once
    base::Duration timeout { 0 };
    TimePoint at;

    bool operator==(const SentRequest&) const = default;
};

struct ResponseStamp {
    std::string service;
    std::string requestId;

    bool operator==(const ResponseStamp&) const = default;
};

// A complete answer received by a caller.
struct ReceivedAnswer {
    std::uint32_t status { 0 };
    std::vector<ResponseStamp> stamps;
    std::uint32_t missing { 0 };
    std::string body;

    bool operator==(const ReceivedAnswer&) const = default;
};

// A configuration published by the operator.
struct PublishedConfiguration {
    std::uint64_t version { 0 };
    std::vector<std::string> shards;
    double minCoverage { 1 };
    std::size_t recordLimit { 0 };
    TimePoint at;

    bool operator==(const PublishedConfiguration&) const = default;
};

} // namespace flamingousher::soak
