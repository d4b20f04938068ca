#include "settings/daemonsettings.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher::settings;

namespace {

const std::string CompleteFile
    = "[node]\nname = vm-1\naddress = 127.0.0.1\nzone = a\n"
      "[listen]\ncallers = 127.0.0.1:8080\npeers = 127.0.0.1:8081\noperators = 127.0.0.1:8090\n"
      "[platform]\nconfiguration = 127.0.0.1:7000\nvms = 127.0.0.1:7000\n"
      "[peers]\nkey = 0123456789abcdef\n";

bool rejects(const std::string& text, const std::string& expected)
{
    const auto settings = parseSettings("f.ini", text);
    return !settings && std::ranges::any_of(settings.error(), [&](const std::string& line) {
        return line.find(expected) != std::string::npos;
    });
}

} // namespace

Test(DaemonSettings, acceptsCompleteFile)
{
    const auto settings = parseSettings("f.ini", CompleteFile);
    cr_assert(settings.has_value());
    cr_expect_eq(settings->name, "vm-1");
    cr_expect_eq(settings->callers.port(), 8080);
    cr_expect_eq(settings->operators.port(), 8090);
    cr_expect_eq(settings->trafficThreads, 1u);
}

Test(DaemonSettings, reportsFileSectionAndKeyOfEachFault)
{
    cr_expect(
        rejects(CompleteFile + "[threads]\ntraffic = 0\n", "f.ini: [threads] traffic: 0 is not between 1 and 64"));
    cr_expect(rejects(CompleteFile + "colour = red\n", "f.ini: [peers] colour: is not a known key"));
    cr_expect(rejects(CompleteFile + "[colours]\nx = 1\n", "f.ini: [colours] is not a known section"));
    cr_expect(rejects("", "f.ini: [node] name: is missing"));
    cr_expect(rejects("[node", "f.ini: line 1"));
}

Test(DaemonSettings, rejectsOperatorsPortAmongPeerPorts)
{
    std::string text = CompleteFile;
    text.replace(text.find("127.0.0.1:8090"), 14, "127.0.0.1:8082");
    cr_expect(rejects(text, "[listen] operators: is among the peers' ports 8081 to 8082"));
}

Test(DaemonSettings, rejectsUnreadableFile)
{
    const auto settings = loadSettings("/nonexistent/f.ini");
    cr_assert_not(settings.has_value());
    cr_expect_eq(settings.error().front(), "/nonexistent/f.ini: cannot be read");
}
