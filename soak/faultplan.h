#pragma once

#include "soak/deployment.h"
#include "soak/draw.h"

namespace flamingousher::soak {

// Injects random faults and planned work from a seed. Phases with overlapping faults alternate with calm phases in
// which every promise can be checked; planned stops, new versions and draining upstreams occur in both. Used on one
// thread.
class FaultPlan {
public:
    FaultPlan(boost::asio::io_context&, Deployment&, Promises&, std::function<TimePoint()> now, std::uint64_t seed);

    // Injects faults for the given time, then ends them all. Returns once all processes have been restarted.
    void run(base::Duration time);

private:
    void injectFault();
    void performPlannedWork();
    void runPlannedWork(TimePoint until);
    void runEvacuations(TimePoint until);
    void restoreAll();

    void killVm(std::size_t vm);
    void pauseVm(std::size_t vm);
    void stopVm(std::size_t vm);
    void restartExitedVms(TimePoint until);
    void disturbStore();
    void disturbStorePath(std::size_t vm);
    void disturbCallerPath(std::size_t vm);
    void disturbUpstreamPath();
    void disturbUpstream();
    void crashUpstream();
    void drainUpstream();

    std::size_t drawVm() { return draw_.below(static_cast<std::uint32_t>(deployment_.vmCount())); }
    std::size_t drawUpstream();

    // Removes all faults of the proxy after the given time.
    void restoreLater(Proxy&, std::chrono::milliseconds time);

    // Runs the function in a new fiber; run() waits until it ends.
    void spawn(std::function<void()>);

    boost::asio::io_context& io_;
    Deployment& deployment_;
    Promises& promises_;
    std::function<TimePoint()> now_;
    Draw draw_;
    Draw evacuationDraw_; // of its own, so that the other draws of earlier seeds stay what they were
    std::size_t running_ { 0 };
    std::vector<bool> isStopping_; // VMs in a planned stop
    bool isDraining_ { false };
};

} // namespace flamingousher::soak
