#include "fleet/viewdigest.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher::fleet;

Test(ViewDigest, dependsOnTheSetOnly)
{
    ViewDigest first;
    ViewDigest second;
    const std::vector<NodeId> nodes { { "10.0.0.1:1", 1 }, { "10.0.0.2:1", 2 }, { "10.0.0.3:1", 3 } };
    for (const NodeId& node : nodes)
        first.toggle(node);
    second.toggle({ "10.0.0.4:1", 4 });
    for (auto node = nodes.rbegin(); node != nodes.rend(); ++node)
        second.toggle(*node);
    cr_expect_neq(first.total(), second.total());
    second.toggle({ "10.0.0.4:1", 4 });
    cr_expect_eq(first.total(), second.total());
    cr_expect_eq(std::ranges::count(first.differingBuckets(second.buckets()), true), 0);
}

Test(ViewDigest, findsTheBucketOfADifference)
{
    ViewDigest before;
    for (std::uint64_t index = 0; index < 2'000; ++index)
        before.toggle({ "10.0.0.1:" + std::to_string(index), index });
    ViewDigest after = before;
    const NodeId restarted { "10.0.0.1:7", 7 };
    after.toggle(restarted);
    after.toggle({ restarted.endpoint, 3'000 });
    const auto isDiffering = after.differingBuckets(before.buckets());
    cr_expect_eq(std::ranges::count(isDiffering, true), 1);
    cr_expect(isDiffering[ViewDigest::bucketOf(restarted)]);
}

// Another version may have another number of buckets.
Test(ViewDigest, doesNotCompareOtherNumbersOfBuckets)
{
    ViewDigest digest;
    digest.toggle({ "10.0.0.1:1", 1 });
    for (std::size_t count :
        { std::size_t(0), std::size_t(1), ViewDigest::BucketCount - 1, 2 * ViewDigest::BucketCount })
        cr_expect_eq(std::ranges::count(digest.differingBuckets(std::vector<std::uint32_t>(count, 5)), true), 0);
}
