#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingousher::routing {

struct WeightedService {
    std::string service;
    double weight { 1 };

    bool operator==(const WeightedService&) const = default;
};

// Where requests of one host and path prefix go. Either one of the services, by weight, or all of the shards.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    bool isIdempotent { false };
    std::chrono::milliseconds timeout { 0 }; // longest time that a request may be kept
    std::chrono::milliseconds goal { 0 }; // time within which an answer is of full use
    std::uint32_t priority { 0 }; // 0 is the most urgent
    std::uint32_t mostAttempts { 1 }; // upstreams that may run one request, for each shard
    std::vector<WeightedService> services;
    std::vector<std::string> shards; // services
    std::uint32_t recordLimit { 0 }; // greatest records of all shards in an answer
    double leastCoverage { 1 }; // fraction of the shards below which there is no answer

    bool operator==(const Route&) const = default;

    bool asksShards() const { return !shards.empty(); }
};

struct Service {
    std::string name;
    std::uint32_t mostConnections { 0 }; // to one upstream, from all callers together

    bool operator==(const Service&) const = default;
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 256 * 1024 };
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    bool operator==(const CallerLimits&) const = default;
};

// One accepted configuration. Immutable once built.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;

    bool operator==(const Configuration&) const = default;
};

} // namespace flamingousher::routing
