#pragma once

#include "query/types.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace flamingousher::query {

// Tracks which index versions the upstreams of one pool serve and plans queries for one version.
class SnapshotCatalog {
public:
    // Replaces the shards that one upstream serves. Ignores invalid shards.
    void setServed(UpstreamId, const std::vector<ServedShard>&);

    // Records that an upstream no longer serves a version.
    void removeVersion(UpstreamId, IndexVersion);

    // An unusable upstream (draining, removed) keeps its entry but is left out of plans.
    void setUsable(UpstreamId, bool isUsable);

    // Returns a plan for the newest version of which every shard has a usable replica. Without one, for the
    // version with the highest coverage, the newest on a tie. Null if nothing is served.
    std::shared_ptr<const ShardPlan> bestPlan() const;

    std::vector<ServedShard> servedBy(UpstreamId) const;
    bool isUsable(UpstreamId) const;

private:
    struct Entry {
        std::vector<ServedShard> served; // sorted
        bool isUsable { true };
    };

    // Includes the partitioning, so that a plan never mixes two of them while data is repartitioned.
    using PlanKey = std::pair<IndexVersion, std::uint32_t>; // version, shard count

    struct Candidate {
        ShardPlan plan;
        std::uint32_t coveredShards { 0 };

        double coverage() const { return static_cast<double>(coveredShards) / plan.replicas.size(); }
    };

    void add(UpstreamId, const ServedShard&);
    void remove(UpstreamId, const ServedShard&);
    const Candidate* best() const;

    std::map<UpstreamId, Entry> entries_;
    std::map<PlanKey, Candidate> candidates_;
    mutable std::shared_ptr<const ShardPlan> cachedPlan_; // null if outdated
};

} // namespace flamingousher::query
