#include "quantile.h"
#include "scenario/scenario.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <future>
#include <map>
#include <set>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "Seed of the runs.");
DEFINE_uint32(seconds, 5, "Virtual seconds of each run.");
DEFINE_string(only, "", "Run only the scenarios whose name contains this text.");
DEFINE_string(variant, "", "Run only this policy.");

namespace {

using namespace flamingousher;
using namespace flamingousher::scenario;
using base::Rank;
using std::chrono::milliseconds;

// A deployment of the users, reduced to its search services.
struct Deployment {
    const char* name;
    std::uint32_t slots;
    std::array<double, base::RankCount> minShares;
};

struct Variant {
    const char* name;
    Policy policy;
};

struct RankFigures {
    double p50Ms { 0 };
    double p99Ms { 0 };
    double p999Ms { 0 };
    double answeredPerSecond { 0 };
    double offeredPerSecond { 0 };
    double refusedFraction { 0 }; // reported as not run
    double failedFraction { 0 }; // answered with an error after work was done
    double coverage { 0 };
};

struct Figures {
    std::array<RankFigures, base::RankCount> ranks;
    double extraFraction { 0 };
    std::size_t violations { 0 };
};

constexpr std::uint32_t Shards = 25;
constexpr std::uint32_t ManyShards = 90;
constexpr std::uint32_t Replicas = 3;
constexpr milliseconds ServiceTime { 4 };

// Returns the queries per second that the searchers of a deployment can answer.
double capacityOf(const Deployment& deployment)
{
    constexpr double MeanOfSpread = 1.046; // of the log-normal service times
    const double perSlot = 1000.0 / (ServiceTime.count() * MeanOfSpread);
    return Replicas * deployment.slots * perSlot;
}

Figures summarize(const Settings& settings, const History& history)
{
    Figures figures;
    std::map<std::uint64_t, const Invocation*> invocations;
    std::array<std::size_t, base::RankCount> offered {};
    for (const Invocation& invocation : history.invocations) {
        invocations[invocation.query] = &invocation;
        ++offered[base::indexOf(invocation.rank)];
    }
    std::array<std::vector<double>, base::RankCount> latencies;
    std::array<std::size_t, base::RankCount> refused {};
    std::array<std::size_t, base::RankCount> failed {};
    std::array<double, base::RankCount> coverage {};
    for (const Answer& answer : history.answers) {
        const Invocation& invocation = *invocations.at(answer.query);
        const std::size_t rank = base::indexOf(invocation.rank);
        if (answer.outcome.error) {
            const bool isRefusal = answer.outcome.error->runState == base::RunState::NotRun;
            ++(isRefusal ? refused : failed)[rank];
            continue;
        }
        latencies[rank].push_back(base::toMilliseconds(answer.at - invocation.at));
        coverage[rank] += static_cast<double>(answer.outcome.shardsAnswered()) / answer.outcome.shardsQueried;
    }
    const double seconds = std::chrono::duration<double>(settings.duration).count();
    for (std::size_t rank = 0; rank < base::RankCount; ++rank) {
        std::ranges::sort(latencies[rank]);
        const double count = static_cast<double>(latencies[rank].size());
        const double all = std::max(1.0, static_cast<double>(offered[rank]));
        figures.ranks[rank]
            = { quantile(latencies[rank], 0.5), quantile(latencies[rank], 0.99), quantile(latencies[rank], 0.999),
                  count / seconds, offered[rank] / seconds, static_cast<double>(refused[rank]) / all,
                  static_cast<double>(failed[rank]) / all, count > 0 ? coverage[rank] / count : 0 };
    }
    const double extra = static_cast<double>(std::ranges::count(history.executions, true, &Execution::isExtra));
    const double first = static_cast<double>(history.executions.size()) - extra;
    figures.extraFraction = first > 0 ? extra / first : 0;
    figures.violations = check(settings, history).size();
    return figures;
}

Settings baseSettings(const Deployment& deployment)
{
    Settings settings;
    settings.seed = FLAGS_seed;
    settings.shards = Shards;
    settings.replicas = Replicas;
    settings.slots = deployment.slots;
    settings.serviceTime = ServiceTime;
    settings.minShares = deployment.minShares;
    settings.duration = std::chrono::seconds(FLAGS_seconds);
    const double capacity = capacityOf(deployment);
    settings.loads = {
        { Rank::Urgent, "counter", 0.15 * capacity, milliseconds(86), 0.5 },
        { Rank::Normal, "console", 0.25 * capacity, milliseconds(300), 0.5 },
        { Rank::Background, "reports", 0.05 * capacity, milliseconds(2'000), 0.9 },
    };
    return settings;
}

struct Scenario {
    const char* name;
    std::function<void(Settings&, double capacity)> change;
};

std::vector<Scenario> scenarios()
{
    return {
        { "urgent alone", [](Settings& settings, double) { settings.loads.resize(1); } },
        { "steady", [](Settings&, double) {} },
        { "stragglers 1%", [](Settings& settings, double) { settings.faults.stragglerProbability = 0.01; } },
        { "stragglers 1%, 90 shards",
            [](Settings& settings, double) {
                settings.shards = ManyShards;
                settings.faults.stragglerProbability = 0.01;
            } },
        { "background flood x10",
            [](Settings& settings, double capacity) {
                settings.loads.push_back({ Rank::Background, "flood", 10 * capacity, milliseconds(2'000), 0.9 });
            } },
        { "urgent flood x5",
            [](Settings& settings, double capacity) {
                settings.loads.push_back({ Rank::Urgent, "flood", 5 * capacity, milliseconds(86), 0.5 });
            } },
        { "replica lost", [](Settings& settings, double) { settings.unreachableUpstreams = { 3 }; } },
        { "replica slow", [](Settings& settings, double) { settings.slowUpstreams = { 3 }; } },
        { "upstream silent", [](Settings& settings, double) { settings.silentUpstreams = { 3 }; } },
    };
}

std::vector<Variant> variants()
{
    Policy fifo;
    fifo.hasRanks = false;
    fifo.hasGate = false;
    fifo.hasHedging = false;
    fifo.choosesByLatency = false;
    Policy threshold = fifo;
    threshold.fixedLimit = 8;
    Policy noGate;
    noGate.hasGate = false;
    Policy noHedge;
    noHedge.hasHedging = false;
    Policy oneHedge;
    oneHedge.hedgesPerShard = 1;
    return { { "product", {} }, { "one hedge", oneHedge }, { "no gate", noGate }, { "no hedge", noHedge },
        { "fifo", fifo }, { "fifo with threshold", threshold } };
}

void printRow(const char* scenario, const char* variant, const Figures& figures)
{
    std::printf("| %s | %s |", scenario, variant);
    for (const RankFigures& rank : figures.ranks) {
        if (rank.offeredPerSecond == 0) {
            std::printf(" - | - | - | - |");
            continue;
        }
        std::printf(" %.1f / %.1f / %.1f | %.0f of %.0f | %.0f%% + %.0f%% | %.3f |", rank.p50Ms, rank.p99Ms,
            rank.p999Ms, rank.answeredPerSecond, rank.offeredPerSecond, 100 * rank.refusedFraction,
            100 * rank.failedFraction, rank.coverage);
    }
    std::printf(" %.1f%% | %zu |\n", 100 * figures.extraFraction, figures.violations);
}

const char* targetResult(bool isMet)
{
    return isMet ? "met" : "NOT MET";
}

void printTargets(const Deployment& deployment, const std::map<std::string, Figures>& product)
{
    const double capacity = capacityOf(deployment);
    const double unloaded = product.at("urgent alone").ranks[0].p99Ms;
    const double flooded = product.at("background flood x10").ranks[0].p99Ms;
    std::printf("\n%s: urgent p99 in the background flood %.2f times unloaded (target 1.2): %s\n", deployment.name,
        flooded / unloaded, targetResult(flooded <= 1.2 * unloaded));
    for (Rank rank : { Rank::Normal, Rank::Background }) {
        const RankFigures& figures = product.at("urgent flood x5").ranks[base::indexOf(rank)];
        const double due = std::min(figures.offeredPerSecond, deployment.minShares[base::indexOf(rank)] * capacity);
        std::printf("%s: %s answers %.0f/s in the urgent flood, %.0f%% of its floor (target 90%%): %s\n",
            deployment.name, std::string(base::toString(rank)).c_str(), figures.answeredPerSecond,
            100 * figures.answeredPerSecond / due, targetResult(figures.answeredPerSecond >= 0.9 * due));
    }
    double worstExtra = 0;
    std::size_t violations = 0;
    for (const auto& [name, figures] : product) {
        worstExtra = std::max(worstExtra, figures.extraFraction);
        violations += figures.violations;
    }
    std::printf("%s: extra load at most %.1f%% (target 5%%): %s; violations %zu: %s\n", deployment.name,
        100 * worstExtra, targetResult(worstExtra <= 0.05), violations, targetResult(violations == 0));
}

void measure(const Deployment& deployment)
{
    std::printf("\n### %s: capacity %.0f queries/s\n\n", deployment.name, capacityOf(deployment));
    std::puts("| scenario | policy | urgent p50 / p99 / p99.9 ms | answered /s | refused + failed | coverage "
              "| normal p50 / p99 / p99.9 ms | answered /s | refused + failed | coverage "
              "| background p50 / p99 / p99.9 ms | answered /s | refused + failed | coverage | extra | violations |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    std::map<std::string, Figures> product;
    for (const Scenario& scenario : scenarios()) {
        if (std::string(scenario.name).find(FLAGS_only) == std::string::npos)
            continue;
        std::vector<std::pair<const char*, std::future<Figures>>> runs;
        for (const Variant& variant : variants()) {
            Settings settings = baseSettings(deployment);
            scenario.change(settings, capacityOf(deployment));
            settings.policy = variant.policy;
            if (!FLAGS_variant.empty() && FLAGS_variant != variant.name)
                continue;
            runs.emplace_back(variant.name,
                std::async(std::launch::async, [settings] { return summarize(settings, run(settings)); }));
        }
        for (auto& [variant, figures] : runs) {
            const Figures result = figures.get();
            printRow(scenario.name, variant, result);
            if (std::string(variant) == "product")
                product[scenario.name] = result;
        }
        std::fflush(stdout);
    }
    if (FLAGS_only.empty())
        printTargets(deployment, product);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Compares the product's decisions with baselines in virtual time.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure({ "Chusta Razem", 3, { 0.5, 0.2, 0.1 } });
    measure({ "Nadi Lagoon", 2, { 0.4, 0.25, 0.1 } });
    return 0;
}
