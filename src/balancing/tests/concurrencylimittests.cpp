#include "balancing/concurrencylimit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start { seconds(100) };
constexpr milliseconds Step { 1 };
constexpr milliseconds Goal { 150 };

// An upstream with a queue, and VMs that always have requests for it, in virtual time.
class World {
public:
    World(std::size_t vms, std::size_t slots, milliseconds work)
        : slots_(slots)
        , work_(work)
        , vms_(vms)
    {
        const double equalPart = static_cast<double>(slots) / static_cast<double>(vms);
        for (Vm& vm : vms_)
            vm.limit.setBounds({ std::min(equalPart, 8.0), 2, 8 });
    }

    void setWork(milliseconds work) { work_ = work; }
    void pauseFor(milliseconds time) { pausedUntil_ = now_ + time; }

    // Returns the requests answered in the given time, and records the longest queue and the slowest answers.
    std::size_t run(milliseconds time)
    {
        answered_ = late_ = longestQueue_ = 0;
        for (const base::TimePoint end = now_ + time; now_ < end; now_ += Step) {
            finishRequests();
            sendRequests();
            startRequests();
            longestQueue_ = std::max(longestQueue_, queue_.size());
        }
        return answered_;
    }

    std::size_t late() const { return late_; } // beyond the goal
    std::size_t longestQueue() const { return longestQueue_; }
    double limitOf(std::size_t vm) const { return vms_[vm].limit.value(); }
    double lowestLimit() const
    {
        return std::ranges::min(vms_, {}, [](const Vm& vm) { return vm.limit.value(); }).limit.value();
    }

private:
    struct Vm {
        ConcurrencyLimit limit;
        std::size_t inFlight { 0 };
    };

    struct Request {
        std::size_t vm { 0 };
        base::TimePoint sentAt;
        base::TimePoint endsAt;
    };

    void finishRequests()
    {
        const auto isDone = [this](const Request& request) { return request.endsAt <= now_; };
        for (const Request& request : running_) {
            if (!isDone(request))
                continue;
            Vm& vm = vms_[request.vm];
            --vm.inFlight;
            vm.limit.onAnswered(request.sentAt, Goal, now_);
            ++answered_;
            late_ += now_ - request.sentAt > Goal ? 1 : 0;
        }
        std::erase_if(running_, isDone);
    }

    void sendRequests()
    {
        for (std::size_t index = 0; index < vms_.size(); ++index) {
            // No VM is always the first.
            Vm& vm = vms_[(index + static_cast<std::size_t>(now_.time_since_epoch() / Step)) % vms_.size()];
            if (vm.limit.allows(vm.inFlight, now_)) {
                ++vm.inFlight;
                queue_.push_back({ static_cast<std::size_t>(&vm - vms_.data()), now_, {} });
            } else {
                vm.limit.onWaiting();
            }
        }
    }

    void startRequests()
    {
        while (!queue_.empty() && running_.size() < slots_ && now_ >= pausedUntil_) {
            running_.push_back(queue_.front());
            running_.back().endsAt = now_ + work_;
            queue_.pop_front();
        }
    }

    std::size_t slots_;
    milliseconds work_;
    std::vector<Vm> vms_;
    std::deque<Request> queue_;
    std::vector<Request> running_;
    base::TimePoint now_ { Start };
    base::TimePoint pausedUntil_;
    std::size_t answered_ { 0 };
    std::size_t late_ { 0 };
    std::size_t longestQueue_ { 0 };
};

// What the slots can answer in the time.
double possible(std::size_t slots, milliseconds work, milliseconds time)
{
    return static_cast<double>(slots) * static_cast<double>(time / work);
}

} // namespace

// Load pattern: more work than the upstream takes, from any number of VMs.
Test(ConcurrencyLimit, keepsAnswersWithinGoalAndSlotsBusy)
{
    for (const std::size_t vms : { 1U, 6U, 9U, 35U, 50U }) {
        World world(vms, 4, milliseconds(15));
        world.run(seconds(3));
        const std::size_t answered = world.run(seconds(5));
        cr_expect_geq(static_cast<double>(answered), 0.85 * possible(4, milliseconds(15), seconds(5)), "%zu VMs", vms);
        cr_expect_leq(world.late() * 50, answered, "%zu VMs: %zu of %zu late", vms, world.late(), answered);
    }
}

// Without limits the queue of 48 connections would take 180 ms.
Test(ConcurrencyLimit, convergesWithinFiftyRequestsOfEachVm)
{
    World world(6, 4, milliseconds(15));
    const std::size_t answered = world.run(milliseconds(1'100));
    cr_expect_leq(answered, 300);
    world.run(seconds(1));
    cr_expect_leq(world.longestQueue(), 20);
}

Test(ConcurrencyLimit, followsUpstreamThatSlowsDownAndRecovers)
{
    World world(6, 4, milliseconds(15));
    world.run(seconds(3));
    world.setWork(milliseconds(90));
    world.run(seconds(2));
    const std::size_t slow = world.run(seconds(4));
    cr_expect_geq(static_cast<double>(slow), 0.8 * possible(4, milliseconds(90), seconds(4)));
    cr_expect_leq(world.longestQueue(), 6, "it gets what its slots take");
    world.setWork(milliseconds(15));
    world.run(seconds(2));
    const std::size_t recovered = world.run(seconds(4));
    cr_expect_geq(static_cast<double>(recovered), 0.85 * possible(4, milliseconds(15), seconds(4)));
}

Test(ConcurrencyLimit, followsHalvingAndDoublingOfSpeed)
{
    World world(6, 4, milliseconds(15));
    world.run(seconds(3));
    world.setWork(milliseconds(30));
    world.run(seconds(2));
    const std::size_t halved = world.run(seconds(3));
    cr_expect_geq(static_cast<double>(halved), 0.85 * possible(4, milliseconds(30), seconds(3)));
    cr_expect_leq(world.late() * 20, halved);
    world.setWork(milliseconds(15));
    world.run(seconds(2));
    cr_expect_geq(static_cast<double>(world.run(seconds(3))), 0.85 * possible(4, milliseconds(15), seconds(3)));
}

Test(ConcurrencyLimit, takesNoPauseForFullness)
{
    ConcurrencyLimit limit;
    limit.setBounds({ 0.5, 4, 8 });
    const base::TimePoint answeredAt = Start + milliseconds(160);
    for (int request = 0; request < 4; ++request)
        limit.onAnswered(Start + milliseconds(request), Goal, answeredAt);
    cr_expect_eq(limit.value(), 4);
    limit.onAnswered(answeredAt, Goal, answeredAt + milliseconds(15));
    limit.onAnswered(answeredAt + milliseconds(20), Goal, answeredAt + milliseconds(180));
    cr_expect_eq(limit.value(), 4, "another pause, with an answer in time between them");
    limit.onAnswered(answeredAt + milliseconds(181), Goal, answeredAt + milliseconds(300));
    cr_expect_lt(limit.value(), 4, "what was sent afterwards is slow too");
    cr_expect(limit.isCongested(answeredAt + milliseconds(301)));
}

// Load pattern: a VM of a large fleet, which sends to an upstream once in a while.
Test(ConcurrencyLimit, pausesBelowOneAndRecoversWithoutWaitingRequests)
{
    ConcurrencyLimit limit;
    limit.setBounds({ 0.1, 1, 2 });
    base::TimePoint now = Start;
    for (int request = 0; request < 8; ++request) {
        limit.onAnswered(now, Goal, now + milliseconds(100));
        now += milliseconds(100);
    }
    cr_expect_lt(limit.value(), 0.2);
    cr_expect(!limit.allows(0, now));
    const base::Duration wait = limit.waitTime(now);
    cr_expect(wait >= milliseconds(400), "in flight for a fifth of the time or less");
    cr_expect(limit.allows(0, now + wait));
    for (int request = 0; request < 10; ++request) {
        now += seconds(1);
        limit.onAnswered(now, Goal, now + milliseconds(15));
    }
    cr_expect_geq(limit.value(), 1 - 1e-9, "it is not starved once it is fast again");
}

// An upstream whose machine is slow says that nothing waits there.
Test(ConcurrencyLimit, believesStatedLoadUnlessAnswersContradictIt)
{
    ConcurrencyLimit limit;
    limit.setBounds({ 0.5, 4, 8 });
    base::TimePoint now = Start;
    const auto answer = [&](milliseconds latency, const std::optional<UpstreamLoad>& load) {
        limit.onAnswered(now, Goal, now + latency, load);
        now += latency;
    };
    for (int request = 0; request < 4; ++request)
        answer(milliseconds(90), UpstreamLoad { 2, 0, 4 });
    cr_expect_eq(limit.value(), 4);
    for (int request = 0; request < 2; ++request)
        answer(milliseconds(90), UpstreamLoad { 4, 3, 4 });
    cr_expect_lt(limit.value(), 4);
    const double before = limit.value();
    for (int request = 0; request < 3; ++request)
        answer(milliseconds(400), UpstreamLoad { 0, 0, 4 });
    cr_expect_lt(limit.value(), before);
}

// Load pattern: hundreds of VMs, whose equal parts of the slots are hundredths.
Test(ConcurrencyLimit, neverPausesForLong)
{
    ConcurrencyLimit limit;
    limit.setBounds({ 0.01, 1, 2 });
    base::TimePoint now = Start;
    for (int request = 0; request < 20; ++request) {
        limit.onAnswered(now, Goal, now + seconds(2));
        now += seconds(2);
        cr_expect(limit.waitTime(now) <= seconds(1));
    }
    cr_expect_lt(limit.value(), 0.02);
}

Test(ConcurrencyLimit, staysWithinNewBounds)
{
    ConcurrencyLimit limit;
    limit.setBounds({ 1, 6, 8 });
    limit.setBounds({ 1, 2, 3 });
    cr_expect_eq(limit.value(), 3);
    limit.setBounds({ 4, 5, 8 });
    cr_expect_eq(limit.value(), 4);
}
