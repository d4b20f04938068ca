#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "soak/callers.h"
#include "soak/faultplan.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <filesystem>

DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs. Removed after a run without findings.");
DEFINE_uint64(seed, 1, "Seed of the faults and the callers.");
DEFINE_uint32(seconds, 40, "Time of the faults.");
DEFINE_uint32(slot, 0, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_uint32(vms, 5, "Processes of the product.");
DEFINE_uint32(callers, 20, "Callers.");

namespace {

using namespace flamingousher;
using namespace flamingousher::soak;

constexpr std::chrono::seconds StartTime { 2 };
constexpr std::chrono::seconds RecoveryTime { 12 }; // until requests must be served again
constexpr std::chrono::seconds MeasuredTime { 3 };
constexpr double MinServedFraction = 0.25; // of the requests sent after the recovery time
constexpr std::size_t MaxPrinted = 20;
constexpr int ExitViolations = 1;
constexpr int ExitUsage = 2;

struct Report {
    std::size_t sent { 0 };
    std::size_t served { 0 };
    double servedAfterRecovery { 0 };
    std::vector<std::string> violations;
};

Report runSoak(boost::asio::io_context& io)
{
    const auto now = [] { return std::chrono::steady_clock::now(); };
    // Leaked on purpose: fibers of connections still use these objects until the process exits.
    auto& promises = *new Promises({}, platform::SearcherStandIn::makeRecords);
    auto* deployment = new Deployment(io, { FLAGS_daemon, FLAGS_folder, FLAGS_slot, FLAGS_vms }, promises, now);
    deployment->start();
    runtime::sleepFor(io, StartTime);
    auto* callers = new Callers(io, *deployment, promises, now, FLAGS_seed);
    callers->start(FLAGS_callers);
    FaultPlan plan(io, *deployment, promises, now, FLAGS_seed ^ 0x5eed);
    plan.run(std::chrono::seconds(FLAGS_seconds));
    runtime::sleepFor(io, RecoveryTime);
    const std::size_t sentBefore = callers->sent();
    const std::size_t servedBefore = promises.served();
    runtime::sleepFor(io, MeasuredTime);
    Report report { callers->sent(), promises.served(),
        static_cast<double>(promises.served() - servedBefore)
            / static_cast<double>(std::max<std::size_t>(1, callers->sent() - sentBefore)),
        promises.violations() };
    callers->stop();
    if (report.servedAfterRecovery < MinServedFraction)
        report.violations.push_back("recovery: too few requests are served after the faults");
    for (std::size_t vm = 0; vm < deployment->vmCount(); ++vm)
        deployment->vm(vm).signal(SIGKILL);
    return report;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Runs processes of the product under faults and checks its promises.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_daemon.empty() || FLAGS_folder.empty()) {
        std::fprintf(stderr, "--daemon and --folder are needed\n");
        return ExitUsage;
    }
    std::filesystem::create_directories(FLAGS_folder);
    runtime::FiberThread thread("soak");
    const Report report = thread.call([&] { return runSoak(thread.io()); });
    std::printf("seed %lu: %zu requests, %zu served, %.2f served after recovery, %zu findings\n", FLAGS_seed,
        report.sent, report.served, report.servedAfterRecovery, report.violations.size());
    for (std::size_t index = 0; index < std::min(report.violations.size(), MaxPrinted); ++index)
        std::printf("  %s\n", report.violations[index].c_str());
    if (report.violations.empty())
        std::filesystem::remove_all(FLAGS_folder);
    std::fflush(stdout);
    std::_Exit(report.violations.empty() ? 0 : ExitViolations);
}
