#pragma once

#include "fleet/types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace flamingousher::fleet {

// Digest of a set of nodes, in buckets by endpoint. Two nodes that compare their digests find the buckets in which
// their views differ, so that the members they exchange grow with the difference and not with the fleet.
class ViewDigest {
public:
    // With 2,000 nodes a bucket holds the members of one message, and the digests of all take 256 bytes.
    static constexpr std::size_t BucketCount = 64;

    // Members that take as many bytes in a message as the digests of all buckets.
    static constexpr std::size_t MembersPerDigest = 8;

    static std::size_t bucketOf(const NodeId&);

    // Adds the node, or removes it if it is in the set.
    void toggle(const NodeId&);

    // Digest of the whole set.
    std::uint64_t total() const;

    std::vector<std::uint32_t> buckets() const { return { buckets_.begin(), buckets_.end() }; }

    // Returns for each bucket whether it differs from the other set's. Digests of another number of buckets are not
    // comparable: nothing differs.
    std::array<bool, BucketCount> differingBuckets(const std::vector<std::uint32_t>& other) const;

private:
    std::array<std::uint32_t, BucketCount> buckets_ {};
    std::uint64_t total_ { 0 };
};

} // namespace flamingousher::fleet
