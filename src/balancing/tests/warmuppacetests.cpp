#include "balancing/upstreampacer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace flamingousher;
using namespace flamingousher::balancing;

namespace {

constexpr base::TimePoint Start { std::chrono::seconds(100) };
constexpr base::Duration WarmUpTime = std::chrono::seconds(6);
constexpr base::Duration Step = std::chrono::milliseconds(5);

// VMs that send to one cold upstream whenever they are allowed to, and the most that reaches it in any second.
class Fleet {
public:
    Fleet(const WarmUpBound& bound, std::size_t vms)
        : bound_(bound)
        , pacers_(vms)
    {
    }

    void start(std::size_t vm, std::size_t position, std::size_t vmCount, base::TimePoint now)
    {
        pacers_[vm] = {};
        pacers_[vm].setWarmUp(Start + WarmUpTime, computeWarmUpPace(bound_, position, vmCount), now);
    }

    void startAll(base::TimePoint now)
    {
        for (std::size_t vm = 0; vm < pacers_.size(); ++vm)
            start(vm, vm, pacers_.size(), now);
    }

    void sendAll(base::TimePoint now)
    {
        for (UpstreamPacer& pacer : pacers_) {
            if (!pacer.allows(now) || !pacer.isWarmingUp(now))
                continue;
            pacer.onSent(now);
            ++total_;
            recent_.push_back(now);
        }
        while (!recent_.empty() && recent_.front() + std::chrono::seconds(1) <= now)
            recent_.pop_front();
        mostInOneSecond_ = std::max(mostInOneSecond_, recent_.size());
    }

    std::size_t total() const { return total_; }
    double mostInOneSecond() const { return static_cast<double>(mostInOneSecond_); }

private:
    WarmUpBound bound_;
    std::vector<UpstreamPacer> pacers_;
    std::deque<base::TimePoint> recent_;
    std::size_t total_ { 0 };
    std::size_t mostInOneSecond_ { 0 };
};

const std::vector<WarmUpBound> Bounds { { 1, 1.5, 5 }, { 4, 1.5, 5 }, { 12, 1.5, 5 }, { 80, 1.5, 5 }, { 3, 1.2, 0 } };

} // namespace

Test(WarmUpPace, staysWithinBoundForAnyNumberOfVms)
{
    for (const WarmUpBound& bound : Bounds) {
        for (const std::size_t vms : { 1U, 3U, 9U, 76U, 2'000U }) {
            Fleet fleet(bound, vms);
            fleet.startAll(Start);
            for (base::TimePoint now = Start; now < Start + WarmUpTime; now += Step)
                fleet.sendAll(now);
            cr_expect_leq(fleet.mostInOneSecond(), bound.total(), "%zu VMs, %.0f/s", vms, bound.requestsPerSecond);
            cr_expect_gt(fleet.total(), 0, "%zu VMs, %.0f/s: a cold upstream is used", vms, bound.requestsPerSecond);
        }
    }
}

// Load pattern: the sides of a split fleet take each other for dead.
Test(WarmUpPace, staysWithinBoundInSplitFleet)
{
    for (const WarmUpBound& bound : Bounds) {
        Fleet fleet(bound, 76);
        for (std::size_t vm = 0; vm < 76; ++vm)
            fleet.start(vm, vm % 38, 38, Start);
        for (base::TimePoint now = Start; now < Start + WarmUpTime; now += Step)
            fleet.sendAll(now);
        cr_expect_leq(fleet.mostInOneSecond(), bound.total(), "%.0f/s", bound.requestsPerSecond);
    }
}

// Load pattern: many VMs are killed and start again while a zone comes back cold.
Test(WarmUpPace, staysWithinBoundAfterMassRestart)
{
    for (const WarmUpBound& bound : Bounds) {
        Fleet fleet(bound, 76);
        fleet.startAll(Start);
        for (base::TimePoint now = Start; now < Start + WarmUpTime; now += Step) {
            if (now == Start + std::chrono::seconds(2))
                fleet.startAll(now);
            fleet.sendAll(now);
        }
        cr_expect_leq(fleet.mostInOneSecond(), bound.total(), "%.0f/s", bound.requestsPerSecond);
    }
}

Test(WarmUpPace, lendsNoPaceToOthers)
{
    UpstreamPacer pacer;
    pacer.setWarmUp(Start + WarmUpTime, computeWarmUpPace({ 4, 1.5, 5 }, 70, 76), Start);
    cr_expect(!pacer.allows(Start + WarmUpTime - Step));
    const base::Duration wait = pacer.waitTime(Start);
    cr_expect(wait > WarmUpTime);
    cr_expect(wait <= WarmUpTime + std::chrono::seconds(1), "VMs begin within a second once it is warm");
    cr_expect(pacer.allows(Start + wait));
    cr_expect(!pacer.isWarmingUp(Start + wait));
}

Test(WarmUpPace, doesNotLimitUpstreamsThatStateNone)
{
    UpstreamPacer pacer;
    pacer.setWarmUp(Start + WarmUpTime, std::nullopt, Start);
    cr_expect(pacer.allows(Start));
    cr_expect(!pacer.isWarmingUp(Start));
}

// An upstream may become cold again at any moment.
Test(WarmUpPace, appliesAgainWhenUpstreamIsColdAgain)
{
    UpstreamPacer pacer;
    const WarmUpPace pace = computeWarmUpPace({ 4, 1.5, 5 }, 0, 1);
    pacer.setWarmUp(Start, pace, Start);
    cr_expect(pacer.allows(Start));
    pacer.setWarmUp(Start + WarmUpTime, pace, Start);
    cr_expect(!pacer.allows(Start), "it begins without tokens");
    cr_expect(pacer.allows(Start + std::chrono::seconds(1)));
}
