#include "metrics/registry.h"

#include <criterion/criterion.h>

using namespace flamingousher::metrics;

namespace {

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(Registry, writesCountersWithLabels)
{
    Registry registry;
    registry.counter("x_total", "Things.", { { "rank", "ur\"gent" } }).add(3);
    const std::string text = registry.snapshot().toText();
    cr_expect(contains(text, "# TYPE x_total counter\n"));
    cr_expect(contains(text, "x_total{rank=\"ur\\\"gent\"} 3\n"));
}

Test(Registry, writesCumulativeHistogram)
{
    Registry registry;
    DurationHistogram& histogram = registry.histogram("x_seconds", "Time.");
    histogram.observe(0.00001);
    histogram.observe(0.5);
    histogram.observe(1000);
    const std::string text = registry.snapshot().toText();
    cr_expect(contains(text, "x_seconds_bucket{le=\"0.0001\"} 1\n"));
    cr_expect(contains(text, "x_seconds_bucket{le=\"+Inf\"} 3\n"));
    cr_expect(contains(text, "x_seconds_count 3\n"));
}

Test(Registry, mergesSnapshotsOfTwoThreads)
{
    Registry first;
    Registry second;
    first.counter("x_total", "Things.").add(1);
    second.counter("x_total", "Things.").add(2);
    second.histogram("y_seconds", "Time.").observe(1);
    first.histogram("y_seconds", "Time.").observe(1);
    Snapshot merged = first.snapshot();
    merged.merge(second.snapshot());
    cr_expect(contains(merged.toText(), "x_total 3\n"));
    cr_expect(contains(merged.toText(), "y_seconds_count 2\n"));
}
