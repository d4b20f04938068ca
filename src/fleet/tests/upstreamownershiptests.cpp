#include "fleet/upstreamownership.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace flamingousher;
using namespace flamingousher::fleet;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

NodeInfo node(const std::string& endpoint, const std::string& zone = "z", const std::string& region = "r")
{
    return { { endpoint, 1 }, zone, region, "", 1 };
}

const std::vector<UpstreamKey> Keys { { "u0", "z" }, { "u1", "z" }, { "u2", "z" }, { "u3", "z" }, { "u4", "z" } };

bool isIdle(const std::string&)
{
    return false;
}

} // namespace

Test(UpstreamOwnership, prefersANodeInTheUpstreamsZone)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    duties.setView({ node("a", "x"), node("b", "y") }, 2, Start);
    cr_expect_eq(duties.ownerOf({ "u", "x" })->id.endpoint, "a");
    cr_expect_eq(duties.ownerOf({ "u", "y" })->id.endpoint, "b");
    cr_expect_not_null(duties.ownerOf({ "u", "elsewhere" }));
}

Test(UpstreamOwnership, choosesANodeInTheRegionWhenTheZoneIsLost)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    const std::vector<NodeInfo> all { node("a", "x", "north"), node("b", "y", "north"), node("c", "z", "south"),
        node("d", "z", "south") };
    duties.setView(all, 4, Start);
    cr_expect_eq(duties.ownerOf({ "u", "y" })->id.endpoint, "b");
    duties.setView({ all[0], all[2], all[3] }, 4, Start + seconds(10));
    for (const char* upstream : { "u0", "u1", "u2", "u3", "u4", "u5" })
        cr_expect_eq(duties.ownerOf({ upstream, "y" })->id.endpoint, "a");
}

Test(UpstreamOwnership, hasNoOwnerWhenTheRegionIsLost)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    const std::vector<NodeInfo> all { node("a", "x", "north"), node("c", "z", "south") };
    duties.setUpstreams({ { "near", "x" }, { "far", "z" } }, Start);
    duties.setView(all, 2, Start);
    duties.setView({ all[0] }, 2, Start + seconds(10));
    cr_expect_null(duties.ownerOf({ "far", "z" }));
    cr_expect_not(duties.isOwner("far"));
    cr_expect(duties.isOwner("near"));
    duties.setView(all, 2, Start + seconds(20));
    cr_expect_eq(duties.ownerOf({ "far", "z" })->id.endpoint, "c");
}

Test(UpstreamOwnership, waitsForTheTakeoverDelayWithoutARelease)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    duties.setUpstreams(Keys, Start);
    duties.setView({ node("a") }, 2, Start);
    cr_expect_not(duties.isServing("u0", Start));
    cr_expect(duties.isServing("u0", Start + seconds(3)));
}

Test(UpstreamOwnership, servesImmediatelyWhenItIsTheOnlyListedNode)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    duties.setUpstreams(Keys, Start);
    duties.setView({ node("a") }, 1, Start);
    cr_expect(duties.isServing("u0", Start));
}

Test(UpstreamOwnership, takesOverImmediatelyAfterARelease)
{
    UpstreamOwnership previousOwner({ "a", 1 }, {});
    previousOwner.setUpstreams(Keys, Start);
    previousOwner.setView({ node("a") }, 1, Start);
    UpstreamOwnership newOwner({ "b", 1 }, {});
    newOwner.setUpstreams(Keys, Start);
    for (UpstreamOwnership* duties : { &previousOwner, &newOwner })
        duties->setView({ node("a"), node("b") }, 2, Start);
    const auto claims = newOwner.tick(Start);
    cr_assert_eq(claims.size(), 1u);
    cr_expect_eq(claims[0].to.id.endpoint, "a");
    const auto refused = previousOwner.onClaim(
        node("b"), claims[0].upstreams, [](const std::string&) { return true; }, Start);
    cr_expect(refused.empty(), "work is still in flight");
    const auto released = previousOwner.onClaim(node("b"), claims[0].upstreams, isIdle, Start);
    cr_expect(released == claims[0].upstreams);
    newOwner.onRelease({ "a", 1 }, released);
    for (const std::string& upstream : released) {
        cr_expect(newOwner.isServing(upstream, Start));
        cr_expect_not(previousOwner.isServing(upstream, Start));
    }
}

Test(UpstreamOwnership, releasesOnlyUpstreamsThatItServed)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    duties.setUpstreams(Keys, Start);
    duties.setView({ node("a"), node("b") }, 3, Start);
    duties.setView({ node("b") }, 3, Start);
    cr_expect(duties.onClaim(node("b"), { "u0", "u1", "u2", "u3", "u4" }, isIdle, Start).empty());
}

Test(UpstreamOwnership, releasesToOneNodeOnly)
{
    UpstreamOwnership duties({ "a", 1 }, {});
    duties.setUpstreams(Keys, Start);
    duties.setView({ node("a") }, 1, Start);
    duties.setView({ node("b") }, 2, Start);
    cr_expect_eq(duties.onClaim(node("b"), { "u0" }, isIdle, Start).size(), 1u);
    duties.setView({ node("c") }, 2, Start);
    cr_expect(duties.onClaim(node("c"), { "u0" }, isIdle, Start).empty());
}

Test(ShareOfLimit, neverExceedsTheLimitInTotal)
{
    const bool holds = rc::check("the shares of all sides do not exceed the limit in total", [] {
        const auto limit = *rc::gen::inRange<std::uint32_t>(1, 200);
        const auto sides
            = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 50)));
        std::size_t listed = 0;
        for (std::size_t side : sides)
            listed += side;
        std::uint32_t sum = 0;
        for (std::size_t side : sides)
            sum += shareOfLimit(limit, side, listed);
        RC_ASSERT(sum <= limit);
    });
    cr_expect(holds);
}

Test(ShareOfLimit, keepsTheFullLimitWhenOneNodeOfNineIsDown)
{
    cr_expect_eq(shareOfLimit(2, 8, 9), 2u);
    cr_expect_eq(shareOfLimit(3, 8, 9), 3u);
    cr_expect_eq(shareOfLimit(6, 8, 9), 6u);
    cr_expect_eq(shareOfLimit(3, 3, 9), 1u);
}
