#include "balancing/linkmonitor.h"

#include <criterion/criterion.h>

using namespace flamingousher::balancing;

Test(LinkMonitor, reportsLossWhileAlmostNoUpstreamIsReached)
{
    LinkMonitor links;
    cr_expect(!links.update(30, 0));
    cr_expect(!links.update(20, 10));
    cr_expect(!links.areLinksLost());
    cr_expect(links.update(3, 27));
    cr_expect(links.areLinksLost());
    cr_expect(!links.update(0, 30));
    cr_expect(links.areLinksLost());
}

// Load pattern: all upstreams of one service, or of two of three zones, have ended.
Test(LinkMonitor, countsLostUpstreamsAsSuchWhileOthersAreReached)
{
    LinkMonitor links;
    cr_expect(!links.update(10, 20));
    cr_expect(!links.update(7, 36));
    cr_expect(!links.areLinksLost());
}

Test(LinkMonitor, needsSeveralUpstreams)
{
    LinkMonitor links;
    cr_expect(!links.update(0, 2));
    cr_expect(!links.update(0, 0));
    cr_expect(links.update(0, 3));
}

// Load pattern: the links are back, and the connections open one after the other.
Test(LinkMonitor, reportsReturnOnceMostUpstreamsAreReached)
{
    LinkMonitor links;
    links.update(0, 30);
    cr_expect(!links.update(1, 29));
    cr_expect(!links.update(15, 15));
    cr_expect(links.update(16, 14));
    cr_expect(!links.areLinksLost());
}
