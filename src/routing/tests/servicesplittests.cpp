#include "routing/servicesplit.h"

#include <criterion/criterion.h>

#include <map>

using namespace flamingousher::routing;

Test(ServiceSplit, distributesByWeightInEveryCycle)
{
    ServiceSplit split;
    const Route route { .name = "r", .services = { { "a", 3 }, { "b", 1 } } };
    for (int cycle = 0; cycle < 5; ++cycle) {
        std::map<std::string, int> counts;
        for (int request = 0; request < 4; ++request)
            ++counts[split.next(route)];
        cr_assert_eq(counts["a"], 3);
        cr_assert_eq(counts["b"], 1);
    }
}

Test(ServiceSplit, resetsCreditsWhenWeightsChange)
{
    ServiceSplit split;
    const Route before { .name = "r", .services = { { "a", 9 }, { "b", 1 } } };
    for (int request = 0; request < 7; ++request)
        split.next(before);
    const Route after { .name = "r", .services = { { "a", 1 }, { "b", 1 } } };
    std::map<std::string, int> counts;
    for (int request = 0; request < 10; ++request)
        ++counts[split.next(after)];
    cr_assert_eq(counts["a"], 5);
    cr_assert_eq(counts["b"], 5);
}
