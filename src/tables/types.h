#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingousher::tables {

// Size limit of a value in the configuration service.
inline constexpr std::size_t MaximumTableBytes = 1'000'000;

// Number that the configuration service assigns to each edit; increases with every edit.
using Revision = std::uint64_t;

enum class PoolKind : std::uint8_t {
    Search, // Each query is sent to one replica of every shard.
    Service, // Each request is sent to a single upstream.
};

// Administrative state of an upstream, set by an operator.
enum class UpstreamState : std::uint8_t {
    Active,
    Draining,
};

struct Upstream {
    std::string name;
    std::string pool;
    std::string address; // IP address
    std::uint16_t port { 0 };
    std::uint32_t shard { 0 };
    std::string zone;
    std::uint32_t slots { 0 };
    std::uint32_t connections { 0 };
    UpstreamState state { UpstreamState::Active };

    bool operator==(const Upstream&) const = default;

    // "address:port"
    std::string endpoint() const;
};

struct Pool {
    std::string name;
    PoolKind kind { PoolKind::Search };
    std::uint32_t shards { 1 };
    std::vector<Upstream> upstreams; // sorted by name

    bool operator==(const Pool&) const = default;
};

struct Route {
    std::string name;
    std::string method;
    std::string pathPrefix;
    std::string pool;
    base::Rank rank { base::Rank::Normal };
    std::chrono::milliseconds target { 0 }; // target latency of a response
    double share { 0 }; // fraction of each upstream's slot time reserved for this route's rank, 0 to 1
    bool isIdempotent { true };
    bool allowsPartial { true };
    double minCoverage { 1 }; // fraction of shards, 0 to 1
    bool allowsHedging { true };

    bool operator==(const Route&) const = default;
};

// Routes and pools of one accepted revision. Immutable once built.
struct Tables {
    Revision revision { 0 };
    std::vector<Route> routes; // sorted by name
    std::vector<Pool> pools; // sorted by name

    bool operator==(const Tables&) const = default;

    const Pool* pool(const std::string& name) const;

    // Returns the route with the longest matching path prefix, or null.
    const Route* routeFor(std::string_view method, std::string_view path) const;
};

// Validation fault in a table. Section and key are empty if the fault does not belong to one.
struct Fault {
    std::string table;
    std::string section;
    std::string key;
    std::string message;

    auto operator<=>(const Fault&) const = default;
};

std::string toString(const Fault&);

} // namespace flamingousher::tables
