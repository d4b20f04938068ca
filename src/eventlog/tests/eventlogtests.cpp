#include "eventlog/eventlog.h"

#include <boost/json/parse.hpp>
#include <criterion/criterion.h>

#include <vector>

using namespace flamingousher;
using namespace flamingousher::eventlog;

namespace {

struct Harness {
    base::TimePoint now { std::chrono::hours(1) };
    std::vector<std::string> lines;
    EventLog log { { .linesPerSecond = 10, .burst = 5 },
        { [this] { return now; }, [this](const std::string& members) { lines.push_back(members); } } };
};

} // namespace

Test(EventLog, writesTheMembersOfOneJsonObject)
{
    Harness harness;
    harness.log.writeDecision("refused", { { "request", "a\"b" }, { "wait_ms", 1.5 } });
    const auto line = boost::json::parse("{" + harness.lines.at(0)).as_object();
    cr_assert_eq(line.at("event").as_string(), "refused");
    cr_assert_eq(line.at("request").as_string(), "a\"b");
    cr_assert_float_eq(line.at("wait_ms").as_double(), 1.5, 1e-9);
    cr_assert(line.contains("steady_ms"));
}

Test(EventLog, limitsRateAndLogsDroppedLineCount)
{
    Harness harness;
    for (int line = 0; line < 1'000; ++line)
        harness.log.writeDecision("failed", {});
    cr_assert_eq(harness.lines.size(), 5);
    cr_assert_eq(harness.log.dropped(), 995);
    harness.now += std::chrono::milliseconds(250);
    harness.log.writeDecision("failed", {});
    cr_assert_eq(harness.lines.size(), 7);
    const auto summary = boost::json::parse("{" + harness.lines.at(5)).as_object();
    cr_assert_eq(summary.at("event").as_string(), "lines_dropped");
    cr_assert_eq(summary.at("count").to_number<int>(), 995);
}

Test(EventLog, alwaysWritesStateChanges)
{
    Harness harness;
    for (int line = 0; line < 100; ++line)
        harness.log.writeChange("upstream", {});
    cr_assert_eq(harness.lines.size(), 100);
}
