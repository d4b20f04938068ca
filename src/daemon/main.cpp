#include "daemon/daemon.h"
#include "daemon/vmdaemon.h"
#include "settings/daemonsettings.h"
#include "settings/vmsettings.h"

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>

#include <malloc.h>

DEFINE_string(settings, "", "INI file with the settings of this process.");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitPorts = 4;
constexpr int ExitShutdownTimeout = 5;

constexpr const char* Usage = R"(flamingousherd - query tier over many shards

Usage: flamingousherd --settings FILE [--check]

  --settings FILE  INI file with the settings of this process (see docs/OPERATIONS.md)
  --check          check the settings file and exit
  --version        print the version and exit
  --help           print this text and exit

SIGTERM and SIGINT finish the requests in flight, then end the process. With [platform] kind = store, SIGHUP reloads
the settings file; otherwise it is ignored.

Exit codes: 0 stopped as asked, 2 wrong arguments, 3 wrong settings, 4 a port cannot be opened,
5 the shutdown timeout passed with requests in flight.
)";

void configureLog(const flamingousher::settings::DaemonSettings& settings)
{
    spdlog::set_level(spdlog::level::from_str(settings.logLevel));
    if (settings.logFormat == "json")
        spdlog::set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","message":"%v"})");
}

// Large responses are mapped one by one, and unmapped as soon as they are freed. By default the allocator raises this
// threshold with the first of them and keeps the memory of all that follow.
void limitRetainedMemory()
{
    constexpr int LargeBytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, LargeBytes);
}

bool hasArgument(int argc, char** argv, const char* argument)
{
    for (int index = 1; index < argc; ++index) {
        if (std::strcmp(argv[index], argument) == 0)
            return true;
    }
    return false;
}

// Reports faults of the settings, or else runs the daemon until it is stopped. With --check does not start it. Returns
// or exits with the exit code.
template <typename Settings, typename MakeDaemon>
int run(const tl::expected<Settings, std::vector<std::string>>& settings, MakeDaemon makeDaemon)
{
    if (!settings) {
        for (const std::string& line : settings.error())
            std::fprintf(stderr, "%s\n", line.c_str());
        return ExitSettings;
    }
    if (FLAGS_check)
        return 0;
    const auto daemon = makeDaemon(*settings);
    if (const auto started = daemon->start(); !started) {
        std::fprintf(stderr, "%s\n", started.error().c_str());
        std::_Exit(ExitPorts);
    }
    const bool isClean = daemon->runUntilStopped();
    spdlog::shutdown();
    std::fflush(nullptr);
    // Exits without unwinding the fibers that wait on idle connections.
    std::_Exit(isClean ? 0 : ExitShutdownTimeout);
}

} // namespace

int main(int argc, char** argv)
{
    if (hasArgument(argc, argv, "--help")) {
        std::fputs(Usage, stdout);
        return 0;
    }
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::fputs(Usage, stderr);
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // SIGHUP must not end the process during startup, which reads the settings anyway. A suspended process also
    // receives SIGHUP when the session that started it ends.
    std::signal(SIGHUP, SIG_IGN);
    limitRetainedMemory();
    using namespace flamingousher;
    if (settings::loadPlatformKind(FLAGS_settings) == settings::PlatformKind::Store) {
        return run(settings::loadVmSettings(FLAGS_settings), [](const settings::VmSettings& vmSettings) {
            return std::make_unique<daemon::VmDaemon>(vmSettings, FLAGS_settings);
        });
    }
    return run(settings::loadSettings(FLAGS_settings), [](const settings::DaemonSettings& daemonSettings) {
        configureLog(daemonSettings);
        return std::make_unique<daemon::Daemon>(daemonSettings);
    });
}
