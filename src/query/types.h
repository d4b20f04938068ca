#pragma once

#include "base/error.h"
#include "base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingousher::query {

// Handle of an upstream, stable for the lifetime of the process.
using UpstreamId = std::uint32_t;

// Identifies a sub-request within one process incarnation, never reused.
using SubRequestId = std::uint64_t;

// Number of a published index. Zero means none.
using IndexVersion = std::uint64_t;

// One shard of one index version as an upstream serves it. The shard count identifies the partitioning.
struct ServedShard {
    IndexVersion version { 0 };
    std::uint32_t shard { 0 };
    std::uint32_t shards { 0 };

    auto operator<=>(const ServedShard&) const = default;
};

struct Hit {
    std::string id;
    std::string title;
    double score { 0 };

    bool operator==(const Hit&) const = default;
};

// The replicas that serve each shard of one index version.
struct ShardPlan {
    IndexVersion version { 0 };
    std::vector<std::vector<UpstreamId>> replicas; // indexed by shard

    bool operator==(const ShardPlan&) const = default;
};

struct QuerySpec {
    base::TimePoint deadline;
    bool allowsPartial { true };
    double minCoverage { 0 }; // fraction of shards
    bool allowsHedging { true };

    // More than one: with many shards, slow hedges are frequent enough to dominate tail latency.
    std::uint32_t hedgesPerShard { 2 };
    std::size_t resultLimit { 10 }; // maximum hits over all shards

    // Send to one shard first: no upstream has answered this request yet, and it might crash the upstreams it runs on.
    bool needsCanary { false };

    bool operator==(const QuerySpec&) const = default;
};

// Starts a sub-request to one replica of one shard.
struct SendSubRequest {
    SubRequestId id { 0 };
    UpstreamId upstream { 0 };
    ServedShard target;
    bool isHedge { false };

    bool operator==(const SendSubRequest&) const = default;
};

// Cancels a sub-request whose answer is no longer needed.
struct CancelSubRequest {
    SubRequestId id { 0 };
    UpstreamId upstream { 0 };

    bool operator==(const CancelSubRequest&) const = default;
};

struct MissingShard {
    std::uint32_t shard { 0 };
    base::Error reason;

    bool operator==(const MissingShard&) const = default;
};

// Result of a query. Hits are empty if there is an error.
struct QueryOutcome {
    std::optional<base::Error> error;
    IndexVersion version { 0 };
    std::uint32_t shardsQueried { 0 };
    std::vector<MissingShard> missing;
    std::vector<Hit> hits;
    std::uint32_t hedges { 0 };
    std::uint32_t retries { 0 };
    std::uint32_t restarts { 0 };

    bool operator==(const QueryOutcome&) const = default;

    std::uint32_t shardsAnswered() const { return shardsQueried - static_cast<std::uint32_t>(missing.size()); }
    bool isPartial() const { return !missing.empty(); }
};

struct FinishQuery {
    QueryOutcome outcome;

    bool operator==(const FinishQuery&) const = default;
};

using Action = std::variant<SendSubRequest, CancelSubRequest, FinishQuery>;

// Answer of an upstream to a sub-request.
struct SubAnswer {
    ServedShard served;
    std::vector<Hit> hits;

    bool operator==(const SubAnswer&) const = default;
};

} // namespace flamingousher::query
