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

    // A VM that takes over waits until what the previous home started has ended.
    constexpr base::Duration HoldOff = std::chrono::seconds(3);

    constexpr std::uint32_t ReservationAttempts = 4;

    class Run {
    public:
        explicit Run(const Settings& settings)
            : settings_(settings)
            , random_(settings.seed)
            , world_ { events_, random_, settings_, history_, searchers_,
                [this](std::uint32_t upstream) { return homeOf(upstream); },
                [this](std::uint32_t from, std::uint32_t to, std::function<void()> message) {
                    send(from, to, std::move(message));
                },
                [this](std::uint32_t vm) { return vms_[vm].get(); } }
            , homeSince_(settings.shards * settings.replicas)
        {
            for (std::uint32_t number = 0; number < settings.shards * settings.replicas; ++number)
                searchers_.push_back(std::make_unique<FakeSearcher>(
                    events_, random_, settings_, history_, number, number % settings.shards));
            for (std::uint32_t number = 0; number < settings.vms; ++number)
                vms_.push_back(std::make_unique<Vm>(world_, number, random_()));
            for (std::uint32_t upstream = 0; upstream < searchers_.size(); ++upstream)
                homes_.push_back(upstream % settings.vms);
        }

        History execute()
        {
            const base::TimePoint end = events_.now() + settings_.duration;
            for (std::uint32_t load = 0; load < settings_.loads.size(); ++load)
                scheduleArrival(load);
            scheduleReservation();
            repeat(SweepInterval, [this] { forEachUp([](Vm& vm) { vm.sweep(); }); });
            repeat(StatusInterval, [this] { reportStatuses(); });
            scheduleFaults();
            events_.runUntil(end);
            isArriving_ = false;
            // What has arrived is still answered.
            events_.runUntil(end + std::chrono::seconds(3));
            for (const auto& vm : vms_)
                history_.unanswered += vm ? vm->unanswered() : 0;
            return std::move(history_);
        }

    private:
        void repeat(base::Duration interval, const std::function<void()>& function)
        {
            events_.after(interval, [this, interval, function] {
                function();
                repeat(interval, function);
            });
        }

        void occasionally(base::Duration mean, const std::function<void()>& function)
        {
            if (mean == base::Duration::zero())
                return;
            std::uniform_real_distribution<double> spread(0.5, 1.5);
            const auto wait = std::chrono::duration_cast<base::Duration>(mean * spread(random_));
            events_.after(wait, [this, mean, function] {
                if (isArriving_)
                    function();
                occasionally(mean, function);
            });
        }

        void scheduleFaults()
        {
            const Faults& faults = settings_.faults;
            occasionally(faults.versionInterval, [this] { publishVersion(); });
            occasionally(faults.crashInterval, [this] { crashVm(); });
            occasionally(faults.partitionInterval, [this] { divide(); });
            occasionally(faults.pauseInterval, [this] { pauseVm(); });
            occasionally(faults.drainInterval, [this] { drainUpstream(); });
            occasionally(faults.upstreamCrashInterval,
                [this] { searchers_[random_() % searchers_.size()]->crash(UpstreamRestartTime); });
        }

        void forEachUp(const std::function<void(Vm&)>& function)
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
            events_.after(wait, [this, index] {
                const Load& arriving = settings_.loads[index];
                const base::Duration at = events_.now() - start_;
                if (!isArriving_)
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
            events_.after(wait, [this] {
                if (!isArriving_)
                    return;
                scheduleReservation();
                if (Vm* vm = randomVm())
                    vm->startReservation(ReservationAttempts);
            });
        }

        void reportStatuses()
        {
            forEachUp([this](Vm& vm) {
                for (std::uint32_t upstream = 0; upstream < searchers_.size(); ++upstream)
                    vm.noteStatus(upstream, searchers_[upstream]->status());
            });
        }

        void publishVersion()
        {
            const query::IndexVersion version = ++version_;
            // Upstreams switch one after the other.
            for (const auto& searcher : searchers_) {
                FakeSearcher* each = searcher.get();
                events_.after(
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
            // Callbacks of the old incarnation may still come: it is kept, but nobody reaches it.
            graveyard_.push_back(std::move(vms_[number]));
            moveHomes(number);
            events_.after(
                RestartTime, [this, number] { vms_[number] = std::make_unique<Vm>(world_, number, random_()); });
        }

        void moveHomes(std::uint32_t from)
        {
            for (std::uint32_t upstream = 0; upstream < homes_.size(); ++upstream) {
                if (homes_[upstream] != from)
                    continue;
                homes_[upstream] = (from + 1 + upstream) % settings_.vms == from
                    ? (from + 1) % settings_.vms
                    : (from + 1 + upstream) % settings_.vms;
                homeSince_[upstream] = events_.now() + HoldOff;
            }
        }

        std::optional<std::uint32_t> homeOf(std::uint32_t upstream) const
        {
            const std::uint32_t home = homes_[upstream];
            if (!vms_[home] || homeSince_[upstream] > events_.now())
                return std::nullopt;
            return home;
        }

        void divide()
        {
            for (std::uint32_t number = 0; number < vms_.size(); ++number) {
                if (random_() % 2)
                    side_.insert(number);
            }
            events_.after(PartitionTime, [this] { side_.clear(); });
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
            if (std::uniform_real_distribution<double>(0, 1)(random_) < settings_.faults.delayChance)
                delay += settings_.faults.delay;
            const std::uint64_t fromBoot = vms_[from] ? vms_[from]->boot() : 0;
            events_.after(delay,
                [this, from, fromBoot, to, message = std::move(message)] { deliver(from, fromBoot, to, message); });
        }

        void deliver(std::uint32_t from, std::uint64_t fromBoot, std::uint32_t to, const std::function<void()>& message)
        {
            const bool isFromGone = !vms_[from] || vms_[from]->boot() != fromBoot;
            if (isFromGone || !vms_[to] || (from != to && side_.contains(from) != side_.contains(to)))
                return;
            if (vms_[to]->isPaused()) {
                events_.at(vms_[to]->pausedUntil(),
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
        std::vector<std::unique_ptr<Vm>> graveyard_;
        std::vector<std::uint32_t> homes_;
        std::vector<base::TimePoint> homeSince_;
        std::set<std::uint32_t> side_;
        const base::TimePoint start_ { events_.now() };
        std::uint64_t lastQuery_ { 0 };
        query::IndexVersion version_ { 1 };
        bool isArriving_ { true };
    };

} // namespace

History run(const Settings& settings)
{
    return Run(settings).execute();
}

Settings makeFaultySettings(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto chance = [&](double most) { return std::uniform_real_distribution<double>(0, most)(random); };
    const auto sometimes = [&](int leastMs, int mostMs) -> base::Duration {
        if (random() % 3 == 0)
            return {};
        return std::chrono::milliseconds(leastMs + random() % static_cast<unsigned>(mostMs - leastMs));
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
    settings.faults = { chance(0.05), std::chrono::milliseconds(100), chance(0.1), chance(0.1),
        std::chrono::milliseconds(40), sometimes(300, 1200), sometimes(800, 2500), sometimes(800, 2500),
        sometimes(500, 2000), sometimes(500, 2000), sometimes(500, 2000) };
    return settings;
}

} // namespace flamingousher::scenario
