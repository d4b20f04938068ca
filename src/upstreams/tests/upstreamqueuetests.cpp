#include "upstreams/upstreamqueue.h"

#include <criterion/criterion.h>

#include <random>
#include <utility>

using namespace flamingousher;
using namespace flamingousher::upstreams;
using base::Rank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { seconds(1000) };

QueuedWork work(SubRequestId id, Rank rank, const std::string& caller = "c", milliseconds lifetime = seconds(60))
{
    return { id, rank, caller, Start + lifetime };
}

// Simulates a saturated upstream with service times of 4 to 6 ms and counts the finished work of each rank.
class Saturation {
public:
    Saturation(QueueSettings settings, std::uint64_t seed)
        : queue_(settings)
        , random_(seed)
    {
    }

    // Keeps the given number of sub-requests of each rank waiting throughout the period.
    std::array<std::size_t, base::RankCount> run(std::array<std::size_t, base::RankCount> depths, milliseconds period)
    {
        std::array<std::size_t, base::RankCount> finished {};
        for (base::TimePoint now = Start; now < Start + period; now += milliseconds(1)) {
            topUp(depths, now);
            finishDue(now, finished);
            for (const QueuedWork& started : queue_.startReady(now))
                running_.emplace_back(started, now + milliseconds(4 + random_() % 3));
        }
        return finished;
    }

private:
    void topUp(const std::array<std::size_t, base::RankCount>& depths, base::TimePoint now)
    {
        for (Rank rank : base::AllRanks) {
            while (queue_.waitingCount(rank) < depths[base::indexOf(rank)])
                queue_.offer({ ++lastId_, rank, "c", base::TimePoint::max() }, now);
        }
    }

    void finishDue(base::TimePoint now, std::array<std::size_t, base::RankCount>& finished)
    {
        std::erase_if(running_, [&](const auto& entry) {
            if (entry.second > now)
                return false;
            queue_.finish(entry.first.id, now);
            ++finished[base::indexOf(entry.first.rank)];
            return true;
        });
    }

    UpstreamQueue queue_;
    std::mt19937_64 random_;
    SubRequestId lastId_ { 0 };
    std::vector<std::pair<QueuedWork, base::TimePoint>> running_;
};

} // namespace

Test(UpstreamQueue, limitsRunningWorkToSlots)
{
    UpstreamQueue queue({ 3, { 0, 0, 0 }, 100 });
    for (SubRequestId id = 1; id <= 10; ++id)
        queue.offer(work(id, Rank::Normal), Start);
    cr_expect_eq(queue.startReady(Start).size(), 3u);
    cr_expect(queue.startReady(Start).empty());
    cr_expect(queue.finish(1, Start + milliseconds(1)));
    cr_expect_not(queue.finish(1, Start + milliseconds(1)));
    cr_expect_eq(queue.startReady(Start + milliseconds(1)).size(), 1u);
}

Test(UpstreamQueue, startsUrgentBeforeNormalBeforeBackground)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 100 });
    queue.offer(work(1, Rank::Background), Start);
    queue.offer(work(2, Rank::Normal), Start);
    queue.offer(work(3, Rank::Urgent), Start);
    std::vector<SubRequestId> startOrder;
    for (int turn = 0; turn < 3; ++turn) {
        const QueuedWork started = queue.startReady(Start).front();
        startOrder.push_back(started.id);
        queue.finish(started.id, Start);
    }
    cr_expect(startOrder == (std::vector<SubRequestId> { 3, 2, 1 }));
}

Test(UpstreamQueue, ordersOneCallersWorkByDeadline)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 100 });
    queue.offer(work(1, Rank::Normal, "c", milliseconds(900)), Start);
    queue.offer(work(2, Rank::Normal, "c", milliseconds(300)), Start);
    cr_expect_eq(queue.startReady(Start).front().id, 2u);
}

Test(UpstreamQueue, schedulesCallersOfARankFairly)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 1000 });
    for (SubRequestId id = 1; id <= 100; ++id)
        queue.offer(work(id, Rank::Normal, "flood"), Start);
    for (SubRequestId id = 101; id <= 103; ++id)
        queue.offer(work(id, Rank::Normal, "quiet"), Start);
    int quietStarted = 0;
    for (int turn = 0; turn < 8; ++turn) {
        const QueuedWork started = queue.startReady(Start).front();
        quietStarted += started.caller == "quiet" ? 1 : 0;
        queue.finish(started.id, Start);
    }
    cr_expect_eq(quietStarted, 3);
}

Test(UpstreamQueue, guaranteesMinSharesDuringAnUrgentFlood)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Saturation saturation({ 3, { 0.5, 0.2, 0.05 }, 10000 }, seed);
        const auto finished = saturation.run({ 200, 20, 20 }, seconds(20));
        const double total = static_cast<double>(finished[0] + finished[1] + finished[2]);
        cr_expect_geq(static_cast<double>(finished[1]) / total, 0.9 * 0.2);
        cr_expect_geq(static_cast<double>(finished[2]) / total, 0.9 * 0.05);
        cr_expect_geq(static_cast<double>(finished[0]) / total, 0.5);
    }
}

Test(UpstreamQueue, lendsUnusedShareImmediately)
{
    Saturation saturation({ 3, { 0.9, 0.1, 0 }, 10000 }, 1);
    const auto finished = saturation.run({ 0, 0, 50 }, seconds(10));
    // 3 slots and about 5 ms per sub-request: about 6,000 in 10 s if background work may use all slots.
    cr_expect_geq(finished[2], 5000u);
}

Test(UpstreamQueue, reservesASlotForUrgentWorkDuringAFlood)
{
    UpstreamQueue queue({ 3, { 0, 0, 0 }, 10'000 });
    SubRequestId id = 0;
    std::vector<SubRequestId> running;
    base::TimePoint now = Start;
    const auto finishAll = [&] {
        for (SubRequestId done : std::exchange(running, {}))
            queue.finish(done, now);
    };
    std::size_t maxRunning = 0;
    for (int round = 0; round < 200; ++round, now += milliseconds(5)) {
        for (int count = 0; count < 20; ++count)
            queue.offer({ ++id, Rank::Background, "flood", base::TimePoint::max() }, now);
        finishAll();
        for (const QueuedWork& started : queue.startReady(now))
            running.push_back(started.id);
        if (round > 100)
            maxRunning = std::max(maxRunning, running.size());
        if (round == 100) {
            queue.offer({ ++id, Rank::Urgent, "c", now + milliseconds(86) }, now);
            finishAll();
            for (const QueuedWork& started : queue.startReady(now))
                running.push_back(started.id);
        }
    }
    cr_expect_eq(maxRunning, 2u);
    queue.offer({ ++id, Rank::Urgent, "c", now + milliseconds(86) }, now);
    cr_expect_eq(queue.startReady(now).size(), 1u, "an urgent sub-request starts immediately");
}

Test(UpstreamQueue, reservesNoSlotWithoutAFlood)
{
    UpstreamQueue queue({ 2, { 0, 0, 0 }, 100 });
    queue.offer(work(1, Rank::Urgent), Start);
    queue.finish(queue.startReady(Start).front().id, Start);
    queue.offer(work(2, Rank::Normal), Start);
    queue.offer(work(3, Rank::Normal), Start);
    cr_expect_eq(queue.startReady(Start).size(), 2u);
}

Test(UpstreamQueue, rejectsWorkThatCannotStartBeforeItsDeadline)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 1000 });
    for (SubRequestId id = 1; id <= 20; ++id)
        queue.offer(work(id, Rank::Normal), Start);
    queue.startReady(Start);
    cr_expect_eq(queue.offer(work(21, Rank::Normal, "c", milliseconds(50)), Start), OfferResult::CannotMeetDeadline);
    cr_expect_eq(queue.offer(work(22, Rank::Urgent, "c", milliseconds(50)), Start), OfferResult::Queued);
}

Test(UpstreamQueue, returnsExpiredWork)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 1000 });
    queue.offer(work(1, Rank::Normal), Start);
    queue.startReady(Start);
    queue.offer(work(2, Rank::Normal, "c", milliseconds(20)), Start);
    cr_expect(queue.removeExpired(Start + milliseconds(19)).empty());
    cr_expect_eq(queue.removeExpired(Start + milliseconds(20)).front().id, 2u);
    cr_expect_eq(queue.waitingCount(), 0u);
}

Test(UpstreamQueue, reportsWhetherCancelledWorkHadStarted)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 10 });
    queue.offer(work(1, Rank::Normal), Start);
    queue.offer(work(2, Rank::Normal), Start);
    queue.startReady(Start);
    cr_expect_eq(queue.cancel(1), CancelResult::IsRunning);
    cr_expect_eq(queue.cancel(2), CancelResult::RemovedBeforeStart);
    cr_expect_eq(queue.cancel(3), CancelResult::NotFound);
}

Test(UpstreamQueue, rejectsWorkWhileDraining)
{
    UpstreamQueue queue({ 1, { 0, 0, 0 }, 10 });
    queue.setDraining(true);
    cr_expect_eq(queue.offer(work(1, Rank::Urgent), Start), OfferResult::Draining);
}
