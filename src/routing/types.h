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

// Maps a host and path prefix either to weighted services, one of which handles each request, or to a list of shards
// that are all queried.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // starts and ends with a slash
    bool isIdempotent { false };
    std::chrono::milliseconds timeout { 0 }; // max time to handle a request
    std::chrono::milliseconds goal { 0 }; // latency goal: a later answer is of less use
    std::uint32_t priority { 0 }; // 0 is the highest
    std::uint32_t maxAttempts { 1 }; // including the first one, per shard
    std::vector<WeightedService> services;
    std::vector<std::string> shards; // one service name per shard
    std::uint32_t recordLimit { 0 }; // max records in a merged response; the greatest are kept
    double minCoverage { 1 }; // min fraction of shards that must answer
    std::vector<std::string> allowedRegions; // whose upstreams may run the requests; empty: all

    bool operator==(const Route&) const = default;

    bool isFanout() const { return !shards.empty(); }
};

struct Service {
    std::string name;
    std::uint32_t maxConnections { 0 }; // per upstream, over all VMs
    double warmUpRate { 0 }; // requests per second from all VMs that a cold upstream tolerates; 0: not stated

    bool operator==(const Service&) const = default;
};

// Limits on the size of callers' requests and on the time that a connection may spend on headers or stay idle.
struct CallerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 256 * 1024 };
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    bool operator==(const CallerLimits&) const = default;
};

// A validated configuration. Not modified after it has been built.
struct Configuration {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;

    bool operator==(const Configuration&) const = default;
};

} // namespace flamingousher::routing
