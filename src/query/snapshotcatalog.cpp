#include "query/snapshotcatalog.h"

#include <algorithm>
#include <iterator>

namespace flamingousher::query {

namespace {

    // Served shards with a greater shard count are ignored, since a plan allocates an entry for each shard.
    constexpr std::uint32_t MaxShards = 100'000;

    std::vector<ServedShard> validShards(const std::vector<ServedShard>& served)
    {
        std::vector<ServedShard> valid;
        std::ranges::copy_if(served, std::back_inserter(valid), [](const ServedShard& shard) {
            return shard.version > 0 && shard.shard < shard.shards && shard.shards <= MaxShards;
        });
        std::ranges::sort(valid);
        valid.erase(std::unique(valid.begin(), valid.end()), valid.end());
        return valid;
    }

} // namespace

void SnapshotCatalog::setServed(UpstreamId upstream, const std::vector<ServedShard>& served)
{
    std::vector<ServedShard> valid = validShards(served);
    Entry& entry = entries_[upstream];
    if (entry.served == valid)
        return;
    if (entry.isUsable) {
        for (const ServedShard& shard : entry.served)
            remove(upstream, shard);
        for (const ServedShard& shard : valid)
            add(upstream, shard);
    }
    entry.served = std::move(valid);
}

void SnapshotCatalog::removeVersion(UpstreamId upstream, IndexVersion version)
{
    std::vector<ServedShard> remaining = servedBy(upstream);
    if (std::erase_if(remaining, [&](const ServedShard& shard) { return shard.version == version; }) > 0)
        setServed(upstream, remaining);
}

void SnapshotCatalog::setUsable(UpstreamId upstream, bool isUsable)
{
    Entry& entry = entries_[upstream];
    if (entry.isUsable == isUsable)
        return;
    entry.isUsable = isUsable;
    for (const ServedShard& shard : entry.served) {
        if (isUsable)
            add(upstream, shard);
        else
            remove(upstream, shard);
    }
}

void SnapshotCatalog::add(UpstreamId upstream, const ServedShard& served)
{
    Candidate& candidate = candidates_[{ served.version, served.shards }];
    candidate.plan.version = served.version;
    candidate.plan.replicas.resize(served.shards);
    std::vector<UpstreamId>& replicas = candidate.plan.replicas[served.shard];
    candidate.coveredShards += replicas.empty() ? 1 : 0;
    replicas.insert(std::ranges::lower_bound(replicas, upstream), upstream);
    cachedPlan_ = nullptr;
}

void SnapshotCatalog::remove(UpstreamId upstream, const ServedShard& served)
{
    const auto found = candidates_.find({ served.version, served.shards });
    Candidate& candidate = found->second;
    std::vector<UpstreamId>& replicas = candidate.plan.replicas[served.shard];
    std::erase(replicas, upstream);
    candidate.coveredShards -= replicas.empty() ? 1 : 0;
    if (candidate.coveredShards == 0)
        candidates_.erase(found);
    cachedPlan_ = nullptr;
}

const SnapshotCatalog::Candidate* SnapshotCatalog::best() const
{
    const Candidate* best = nullptr;
    for (const auto& [key, candidate] : candidates_) {
        if (!best || candidate.coverage() >= best->coverage())
            best = &candidate;
    }
    return best;
}

std::shared_ptr<const ShardPlan> SnapshotCatalog::bestPlan() const
{
    if (cachedPlan_)
        return cachedPlan_;
    if (const Candidate* candidate = best())
        cachedPlan_ = std::make_shared<const ShardPlan>(candidate->plan);
    return cachedPlan_;
}

std::vector<ServedShard> SnapshotCatalog::servedBy(UpstreamId upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? std::vector<ServedShard> {} : found->second.served;
}

bool SnapshotCatalog::isUsable(UpstreamId upstream) const
{
    const auto found = entries_.find(upstream);
    return found == entries_.end() || found->second.isUsable;
}

} // namespace flamingousher::query
