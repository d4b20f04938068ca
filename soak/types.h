#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::soak {

using base::TimePoint;

// One request of a caller. Its identifier is used once.
struct SentRequest {
    std::string id;
    std::size_t vm { 0 };
    std::uint32_t start { 0 }; // how often the VM's process had been started
    bool asksShards { false }; // otherwise it may run once at most
    base::Duration allowed { 0 };
    TimePoint at;

    bool operator==(const SentRequest&) const = default;
};

struct Part {
    std::string service;
    std::string requestId;

    bool operator==(const Part&) const = default;
};

// A complete answer as the caller has read it.
struct ReadAnswer {
    std::uint32_t status { 0 };
    std::vector<Part> parts;
    std::uint32_t missing { 0 };
    std::string body;

    bool operator==(const ReadAnswer&) const = default;
};

// A configuration as the operator has published it.
struct Published {
    std::uint64_t version { 0 };
    std::vector<std::string> shards;
    double leastCoverage { 1 };
    std::size_t recordLimit { 0 };
    TimePoint at;

    bool operator==(const Published&) const = default;
};

} // namespace flamingousher::soak
