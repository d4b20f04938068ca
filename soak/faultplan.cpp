#include "soak/faultplan.h"

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <array>
#include <csignal>

#include <sys/wait.h>

namespace flamingousher::soak {

using std::chrono::milliseconds;

namespace {

    // Exceeds the longest bound after a fault (settling time plus 3 s) and leaves time for checks after it.
    constexpr milliseconds CalmPhase { 10'000 };
    constexpr milliseconds FaultPhase { 8'000 };

    constexpr milliseconds StopTimeout { 6'000 }; // from SIGTERM to SIGKILL
    constexpr milliseconds StartTime { 1'500 }; // until a started process is expected to be ready
    constexpr milliseconds RestartDelay { 200 };
    constexpr milliseconds CheckInterval { 50 };
    constexpr milliseconds DrainTime { 5'000 }; // from the drain notice of an upstream to its removal

} // namespace

FaultPlan::FaultPlan(boost::asio::io_context& io, Deployment& deployment, Promises& promises,
    std::function<TimePoint()> now, std::uint64_t seed)
    : io_(io)
    , deployment_(deployment)
    , promises_(promises)
    , now_(std::move(now))
    , draw_(seed)
    , evacuationDraw_(~seed)
    , isStopping_(deployment.vmCount())
{
}

std::size_t FaultPlan::drawUpstream()
{
    return draw_.below(static_cast<std::uint32_t>(deployment_.upstreams().size()));
}

void FaultPlan::spawn(std::function<void()> function)
{
    ++running_;
    runtime::spawnFiber([this, function = std::move(function)] {
        function();
        --running_;
    });
}

void FaultPlan::run(base::Duration time)
{
    const TimePoint until = now_() + time;
    spawn([this, until] { restartExitedVms(until); });
    spawn([this, until] { runPlannedWork(until); });
    spawn([this, until] { runEvacuations(until); });
    while (now_() < until) {
        runtime::sleepFor(io_, CalmPhase);
        for (const TimePoint end = now_() + FaultPhase; now_() < end && now_() < until;) {
            injectFault();
            runtime::sleepFor(io_, draw_.time(100, 1'000));
        }
    }
    while (running_ > 0)
        runtime::sleepFor(io_, CheckInterval);
    restoreAll();
}

// Restarts exited VM processes, as the platform does.
void FaultPlan::restartExitedVms(TimePoint until)
{
    while (now_() < until || running_ > 1) {
        for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
            if (deployment_.vm(vm).isRunning())
                continue;
            const int status = deployment_.vm(vm).lastStatus();
            if (!isStopping_[vm] && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL))
                promises_.onUnexpectedExit(vm, status);
            runtime::sleepFor(io_, RestartDelay);
            deployment_.vm(vm).start();
        }
        runtime::sleepFor(io_, CheckInterval);
    }
}

// Evacuations last longer than the time within which they must be obeyed.
void FaultPlan::runEvacuations(TimePoint until)
{
    while (now_() < until) {
        runtime::sleepFor(io_, evacuationDraw_.time(1'000, 6'000));
        deployment_.evacuate(evacuationDraw_.below(2) == 0 ? "a" : "b");
        runtime::sleepFor(io_, evacuationDraw_.time(4'000, 9'000));
        deployment_.endEvacuation();
    }
}

void FaultPlan::runPlannedWork(TimePoint until)
{
    while (now_() < until) {
        runtime::sleepFor(io_, draw_.time(800, 4'000));
        performPlannedWork();
    }
}

void FaultPlan::performPlannedWork()
{
    switch (draw_.below(6)) {
    case 0:
    case 1:
        deployment_.publishNext();
        return;
    case 2:
        deployment_.publishNext();
        runtime::sleepFor(io_, draw_.time(10, 600));
        deployment_.publishNext();
        return;
    case 3:
        spawn([this] { stopVm(drawVm()); });
        return;
    case 4:
        deployment_.vm(drawVm()).signal(SIGHUP);
        return;
    default:
        drainUpstream();
    }
}

void FaultPlan::injectFault()
{
    switch (draw_.below(9)) {
    case 0:
        return killVm(drawVm());
    case 1:
        return pauseVm(drawVm());
    case 2:
        return disturbStore();
    case 3:
        return disturbStorePath(drawVm());
    case 4:
        return disturbCallerPath(drawVm());
    case 5:
        return disturbUpstreamPath();
    case 6:
        return disturbUpstream();
    case 7:
        return crashUpstream();
    default:
        // Kills several VMs at once.
        for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
            if (draw_.below(2) == 0)
                killVm(vm);
        }
    }
}

void FaultPlan::killVm(std::size_t vm)
{
    promises_.onDisturbance(vm, now_(), now_() + RestartDelay + StartTime);
    deployment_.vm(vm).signal(SIGKILL);
}

void FaultPlan::pauseVm(std::size_t vm)
{
    const milliseconds time = draw_.time(200, 3'000);
    promises_.onDisturbance(vm, now_(), now_() + time);
    deployment_.vm(vm).signal(SIGSTOP);
    spawn([this, vm, time] {
        runtime::sleepFor(io_, time);
        deployment_.vm(vm).signal(SIGCONT);
    });
}

void FaultPlan::stopVm(std::size_t vm)
{
    VmProcess& process = deployment_.vm(vm);
    if (isStopping_[vm] || !process.isRunning())
        return;
    const std::uint32_t start = process.startCount();
    const TimePoint begin = now_();
    isStopping_[vm] = true;
    promises_.onPlannedStop(vm, begin, begin + StopTimeout + RestartDelay + StartTime);
    process.signal(SIGTERM);
    while (process.startCount() == start && now_() < begin + StopTimeout)
        runtime::sleepFor(io_, CheckInterval);
    if (process.startCount() == start) {
        promises_.onStopTimeout(vm, begin, now_());
        promises_.onDisturbance(vm, now_(), now_() + RestartDelay + StartTime);
        process.signal(SIGKILL);
    }
    isStopping_[vm] = false;
}

void FaultPlan::restoreLater(Proxy& proxy, milliseconds time)
{
    spawn([this, &proxy, time] {
        runtime::sleepFor(io_, time);
        proxy.setDelay({});
        proxy.setRefusing(false);
        proxy.setBlocked(false, false);
    });
}

void FaultPlan::disturbStore()
{
    using platform::StoreMode;
    const milliseconds time = draw_.time(300, 4'000);
    promises_.onGlobalDisturbance(now_(), now_() + time);
    const std::uint32_t kind = draw_.below(4);
    if (kind == 3) {
        deployment_.store().compact();
        return;
    }
    deployment_.store().setMode(std::array { StoreMode::Busy, StoreMode::Limited, StoreMode::Silent }.at(kind));
    spawn([this, time] {
        runtime::sleepFor(io_, time);
        deployment_.store().setMode(StoreMode::Serving);
    });
}

void FaultPlan::disturbStorePath(std::size_t vm)
{
    Proxy& proxy = deployment_.storeProxy(vm);
    const milliseconds time = draw_.time(300, 4'000);
    // Other VMs may receive updates of the store through this VM.
    promises_.onGlobalDisturbance(now_(), now_() + time);
    switch (draw_.below(5)) {
    case 0:
        return proxy.resetAll();
    case 1:
        return proxy.stallOpenConnections();
    case 2:
        proxy.setDelay(draw_.time(20, 400));
        break;
    case 3:
        proxy.setRefusing(true);
        proxy.resetAll();
        break;
    default:
        proxy.setBlocked(draw_.below(2) == 0, true);
    }
    restoreLater(proxy, time);
}

void FaultPlan::disturbCallerPath(std::size_t vm)
{
    Proxy& proxy = deployment_.callerProxy(vm);
    const milliseconds time = draw_.time(200, 1'500);
    promises_.onDisturbance(vm, now_(), now_() + time);
    if (draw_.below(2) == 0)
        return proxy.resetAll();
    proxy.setDelay(draw_.time(20, 300));
    restoreLater(proxy, time);
}

void FaultPlan::disturbUpstreamPath()
{
    Upstream& upstream = deployment_.upstreams().at(drawUpstream());
    Proxy& proxy = *upstream.proxy;
    const milliseconds time = draw_.time(200, 3'000);
    promises_.onPathDisturbed(upstream.entry.id, now_(), now_() + time);
    switch (draw_.below(4)) {
    case 0:
        return proxy.resetAll();
    case 1:
        return proxy.stallOpenConnections();
    case 2:
        proxy.setDelay(draw_.time(10, 200));
        break;
    default:
        proxy.setBlocked(draw_.below(2) == 0, true);
    }
    restoreLater(proxy, time);
}

void FaultPlan::disturbUpstream()
{
    platform::SearcherStandIn& standIn = *deployment_.upstreams().at(drawUpstream()).standIn;
    platform::SearcherBehaviour& behaviour = standIn.behaviour();
    switch (draw_.below(4)) {
    case 0:
        behaviour.serviceMs = 50 + draw_.below(200);
        break;
    case 1:
        behaviour.refuseFraction = 0.5;
        break;
    case 2:
        behaviour.failFraction = 0.3;
        break;
    default:
        behaviour.loseFraction = 0.3;
    }
    spawn([this, &standIn] {
        runtime::sleepFor(io_, draw_.time(500, 3'000));
        standIn.behaviour() = {};
    });
}

// Stops an upstream without a drain notice; the platform lists it until it is replaced.
void FaultPlan::crashUpstream()
{
    const std::size_t upstream = drawUpstream();
    if (!deployment_.upstreams().at(upstream).isListed || std::exchange(isDraining_, true))
        return;
    deployment_.upstreams().at(upstream).standIn->stop();
    deployment_.upstreams().at(upstream).proxy->resetAll();
    spawn([this, upstream] {
        runtime::sleepFor(io_, draw_.time(500, 4'000));
        deployment_.replace(upstream);
        isDraining_ = false;
    });
}

void FaultPlan::drainUpstream()
{
    const std::size_t upstream = drawUpstream();
    if (!deployment_.upstreams().at(upstream).isListed || std::exchange(isDraining_, true))
        return;
    deployment_.setDraining(upstream);
    spawn([this, upstream] {
        runtime::sleepFor(io_, DrainTime);
        deployment_.replace(upstream);
        isDraining_ = false;
    });
}

void FaultPlan::restoreAll()
{
    deployment_.store().setMode(platform::StoreMode::Serving);
    for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
        if (!deployment_.vm(vm).isRunning())
            deployment_.vm(vm).start();
        deployment_.vm(vm).signal(SIGCONT);
    }
}

} // namespace flamingousher::soak
