#include "settings/vmsettings.h"

#include <criterion/criterion.h>

using namespace flamingousher::settings;

namespace {

const std::string CompleteFile = R"([node]
name = vm-1
address = 10.1.0.39
zone = a
region = r
zones = a=r,b=r
memory_mb = 260
shutdown_ms = 6000
[listen]
callers = 10.1.0.39:8226
readiness = 10.1.0.39:8227
operators = 10.1.0.39:9180
[platform]
kind = store
store = 10.200.1.7:8229
[peers]
gossip = 10.1.0.39:7740
key = sixteen characters and more
seeds = 10.1.0.39:7740, 10.2.0.33:7740
[retries]
ratio = 0.2
slack = 58
window_ms = 10000
)";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

Test(VmSettings, acceptsCompleteFile)
{
    const auto settings = parseVmSettings("f", CompleteFile);
    cr_assert(settings.has_value());
    cr_assert_eq(settings->name, "vm-1");
    cr_assert_eq(settings->regions.at("b"), "r");
    cr_assert_eq(settings->store.port(), 8229);
    cr_assert_eq(settings->seeds.size(), 2);
    cr_assert_float_eq(settings->retrySlack, 58, 1e-9);
    cr_assert_eq(settings->shutdownTime.count(), 6000);
    cr_assert_float_eq(settings->memoryMb, 260, 1e-9);
}

Test(VmSettings, rejectsMemoryOutOfRange)
{
    for (const char* value : { "0", "-5", "31", "1e9", "nan", "160MB" }) {
        const auto settings
            = parseVmSettings("f", replaceFirst(CompleteFile, "memory_mb = 260", std::string("memory_mb = ") + value));
        cr_expect_not(settings.has_value(), "%s", value);
    }
}

Test(VmSettings, acceptsFractionsAndExponents)
{
    std::string file = replaceFirst(CompleteFile, "shutdown_ms = 6000", "shutdown_ms = 5.5e3");
    file = replaceFirst(file, "slack = 58", "slack = 33.1578947368421");
    file = replaceFirst(file, "window_ms = 10000", "window_ms = 10e3");
    const auto settings = parseVmSettings("f", file);
    cr_assert(settings.has_value());
    cr_assert_eq(settings->shutdownTime.count(), 5500);
    cr_assert_float_eq(settings->retrySlack, 33.1578947368421, 1e-9);
    cr_assert_eq(settings->retryWindow.count(), 10'000);
}

Test(VmSettings, rejectsNumbersOutOfRange)
{
    for (const char* slack : { "slack = -1", "slack = nan", "slack = 1e9", "slack = 5x" })
        cr_expect(!parseVmSettings("f", replaceFirst(CompleteFile, "slack = 58", slack)).has_value(), "%s", slack);
    cr_assert(!parseVmSettings("f", replaceFirst(CompleteFile, "shutdown_ms = 6000", "shutdown_ms = 0.5")).has_value());
}

Test(VmSettings, reportsFileSectionAndKeyOfEachFault)
{
    const auto settings = parseVmSettings(
        "f", replaceFirst(replaceFirst(CompleteFile, "10.200.1.7:8229", "store"), "ratio = 0.2", "ratio = x"));
    cr_assert(!settings.has_value());
    cr_assert_eq(settings.error().size(), 2);
    cr_assert(settings.error().at(0).find("f") != std::string::npos);
    cr_assert(settings.error().at(0).find("store") != std::string::npos);
    cr_assert(settings.error().at(1).find("ratio") != std::string::npos);
}

Test(VmSettings, rejectsUnknownSectionAndMalformedZone)
{
    cr_assert(!parseVmSettings("f", CompleteFile + "[extra]\na = 1\n").has_value());
    cr_assert(!parseVmSettings("f", replaceFirst(CompleteFile, "zones = a=r,b=r", "zones = a")).has_value());
}

Test(PlatformKind, isReadFromSettings)
{
    cr_assert(platformKind(CompleteFile) == PlatformKind::Store);
    cr_assert(platformKind("[platform]\nconfiguration = 127.0.0.1:1\n") == PlatformKind::Tables);
}
