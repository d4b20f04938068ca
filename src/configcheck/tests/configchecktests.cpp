#include "configcheck/configcheck.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher;
using namespace flamingousher::configcheck;
using std::chrono::milliseconds;

namespace {

routing::Configuration sound()
{
    routing::Configuration configuration;
    configuration.version = 7;
    configuration.routes = { { .name = "all",
                                 .host = "h",
                                 .pathPrefix = "/all/",
                                 .isIdempotent = true,
                                 .timeout = milliseconds(900),
                                 .goal = milliseconds(120),
                                 .maxAttempts = 2,
                                 .shards = { "s1", "s2" },
                                 .recordLimit = 5,
                                 .minCoverage = 0.5 },
        { .name = "one",
            .host = "h",
            .pathPrefix = "/one/",
            .timeout = milliseconds(900),
            .goal = milliseconds(500),
            .services = { { "single", 1 } } } };
    for (const char* service : { "s1", "s2", "single" })
        configuration.services.push_back({ service, 60 });
    return configuration;
}

// Returns the severity of the only finding whose message contains the text; nothing if there is none.
std::optional<Severity> find(const std::vector<Finding>& findings, const std::string& text)
{
    const auto found = std::ranges::find_if(
        findings, [&](const Finding& finding) { return finding.message.find(text) != std::string::npos; });
    return found == findings.end() ? std::nullopt : std::optional(found->severity);
}

template <typename Change> std::vector<Finding> checkChanged(Change change, const Surroundings& surroundings = {})
{
    routing::Configuration configuration = sound();
    change(configuration);
    return checkConfiguration(configuration, surroundings);
}

} // namespace

Test(ConfigCheck, findsNothingInSoundConfiguration)
{
    const Surroundings known { { { { "s1", { "a" } }, { "s2", { "a" } }, { "single", { "b" } } } },
        { { "a", "r" }, { "b", "r" } }, 160e6 };
    cr_expect(checkConfiguration(sound(), {}).empty());
    cr_expect(checkConfiguration(sound(), known).empty());
}

Test(ConfigCheck, findsRoutesThatNeverMatch)
{
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].pathPrefix = "/all/"; }), "same host and prefix")
        == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].pathPrefix = "/one"; }), "slash") == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].host = ""; }), "no host") == Severity::Error);
    cr_expect(
        find(checkChanged([](auto& next) { next.routes[1].name = "all"; }), "name of another") == Severity::Error);
}

Test(ConfigCheck, findsContradictions)
{
    cr_expect(find(checkChanged([](auto& next) { next.routes[0].goal = milliseconds(901); }), "beyond its timeout")
        == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].services[0].weight = 0; }), "sum to nothing")
        == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].services[0].service = "x"; }), "not listed")
        == Severity::Error);
    cr_expect(
        find(checkChanged([](auto& next) { next.routes[0].minCoverage = 1.5; }), "between 0 and 1") == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) {
        next.routes[0].shards = { "s1", "s1" };
    }),
                  "twice")
        == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.services[0].warmUpRate = 0.5; }), "below one request")
        == Severity::Warning);
    cr_expect(find(checkChanged([](auto& next) { next.limits.bodyBytes = 12'000'000; }, { {}, {}, 160e6 }),
                  "more than a VM can hold")
        == Severity::Error);
}

Test(ConfigCheck, comparesWithUpstreams)
{
    const Surroundings oneShard { { { { "s1", { "a" } }, { "single", { "b" } } } }, { { "a", "r" }, { "b", "q" } },
        {} };
    cr_expect(find(checkChanged([](auto&) {}, oneShard), "1 of its shards") == Severity::Warning);
    cr_expect(find(checkChanged([](auto& next) { next.routes[0].minCoverage = 0.9; }, oneShard), "1 of 2 shards")
        == Severity::Error);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].allowedRegions = { "r" }; }, oneShard), "no upstream")
        == Severity::Warning);
    cr_expect(find(checkChanged([](auto& next) { next.routes[1].allowedRegions = { "q" }; }, oneShard), "single")
        == std::nullopt);
}

Test(ConfigCheck, describesChangesInWords)
{
    cr_expect(describeChanges(sound(), sound()).empty());
    routing::Configuration next = sound();
    next.version = 8;
    next.routes[0].goal = milliseconds(150);
    next.routes[1].name = "two";
    next.services[2].maxConnections = 70;
    next.limits.bodyBytes = 1'000;
    const std::vector<std::string> expected { "configuration: version 7 -> 8", "route all: goal 120 ms -> 150 ms",
        "route two: added", "route one: removed", "service single: connections 60 -> 70",
        "limits: body bytes 262144 -> 1000" };
    cr_expect(describeChanges(sound(), next) == expected);
}
