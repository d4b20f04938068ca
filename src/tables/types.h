#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingousher::tables {

// Service configuration values are at most one megabyte.
inline constexpr std::size_t MaximumTableBytes = 1'000'000;

// Number that the configuration service gives to each edit. Grows with every edit.
using Revision = std::uint64_t;

enum class PoolKind : std::uint8_t {
    Search, // Every query asks one replica of every shard.
    Service, // Every request goes whole to a single upstream.
};

// An administrative state that an operator sets on an upstream.
enum class UpstreamState : std::uint8_t {
    Active,
    Draining,
};

struct Upstream {
    std::string name;
    std::string pool;
    std::string address; // IP number
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
    std::chrono::milliseconds target { 0 }; // latency within which an answer is due
    double share { 0 }; // fraction of each upstream's slot time kept for this route's rank, 0 to 1
    bool isIdempotent { true };
    bool allowsPartial { true };
    double leastCoverage { 1 }; // fraction of shards, 0 to 1
    bool allowsHedging { true };

    bool operator==(const Route&) const = default;
};

// One accepted edit of both tables. Immutable once built.
struct Tables {
    Revision revision { 0 };
    std::vector<Route> routes; // sorted by name
    std::vector<Pool> pools; // sorted by name

    bool operator==(const Tables&) const = default;

    const Pool* pool(const std::string& name) const;

    // The route with the longest matching path prefix, or null.
    const Route* routeFor(std::string_view method, std::string_view path) const;
};

// A fault found in a table: the table, its section and key, and what is wrong.
struct Fault {
    std::string table;
    std::string section;
    std::string key;
    std::string message;

    auto operator<=>(const Fault&) const = default;
};

std::string toString(const Fault&);

} // namespace flamingousher::tables
