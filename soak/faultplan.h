#pragma once

#include "soak/deployment.h"
#include "soak/draw.h"

namespace flamingousher::soak {

// Draws faults and planned work from a seed: phases full of overlapping faults alternate with calm ones, in which every
// promise can be checked; planned stops, new versions and leaving upstreams go on all the time. Used on one thread.
class FaultPlan {
public:
    FaultPlan(boost::asio::io_context&, Deployment&, Promises&, std::function<TimePoint()> now, std::uint64_t seed);

    // Disturbs for the given time, then undoes everything. Returns when all processes run again.
    void run(base::Duration time);

private:
    void disturb();
    void doPlannedWork();
    void runPlannedWork(TimePoint until);
    void undoAll();

    void killVm(std::size_t vm);
    void pauseVm(std::size_t vm);
    void stopVm(std::size_t vm);
    void keepRunning(TimePoint until);
    void disturbStore();
    void disturbWayToStore(std::size_t vm);
    void disturbCallers(std::size_t vm);
    void disturbWayToUpstream();
    void disturbUpstream();
    void crashUpstream();
    void drainUpstream();

    std::size_t drawVm() { return draw_.below(static_cast<std::uint32_t>(deployment_.vmCount())); }
    std::size_t drawUpstream();

    // Undoes after the time what has been done to the way.
    void clearLater(Proxy&, std::chrono::milliseconds time);

    // Runs the function in a fiber of its own; run() waits for its end.
    void spawn(std::function<void()>);

    boost::asio::io_context& io_;
    Deployment& deployment_;
    Promises& promises_;
    std::function<TimePoint()> now_;
    Draw draw_;
    std::size_t running_ { 0 };
    std::vector<bool> isStopping_; // VMs that were asked to stop
    bool isDraining_ { false };
};

} // namespace flamingousher::soak
