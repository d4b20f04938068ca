#include "soak/faultplan.h"

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <array>
#include <csignal>

#include <sys/wait.h>

namespace flamingousher::soak {

using std::chrono::milliseconds;

namespace {

    // Long enough for the strictest bound after the last trouble (settling and 3 s), and for some checks after it.
    constexpr milliseconds CalmPhase { 10'000 };
    constexpr milliseconds DisturbedPhase { 8'000 };

    constexpr milliseconds StopTime { 6'000 }; // from SIGTERM to SIGKILL
    constexpr milliseconds StartTime { 1'500 }; // until a started process counts as up
    constexpr milliseconds RestartDelay { 200 };
    constexpr milliseconds CheckInterval { 50 };
    constexpr milliseconds LeaveTime { 5'000 }; // between the notice of an upstream and its end

} // namespace

FaultPlan::FaultPlan(boost::asio::io_context& io, Deployment& deployment, Promises& promises,
    std::function<TimePoint()> now, std::uint64_t seed)
    : io_(io)
    , deployment_(deployment)
    , promises_(promises)
    , now_(std::move(now))
    , draw_(seed)
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
    spawn([this, until] { keepRunning(until); });
    spawn([this, until] { runPlannedWork(until); });
    while (now_() < until) {
        runtime::sleepFor(io_, CalmPhase);
        for (const TimePoint end = now_() + DisturbedPhase; now_() < end && now_() < until;) {
            disturb();
            runtime::sleepFor(io_, draw_.time(100, 1'000));
        }
    }
    while (running_ > 0)
        runtime::sleepFor(io_, CheckInterval);
    undoAll();
}

// The platform starts again what has ended.
void FaultPlan::keepRunning(TimePoint until)
{
    while (now_() < until || running_ > 1) {
        for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
            if (deployment_.vm(vm).isRunning())
                continue;
            const int status = deployment_.vm(vm).lastStatus();
            if (!isStopping_[vm] && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL))
                promises_.onUnexpectedEnd(vm, status);
            runtime::sleepFor(io_, RestartDelay);
            deployment_.vm(vm).start();
        }
        runtime::sleepFor(io_, CheckInterval);
    }
}

void FaultPlan::runPlannedWork(TimePoint until)
{
    while (now_() < until) {
        runtime::sleepFor(io_, draw_.time(800, 4'000));
        doPlannedWork();
    }
}

void FaultPlan::doPlannedWork()
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

void FaultPlan::disturb()
{
    switch (draw_.below(9)) {
    case 0:
        return killVm(drawVm());
    case 1:
        return pauseVm(drawVm());
    case 2:
        return disturbStore();
    case 3:
        return disturbWayToStore(drawVm());
    case 4:
        return disturbCallers(drawVm());
    case 5:
        return disturbWayToUpstream();
    case 6:
        return disturbUpstream();
    case 7:
        return crashUpstream();
    default:
        // Many at once.
        for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
            if (draw_.below(2) == 0)
                killVm(vm);
        }
    }
}

void FaultPlan::killVm(std::size_t vm)
{
    promises_.onTrouble(vm, now_(), now_() + RestartDelay + StartTime);
    deployment_.vm(vm).signal(SIGKILL);
}

void FaultPlan::pauseVm(std::size_t vm)
{
    const milliseconds time = draw_.time(200, 3'000);
    promises_.onTrouble(vm, now_(), now_() + time);
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
    const std::uint32_t start = process.starts();
    const TimePoint begin = now_();
    isStopping_[vm] = true;
    promises_.onPlannedStop(vm, begin, begin + StopTime + RestartDelay + StartTime);
    process.signal(SIGTERM);
    while (process.starts() == start && now_() < begin + StopTime)
        runtime::sleepFor(io_, CheckInterval);
    if (process.starts() == start) {
        promises_.onOverstay(vm, begin, now_());
        promises_.onTrouble(vm, now_(), now_() + RestartDelay + StartTime);
        process.signal(SIGKILL);
    }
    isStopping_[vm] = false;
}

void FaultPlan::clearLater(Proxy& way, milliseconds time)
{
    spawn([this, &way, time] {
        runtime::sleepFor(io_, time);
        way.setDelay({});
        way.setRefusing(false);
        way.setCut(false, false);
    });
}

void FaultPlan::disturbStore()
{
    using platform::StoreMode;
    const milliseconds time = draw_.time(300, 4'000);
    promises_.onTroubleForAll(now_(), now_() + time);
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

void FaultPlan::disturbWayToStore(std::size_t vm)
{
    Proxy& way = deployment_.wayToStore(vm);
    const milliseconds time = draw_.time(300, 4'000);
    // The VM may be the one through which others follow the store.
    promises_.onTroubleForAll(now_(), now_() + time);
    switch (draw_.below(5)) {
    case 0:
        return way.resetAll();
    case 1:
        return way.silenceOpen();
    case 2:
        way.setDelay(draw_.time(20, 400));
        break;
    case 3:
        way.setRefusing(true);
        way.resetAll();
        break;
    default:
        way.setCut(draw_.below(2) == 0, true);
    }
    clearLater(way, time);
}

void FaultPlan::disturbCallers(std::size_t vm)
{
    Proxy& way = deployment_.wayToCallers(vm);
    const milliseconds time = draw_.time(200, 1'500);
    promises_.onTrouble(vm, now_(), now_() + time);
    if (draw_.below(2) == 0)
        return way.resetAll();
    way.setDelay(draw_.time(20, 300));
    clearLater(way, time);
}

void FaultPlan::disturbWayToUpstream()
{
    Upstream& upstream = deployment_.upstreams().at(drawUpstream());
    Proxy& way = *upstream.proxy;
    const milliseconds time = draw_.time(200, 3'000);
    promises_.onWayHarmed(upstream.entry.id, now_(), now_() + time);
    switch (draw_.below(4)) {
    case 0:
        return way.resetAll();
    case 1:
        return way.silenceOpen();
    case 2:
        way.setDelay(draw_.time(10, 200));
        break;
    default:
        way.setCut(draw_.below(2) == 0, true);
    }
    clearLater(way, time);
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

// It says nothing before its end; the platform lists it for a while.
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
        runtime::sleepFor(io_, LeaveTime);
        deployment_.replace(upstream);
        isDraining_ = false;
    });
}

void FaultPlan::undoAll()
{
    deployment_.store().setMode(platform::StoreMode::Serving);
    for (std::size_t vm = 0; vm < deployment_.vmCount(); ++vm) {
        if (!deployment_.vm(vm).isRunning())
            deployment_.vm(vm).start();
        deployment_.vm(vm).signal(SIGCONT);
    }
}

} // namespace flamingousher::soak
