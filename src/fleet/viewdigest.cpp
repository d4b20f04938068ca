#include "fleet/viewdigest.h"

#include <xxhash.h>

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    std::uint64_t hashOf(const NodeId& id)
    {
        return XXH3_64bits_withSeed(id.endpoint.data(), id.endpoint.size(), id.boot);
    }

} // namespace

// All incarnations at an endpoint share a bucket: a node that knows only the earlier one is sent both.
std::size_t ViewDigest::bucketOf(const NodeId& id)
{
    return XXH3_64bits(id.endpoint.data(), id.endpoint.size()) % BucketCount;
}

void ViewDigest::toggle(const NodeId& id)
{
    const std::uint64_t hash = hashOf(id);
    buckets_[bucketOf(id)] ^= static_cast<std::uint32_t>(hash);
    total_ ^= hash;
}

// A digest of 0 means that a message has none.
std::uint64_t ViewDigest::total() const
{
    return std::max<std::uint64_t>(total_, 1);
}

std::array<bool, ViewDigest::BucketCount> ViewDigest::differingBuckets(const std::vector<std::uint32_t>& other) const
{
    std::array<bool, BucketCount> differing {};
    if (other.size() != BucketCount)
        return differing;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket)
        differing[bucket] = buckets_[bucket] != other[bucket];
    return differing;
}

} // namespace flamingousher::fleet
