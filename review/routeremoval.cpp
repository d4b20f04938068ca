#include "review/caller.h"
#include "review/cases.h"

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <random>

namespace flamingousher::review {

using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::size_t VmCount = 9;
    constexpr std::size_t Shards = 10;
    constexpr std::size_t ShardReplicas = 3;
    constexpr std::size_t SingleReplicas = 7;
    constexpr std::size_t RoutesPerKind = 2;
    constexpr std::size_t CallerCount = 100;
    constexpr std::uint32_t RequestsPerConnection = 20;
    constexpr std::uint32_t MaxPauseMs = 640;
    constexpr const char* Host = "sklep.example";

    // A version every 4.5 s leaves half a second in between that the rule does not count as beside a configuration.
    constexpr milliseconds VersionInterval { 4'500 };
    constexpr std::size_t VersionCount = 20;
    constexpr milliseconds ConfigApplyTime { 3'000 };
    constexpr milliseconds PlannedWorkTime = ConfigApplyTime + seconds(1);

    // A request that has used this part of its time is not counted.
    constexpr double MaxTimeUsed = 0.7;

    // As on the sheet of the site.
    struct Kind {
        const char* name;
        bool isFanout;
        bool isIdempotent;
        std::uint32_t share; // of ten requests
        milliseconds goal;
        milliseconds timeLimit;
        WorkTime work;
        std::uint32_t recordLimit;
        double minCoverage;
    };

    const std::array<Kind, 3> Kinds { {
        { "pelny", true, true, 6, milliseconds(120), milliseconds(800), { 15, 0.35, 110 }, 20, 0.89 },
        { "podpowiedzi", true, true, 2, milliseconds(50), milliseconds(300), { 5, 0.35, 38 }, 5, 0.75 },
        { "nocny", false, true, 2, milliseconds(1'000), milliseconds(3'000), { 120, 0.5, 720 }, 0, 0 },
    } };

    struct UsedRoute {
        std::string name;
        TimePoint usableFrom; // once it is due at all VMs

        std::string prefix() const { return "/" + name + "/"; }
    };

    struct Version {
        TimePoint sentAt;
        TimePoint acknowledgedAt;
    };

    class RouteRemoval {
    public:
        explicit RouteRemoval(World& world)
            : world_(world)
        {
        }

        Verdict run(bool hasTrouble)
        {
            addSearchers();
            for (std::size_t route = 0; route < RoutesPerKind; ++route)
                addRoutes({});
            if (!world_.start(VmCount, makeConfiguration()))
                return Verdict::NotRun;
            runtime::spawnFiber([this] { world_.superviseProcesses(); });
            for (std::size_t caller = 0; caller < CallerCount; ++caller)
                runtime::spawnFiber([this] { runCaller(); });
            for (std::size_t version = 0; version < VersionCount; ++version) {
                runtime::sleepFor(world_.io(), VersionInterval);
                if (hasTrouble)
                    replaceRoutes();
            }
            runtime::sleepFor(world_.io(), VersionInterval);
            isStopping_ = true;
            runtime::sleepFor(world_.io(), seconds(2));
            return judge();
        }

    private:
        void addSearchers()
        {
            for (std::size_t shard = 0; shard < Shards; ++shard) {
                for (std::size_t replica = 0; replica < ShardReplicas; ++replica)
                    world_.addSearcher({ shardName(shard), "i-" + std::to_string(shard) + "-" + std::to_string(replica),
                        replica % 2 == 0 ? "a" : "b", 3, 18, 400 });
            }
            for (std::size_t replica = 0; replica < SingleReplicas; ++replica)
                world_.addSearcher(
                    { "kontrola", "k-" + std::to_string(replica), replica % 2 == 0 ? "a" : "b", 6, 24, 6'000 });
            for (const auto& searcher : world_.searchers()) {
                for (const Kind& kind : Kinds)
                    searcher->setWork(std::string("/") + kind.name, kind.work);
            }
        }

        static std::string shardName(std::size_t shard) { return "apka-" + std::to_string(shard); }

        void addRoutes(TimePoint usableFrom)
        {
            ++lastRoute_;
            for (std::size_t kind = 0; kind < Kinds.size(); ++kind)
                routes_.at(kind).push_back(
                    { Kinds.at(kind).name + std::string("-") + std::to_string(lastRoute_), usableFrom });
        }

        routing::Configuration makeConfiguration()
        {
            routing::Configuration configuration;
            configuration.version = ++version_;
            for (std::size_t index = 0; index < Kinds.size(); ++index) {
                for (const UsedRoute& used : routes_.at(index))
                    configuration.routes.push_back(makeRoute(Kinds.at(index), used));
            }
            for (std::size_t shard = 0; shard < Shards; ++shard)
                configuration.services.push_back({ shardName(shard), 31 });
            configuration.services.push_back({ "kontrola", 110 });
            return configuration;
        }

        static routing::Route makeRoute(const Kind& kind, const UsedRoute& used)
        {
            routing::Route route { .name = used.name,
                .host = Host,
                .pathPrefix = used.prefix(),
                .isIdempotent = kind.isIdempotent,
                .timeout = kind.timeLimit,
                .goal = kind.goal,
                .priority = 1,
                .maxAttempts = 2 };
            if (!kind.isFanout) {
                route.services = { { "kontrola", 1 } };
                return route;
            }
            for (std::size_t shard = 0; shard < Shards; ++shard)
                route.shards.push_back(shardName(shard));
            route.recordLimit = kind.recordLimit;
            route.minCoverage = kind.minCoverage;
            return route;
        }

        // The next version drops the oldest route of each kind and has a new one instead.
        void replaceRoutes()
        {
            const TimePoint sentAt = std::chrono::steady_clock::now();
            for (auto& routes : routes_) {
                world_.record().write("remove route " + routes.front().name);
                routes.pop_front();
            }
            addRoutes(sentAt + ConfigApplyTime);
            world_.publish(makeConfiguration());
            versions_.push_back({ sentAt, std::chrono::steady_clock::now() });
        }

        void runCaller()
        {
            while (!isStopping_) {
                Caller caller(world_, random_() % VmCount);
                for (std::uint32_t request = 0; request < RequestsPerConnection && !isStopping_; ++request) {
                    outcomes_.push_back(caller.send(makeCall()));
                    if (!outcomes_.back().hasAnswer)
                        break;
                    runtime::sleepFor(world_.io(), milliseconds(random_() % MaxPauseMs));
                }
            }
        }

        Call makeCall()
        {
            std::uint32_t draw = random_() % 10;
            std::size_t index = 0;
            while (draw >= Kinds.at(index).share)
                draw -= Kinds.at(index++).share;
            const auto& routes = routes_.at(index);
            const TimePoint now = std::chrono::steady_clock::now();
            const auto usable = static_cast<std::size_t>(
                std::ranges::count_if(routes, [&](const UsedRoute& route) { return route.usableFrom <= now; }));
            const UsedRoute& route = routes.at(random_() % usable);
            const std::string id = std::to_string(++lastRequest_);
            return { "q" + id, route.name, Host, route.prefix() + id, {}, Kinds.at(index).timeLimit };
        }

        bool isBesideConfiguration(const Outcome& outcome) const
        {
            return std::ranges::any_of(versions_, [&](const Version& version) {
                return outcome.endedAt >= version.sentAt && outcome.endedAt <= version.acknowledgedAt + PlannedWorkTime;
            });
        }

        // Returns whether the request was passed on to a searcher before its connection was closed.
        bool isLost(const Outcome& outcome) const
        {
            if (!outcome.isCut() || outcome.endedAt - outcome.sentAt >= MaxTimeUsed * outcome.call.timeLimit)
                return false;
            return std::ranges::any_of(
                world_.searchers(), [&](const auto& searcher) { return searcher->runs().contains(outcome.call.id); });
        }

        // Beside a configuration, cuts count only if the machine cuts requests over three times as often then as at
        // other times.
        Verdict judge() const
        {
            std::size_t lostRequests = 0;
            std::size_t countedMachines = 0;
            for (std::size_t vm = 0; vm < VmCount; ++vm) {
                std::array<double, 2> sent {};
                std::array<double, 2> lost {};
                for (const Outcome& outcome : outcomes_) {
                    if (outcome.vm != vm || !outcome.isSent)
                        continue;
                    const std::size_t when = isBesideConfiguration(outcome) ? 1 : 0;
                    sent.at(when) += 1;
                    lost.at(when) += isLost(outcome) ? 1 : 0;
                }
                const bool isCounted = lost[1] > 0 && lost[1] * sent[0] > 3 * lost[0] * sent[1];
                countedMachines += isCounted ? 1 : 0;
                lostRequests += isCounted ? static_cast<std::size_t>(lost[1]) : 0;
            }
            const std::string summary = "requests " + std::to_string(outcomes_.size()) + ", versions "
                + std::to_string(versions_.size()) + ", processes ended by themselves "
                + std::to_string(world_.processEnds().size()) + ", requests lost beside a configuration "
                + std::to_string(lostRequests) + " at " + std::to_string(countedMachines) + " machines";
            world_.record().write(summary);
            std::printf("%s\n", summary.c_str());
            std::fflush(stdout);
            return lostRequests > 0 ? Verdict::Broken : Verdict::Held;
        }

        World& world_;
        std::mt19937 random_ { 1 };
        std::array<std::deque<UsedRoute>, Kinds.size()> routes_;
        std::vector<Version> versions_;
        std::vector<Outcome> outcomes_;
        std::uint64_t version_ { 0 };
        std::uint64_t lastRoute_ { 0 };
        std::uint64_t lastRequest_ { 0 };
        bool isStopping_ { false };
    };

} // namespace

Verdict runRouteRemoval(World& world, bool hasTrouble)
{
    // Fibers use it until this process exits.
    auto* trial = new RouteRemoval(world);
    return trial->run(hasTrouble);
}

} // namespace flamingousher::review
