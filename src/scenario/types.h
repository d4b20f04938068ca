#pragma once

#include "base/error.h"
#include "query/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::scenario {

// Selects how the VMs make decisions. The defaults match the product; other values give baselines to compare with.
struct Policy {
    bool hasRanks { true }; // false: one FIFO queue per upstream
    bool hasGate { true }; // false: every query is admitted
    std::optional<double> fixedLimit; // max. queries in progress over all ranks; replaces the adaptive limit
    bool hasHedging { true };
    std::uint32_t hedgesPerShard { 2 };
    bool choosesByLatency { true }; // false: replicas are chosen at random

    bool operator==(const Policy&) const = default;
};

// A deliberate violation of one rule of the product, used to verify that the history checker detects it.
enum class Defect : std::uint8_t {
    None,
    MixesVersions,
    OverstatesCoverage,
    MismatchesAnswers,
    ReportsFalseNotRun,
    RunsForeignIdentities,
    IgnoresDraining,
    IgnoresSlots,
};

// Faults injected at random, reproducibly for a seed.
struct Faults {
    double stragglerProbability { 0 }; // per search
    base::Duration stragglerDelay { std::chrono::milliseconds(100) };
    double duplicateProbability { 0 }; // per result sent between VMs
    double delayProbability { 0 }; // per message sent between VMs
    base::Duration delay { std::chrono::milliseconds(50) };
    base::Duration versionInterval { 0 }; // mean time between new index versions, 0: none
    base::Duration crashInterval { 0 }; // mean time between VM crashes, 0: none
    base::Duration partitionInterval { 0 }; // mean time between network partitions, 0: none
    base::Duration pauseInterval { 0 }; // mean time between VM pauses, 0: none
    base::Duration drainInterval { 0 }; // mean time between drains of an upstream, 0: none
    base::Duration upstreamCrashInterval { 0 }; // mean time between upstream crashes, 0: none

    bool operator==(const Faults&) const = default;
};

// A stream of queries of one kind that arrive as a Poisson process.
struct Load {
    base::Rank rank { base::Rank::Normal };
    std::string caller { "caller" };
    double queriesPerSecond { 100 };
    base::Duration target { std::chrono::milliseconds(86) };
    double minCoverage { 0.5 };
    base::Duration from { 0 };
    base::Duration until { base::Duration::max() };

    bool operator==(const Load&) const = default;
};

struct Settings {
    std::uint64_t seed { 1 };
    std::uint32_t vms { 9 };
    std::uint32_t shards { 25 };
    std::uint32_t replicas { 3 };
    std::uint32_t slots { 3 };
    base::Duration serviceTime { std::chrono::milliseconds(4) };
    std::array<double, base::RankCount> minShares { 0.5, 0.2, 0.1 };
    std::vector<Load> loads;
    double reservationsPerSecond { 0 };
    base::Duration duration { std::chrono::seconds(5) };
    Policy policy;
    Faults faults;
    Defect defect { Defect::None };
    std::vector<std::uint32_t> silentUpstreams; // accept work but never answer
    std::vector<std::uint32_t> unreachableUpstreams; // refuse connections
    std::vector<std::uint32_t> slowUpstreams; // take five times the usual service time
};

// Events of a run, each kind in the order in which it happened.
struct Invocation {
    std::uint64_t query { 0 };
    base::Rank rank { base::Rank::Normal };
    std::uint32_t load { 0 };
    base::TimePoint at;
};

struct Execution {
    std::uint64_t query { 0 };
    std::uint32_t upstream { 0 };
    query::ServedShard served;
    bool isExtra { false }; // a hedge or retry: not the first sub-request of its query for the shard
    base::TimePoint at;
};

struct Answer {
    std::uint64_t query { 0 };
    base::TimePoint at;
    query::QueryOutcome outcome;
};

struct ReservationRun {
    std::string identity;
    base::TimePoint at;
};

struct ReservationAnswer {
    std::string identity;
    base::RunState state { base::RunState::Unknown };
    std::size_t runsBefore { 0 }; // executions before this answer
};

struct DrainStart {
    std::uint32_t upstream { 0 };
    base::TimePoint at;
};

struct History {
    std::vector<Invocation> invocations;
    std::vector<Execution> executions;
    std::vector<Answer> answers;
    std::vector<ReservationRun> reservationRuns;
    std::vector<ReservationAnswer> reservationAnswers;
    std::vector<DrainStart> drains;
    std::uint64_t slotsExceeded { 0 };
    std::uint64_t crashes { 0 }; // VM crashes
    std::uint64_t unanswered { 0 }; // queries lost in a VM crash or unfinished at the end
};

} // namespace flamingousher::scenario
