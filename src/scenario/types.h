#pragma once

#include "base/error.h"
#include "query/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::scenario {

// Which decisions the VMs take. The default is what the product does; the others are baselines.
struct Policy {
    bool hasRanks { true }; // otherwise one first-in-first-out queue an upstream
    bool hasGate { true }; // otherwise every query is admitted
    std::optional<double> fixedLimit; // a fixed number of queries in progress for all ranks together
    bool hasHedging { true };
    std::uint32_t hedgesPerShard { 2 };
    bool choosesByLatency { true }; // otherwise at random

    bool operator==(const Policy&) const = default;
};

// A rule of the product switched off, to show that the history checker finds what follows.
enum class Defect : std::uint8_t {
    None,
    MixesVersions,
    OverstatesCoverage,
    CrossesAnswers,
    SaysNotRunFalsely,
    RunsForeignIdentities,
    IgnoresDraining,
    IgnoresSlots,
};

// Faults that a run injects, by seeded chance.
struct Faults {
    double straggleChance { 0 }; // of one search
    base::Duration straggle { std::chrono::milliseconds(100) };
    double duplicateChance { 0 }; // of one result between VMs
    double delayChance { 0 }; // of one message between VMs
    base::Duration delay { std::chrono::milliseconds(50) };
    base::Duration versionInterval { 0 }; // between two index versions, 0: none
    base::Duration crashInterval { 0 }; // between two crashes of VMs, 0: none
    base::Duration partitionInterval { 0 }; // between two partitions of VMs, 0: none
    base::Duration pauseInterval { 0 }; // between two pauses of VMs, 0: none
    base::Duration drainInterval { 0 }; // between two upstreams that drain, 0: none
    base::Duration upstreamCrashInterval { 0 }; // between two crashes of upstreams, 0: none

    bool operator==(const Faults&) const = default;
};

// One kind of query that arrives at a rate.
struct Load {
    base::Rank rank { base::Rank::Normal };
    std::string caller { "caller" };
    double queriesPerSecond { 100 };
    base::Duration target { std::chrono::milliseconds(86) };
    double leastCoverage { 0.5 };
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
    std::vector<std::uint32_t> silentUpstreams; // never answer
    std::vector<std::uint32_t> lostUpstreams; // refuse connections
    std::vector<std::uint32_t> slowUpstreams; // take five times as long
};

// What happened in a run, in order.
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
    bool isExtra { false }; // not the first for its shard
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
    std::size_t runsBefore { 0 };
};

struct DrainMark {
    std::uint32_t upstream { 0 };
    base::TimePoint at;
};

struct History {
    std::vector<Invocation> invocations;
    std::vector<Execution> executions;
    std::vector<Answer> answers;
    std::vector<ReservationRun> reservationRuns;
    std::vector<ReservationAnswer> reservationAnswers;
    std::vector<DrainMark> drains;
    std::uint64_t slotsExceeded { 0 };
    std::uint64_t crashes { 0 }; // of VMs
    std::uint64_t unanswered { 0 }; // queries lost with their VM
};

} // namespace flamingousher::scenario
