#include "scenario/scenario.h"

#include "scenario/eventqueue.h"
#include "scenario/internal/fakesearcher.h"
#include "scenario/internal/vm.h"

#include <algorithm>

namespace flamingousher::scenario {

namespace {

    constexpr base::Duration SweepInterval = std::chrono::milliseconds(2);
    constexpr base::Duration StatusInterval = std::chrono::seconds(1);
    constexpr base::Duration LinkDelay = std::chrono::microseconds(500);
    constexpr base::Duration RestartTime = std::chrono::milliseconds(700);
    constexpr base::Duration UpstreamRestartTime = std::chrono::seconds(1);
    constexpr base::Duration PartitionTime = std::chrono::milliseconds(600);
    constexpr base::Duration PauseTime = std::chrono::milliseconds(400);

    // A new owner waits until work started by the previous owner has ended.
    constexpr base::Duration TakeoverDelay = std::chrono::seconds(3);

    constexpr std::uint32_t ReservationAttempts = 4;

    class Simulation {
    public:
        explicit Simulation(const Settings& settings)
            : settings_(settings)
            , random_(settings.seed)
            , world_ { events_, random_, settings_, history_, searchers_,
                [this](std::uint32_t upstream) { return ownerOf(upstream); },
                [this](std::uint32_t from, std::uint32_t to, std::function<void()> message) {
                    send(from, to, std::move(message));
                },
                [this](std::uint32_t vm) { return vms_[vm].get(); } }
            , ownedSince_(settings.shards * settings.replicas)
        {
            for (std::uint32_t number = 0; number < settings.shards * settings.replicas; ++number)
                searchers_.push_back(std::make_unique<FakeSearcher>(
                    events_, random_, settings_, history_, number, number % settings.shards));
            for (std::uint32_t number = 0; number < settings.vms; ++number)
                vms_.push_back(std::make_unique<Vm>(world_, number, random_()));
            for (std::uint32_t upstream = 0; upstream < searchers_.size(); ++upstream)
                owners_.push_back(upstream % settings.vms);
        }

        History execute()
        {
            const base::TimePoint end = events_.now() + settings_.duration;
            for (std::uint32_t load = 0; load < settings_.loads.size(); ++load)
                scheduleArrival(load);
            scheduleReservation();
            repeat(SweepInterval, [this] { forEachRunning([](Vm& vm) { vm.sweep(); }); });
            repeat(StatusInterval, [this] { reportStatuses(); });
            scheduleFaults();
            events_.runUntil(end);
            isLoadActive_ = false;
            // Lets queries in progress finish.
            events_.runUntil(end + std::chrono::seconds(3));
            for (const auto& vm : vms_)
                history_.unanswered += vm ? vm->unanswered() : 0;
            return std::move(history_);
        }

    private:
        void repeat(base::Duration interval, const std::function<void()>& function)
        {
            events_.scheduleAfter(interval, [this, interval, function] {
                function();
                repeat(interval, function);
            });
        }

        void repeatAtRandom(base::Duration mean, const std::function<void()>& function)
        {
            if (mean == base::Duration::zero())
                return;
            std::uniform_real_distribution<double> spread(0.5, 1.5);
            const auto wait = std::chrono::duration_cast<base::Duration>(mean * spread(random_));
            events_.scheduleAfter(wait, [this, mean, function] {
                if (isLoadActive_)
                    function();
                repeatAtRandom(mean, function);
            });
        }

        void scheduleFaults()
        {
            const Faults& faults = settings_.faults;
            repeatAtRandom(faults.versionInterval, [this] { publishVersion(); });
            repeatAtRandom(faults.crashInterval, [this] { crashVm(); });
            repeatAtRandom(faults.partitionInterval, [this] { startPartition(); });
            repeatAtRandom(faults.pauseInterval, [this] { pauseVm(); });
            repeatAtRandom(faults.drainInterval, [this] { drainUpstream(); });
            repeatAtRandom(faults.upstreamCrashInterval,
                [this] { searchers_[random_() % searchers_.size()]->crash(UpstreamRestartTime); });
        }

        void forEachRunning(const std::function<void(Vm&)>& function)
        {
            for (const auto& vm : vms_) {
                if (vm && !vm->isPaused())
                    function(*vm);
            }
        }

        Vm* randomVm()
        {
            for (int attempt = 0; attempt < 50; ++attempt) {
                Vm* vm = vms_[random_() % vms_.size()].get();
                if (vm && !vm->isPaused())
                    return vm;
            }
            return nullptr;
        }

        void scheduleArrival(std::uint32_t index)
        {
            const Load& load = settings_.loads[index];
            std::exponential_distribution<double> gap(load.queriesPerSecond);
            const auto wait = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap(random_)));
            events_.scheduleAfter(wait, [this, index] {
                const Load& arriving = settings_.loads[index];
                const base::Duration at = events_.now() - start_;
                if (!isLoadActive_)
                    return;
                scheduleArrival(index);
                Vm* vm = at >= arriving.from && at < arriving.until ? randomVm() : nullptr;
                if (!vm)
                    return;
                history_.invocations.push_back({ ++lastQuery_, arriving.rank, index, events_.now() });
                vm->startQuery(lastQuery_, arriving);
            });
        }

        void scheduleReservation()
        {
            if (settings_.reservationsPerSecond <= 0)
                return;
            std::exponential_distribution<double> gap(settings_.reservationsPerSecond);
            const auto wait = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap(random_)));
            events_.scheduleAfter(wait, [this] {
                if (!isLoadActive_)
                    return;
                scheduleReservation();
                if (Vm* vm = randomVm())
                    vm->startReservation(ReservationAttempts);
            });
        }

        void reportStatuses()
        {
            forEachRunning([this](Vm& vm) {
                for (std::uint32_t upstream = 0; upstream < searchers_.size(); ++upstream)
                    vm.onStatus(upstream, searchers_[upstream]->status());
            });
        }

        void publishVersion()
        {
            const query::IndexVersion version = ++version_;
            // Upstreams switch to the new version at different times.
            for (const auto& searcher : searchers_) {
                FakeSearcher* each = searcher.get();
                events_.scheduleAfter(
                    std::chrono::milliseconds(random_() % 200), [each, version] { each->publishVersion(version); });
            }
        }

        void crashVm()
        {
            const std::uint32_t number = static_cast<std::uint32_t>(random_() % vms_.size());
            if (!vms_[number])
                return;
            ++history_.crashes;
            history_.unanswered += vms_[number]->unanswered();
            // Pending callbacks may still refer to the crashed VM, so the object is kept, unreachable for messages.
            crashedVms_.push_back(std::move(vms_[number]));
            reassignUpstreams(number);
            events_.scheduleAfter(
                RestartTime, [this, number] { vms_[number] = std::make_unique<Vm>(world_, number, random_()); });
        }

        void reassignUpstreams(std::uint32_t from)
        {
            for (std::uint32_t upstream = 0; upstream < owners_.size(); ++upstream) {
                if (owners_[upstream] != from)
                    continue;
                owners_[upstream] = (from + 1 + upstream) % settings_.vms == from
                    ? (from + 1) % settings_.vms
                    : (from + 1 + upstream) % settings_.vms;
                ownedSince_[upstream] = events_.now() + TakeoverDelay;
            }
        }

        std::optional<std::uint32_t> ownerOf(std::uint32_t upstream) const
        {
            const std::uint32_t owner = owners_[upstream];
            if (!vms_[owner] || ownedSince_[upstream] > events_.now())
                return std::nullopt;
            return owner;
        }

        void startPartition()
        {
            for (std::uint32_t number = 0; number < vms_.size(); ++number) {
                if (random_() % 2)
                    partition_.insert(number);
            }
            events_.scheduleAfter(PartitionTime, [this] { partition_.clear(); });
        }

        void pauseVm()
        {
            if (Vm* vm = randomVm())
                vm->setPausedUntil(events_.now() + PauseTime);
        }

        void drainUpstream()
        {
            const std::uint32_t upstream = static_cast<std::uint32_t>(random_() % searchers_.size());
            if (searchers_[upstream]->isDraining())
                return;
            searchers_[upstream]->drain();
            history_.drains.push_back({ upstream, events_.now() });
        }

        void send(std::uint32_t from, std::uint32_t to, std::function<void()> message)
        {
            base::Duration delay = from == to ? base::Duration::zero() : LinkDelay;
            if (std::uniform_real_distribution<double>(0, 1)(random_) < settings_.faults.delayProbability)
                delay += settings_.faults.delay;
            const std::uint64_t fromBoot = vms_[from] ? vms_[from]->boot() : 0;
            events_.scheduleAfter(delay,
                [this, from, fromBoot, to, message = std::move(message)] { deliver(from, fromBoot, to, message); });
        }

        void deliver(std::uint32_t from, std::uint64_t fromBoot, std::uint32_t to, const std::function<void()>& message)
        {
            const bool isSenderGone = !vms_[from] || vms_[from]->boot() != fromBoot;
            if (isSenderGone || !vms_[to] || (from != to && partition_.contains(from) != partition_.contains(to)))
                return;
            if (vms_[to]->isPaused()) {
                events_.scheduleAt(vms_[to]->pausedUntil(),
                    [this, from, fromBoot, to, message] { deliver(from, fromBoot, to, message); });
                return;
            }
            message();
        }

        const Settings settings_;
        EventQueue events_;
        std::mt19937_64 random_;
        History history_;
        std::vector<std::unique_ptr<FakeSearcher>> searchers_;
        World world_;
        std::vector<std::unique_ptr<Vm>> vms_;
        std::vector<std::unique_ptr<Vm>> crashedVms_;
        std::vector<std::uint32_t> owners_;
        std::vector<base::TimePoint> ownedSince_;
        std::set<std::uint32_t> partition_;
        const base::TimePoint start_ { events_.now() };
        std::uint64_t lastQuery_ { 0 };
        query::IndexVersion version_ { 1 };
        bool isLoadActive_ { true };
    };

} // namespace

History run(const Settings& settings)
{
    return Simulation(settings).execute();
}

Settings makeFaultySettings(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto randomProbability = [&](double max) { return std::uniform_real_distribution<double>(0, max)(random); };
    const auto randomInterval = [&](int minMs, int maxMs) -> base::Duration {
        if (random() % 3 == 0)
            return {};
        return std::chrono::milliseconds(minMs + random() % static_cast<unsigned>(maxMs - minMs));
    };
    Settings settings;
    settings.seed = seed;
    settings.vms = 3 + static_cast<std::uint32_t>(random() % 3);
    settings.shards = 4 + static_cast<std::uint32_t>(random() % 5);
    settings.replicas = 2 + static_cast<std::uint32_t>(random() % 2);
    settings.slots = 1 + static_cast<std::uint32_t>(random() % 3);
    settings.duration = std::chrono::seconds(4);
    settings.reservationsPerSecond = 15;
    settings.loads = {
        { base::Rank::Urgent, "a", 30 },
        { base::Rank::Normal, "b", 20, std::chrono::milliseconds(200) },
        { base::Rank::Background, "c", 10, std::chrono::milliseconds(1500) },
    };
    settings.faults = { randomProbability(0.05), std::chrono::milliseconds(100), randomProbability(0.1),
        randomProbability(0.1), std::chrono::milliseconds(40), randomInterval(300, 1200), randomInterval(800, 2500),
        randomInterval(800, 2500), randomInterval(500, 2000), randomInterval(500, 2000), randomInterval(500, 2000) };
    return settings;
}

} // namespace flamingousher::scenario
