#include "query/snapshotcatalog.h"

#include <algorithm>
#include <set>

namespace flamingousher::query {

namespace {

    std::size_t coveredShards(const ShardPlan& plan)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(plan.replicas, [](const auto& replicas) { return !replicas.empty(); }));
    }

} // namespace

void SnapshotCatalog::setServed(UpstreamId upstream, const std::vector<ServedShard>& served)
{
    std::vector<ServedShard> valid;
    std::ranges::copy_if(served, std::back_inserter(valid),
        [](const ServedShard& shard) { return shard.version > 0 && shard.shard < shard.shards; });
    std::ranges::sort(valid);
    Entry& entry = entries_[upstream];
    if (entry.served == valid)
        return;
    entry.served = std::move(valid);
    invalidate();
}

void SnapshotCatalog::removeVersion(UpstreamId upstream, IndexVersion version)
{
    const auto found = entries_.find(upstream);
    if (found == entries_.end())
        return;
    const auto removed
        = std::erase_if(found->second.served, [&](const ServedShard& shard) { return shard.version == version; });
    if (removed)
        invalidate();
}

void SnapshotCatalog::setUsable(UpstreamId upstream, bool isUsable)
{
    Entry& entry = entries_[upstream];
    if (entry.isUsable == isUsable)
        return;
    entry.isUsable = isUsable;
    invalidate();
}

std::shared_ptr<const ShardPlan> SnapshotCatalog::bestPlan() const
{
    if (!cached_)
        cached_ = computeBestPlan();
    return cached_;
}

std::shared_ptr<const ShardPlan> SnapshotCatalog::computeBestPlan() const
{
    // One version may be served under two partitionings while data is repartitioned; they are never mixed.
    std::map<std::pair<IndexVersion, std::uint32_t>, ShardPlan> plans;
    for (const auto& [upstream, entry] : entries_) {
        if (!entry.isUsable)
            continue;
        for (const ServedShard& served : entry.served) {
            ShardPlan& plan = plans[{ served.version, served.shards }];
            plan.version = served.version;
            plan.replicas.resize(served.shards);
            plan.replicas[served.shard].push_back(upstream);
        }
    }
    const ShardPlan* best = nullptr;
    double bestCoverage = -1;
    for (const auto& [key, plan] : plans) {
        const double coverage = static_cast<double>(coveredShards(plan)) / static_cast<double>(plan.replicas.size());
        if (coverage >= bestCoverage) {
            best = &plan;
            bestCoverage = coverage;
        }
    }
    return best ? std::make_shared<const ShardPlan>(*best) : nullptr;
}

std::vector<ServedShard> SnapshotCatalog::servedBy(UpstreamId upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? std::vector<ServedShard> {} : found->second.served;
}

} // namespace flamingousher::query
