#pragma once

#include "query/types.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace flamingousher::query {

// Knows which index versions the upstreams of one pool serve and plans queries for one of them.
class SnapshotCatalog {
public:
    // Replaces what one upstream serves. Ignores reports with an impossible shard.
    void setServed(UpstreamId, const std::vector<ServedShard>&);

    // Records that an upstream no longer serves a version.
    void removeVersion(UpstreamId, IndexVersion);

    // An upstream that is not usable (draining, removed) stays known but is not planned for.
    void setUsable(UpstreamId, bool isUsable);

    // The newest version of which every shard has a usable replica. Without one, the version with the
    // greatest fraction of shards covered, the newest of equals. Null when nothing is served.
    std::shared_ptr<const ShardPlan> bestPlan() const;

    std::vector<ServedShard> servedBy(UpstreamId) const;
    bool isUsable(UpstreamId) const;

private:
    struct Entry {
        std::vector<ServedShard> served; // sorted
        bool isUsable { true };
    };

    // A version under one partitioning: they are never mixed while data is repartitioned.
    using PlanKey = std::pair<IndexVersion, std::uint32_t>; // version, shards

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
    mutable std::shared_ptr<const ShardPlan> published_; // null when it is out of date
};

} // namespace flamingousher::query
