#pragma once

#include "balancing/types.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace flamingousher::balancing {

// Estimates the latency of one more request at each upstream, and chooses the fastest one with spare capacity.
// Load pattern: of the replicas of many shards a few pause for 0.1 s every few seconds, run several times slower for
// seconds, stop responding, or reject part of their requests while their health checks pass. An overdue attempt raises
// the estimate of its upstream immediately, long before it fails. In a large fleet one VM sends to a given upstream
// only every few seconds, so the half-life of the statistics grows with the interval between requests.
class ReplicaSelector {
public:
    struct Hooks {
        // Returns whether the upstream has a connection for one more request.
        std::function<bool(UpstreamId)> hasCapacity;

        // Returns whether connections to the upstream are established, or may be attempted.
        std::function<bool(UpstreamId)> isReachable;

        // Called for an upstream that would have been chosen if it had capacity. May be empty.
        std::function<void(UpstreamId)> onSkipped;
    };

    // Preference against an upstream that is not near.
    struct Distance {
        base::Duration latency { 0 }; // added to the expected latency
        double factor { 1 }; // multiplies the expected latency: a distant upstream must be faster by more than chance

        bool operator==(const Distance&) const = default;
    };

    enum class Outcome : std::uint8_t {
        Chosen,
        NoCapacity, // every usable candidate is busy
        NoneUsable,
    };

    struct Choice {
        Outcome outcome { Outcome::NoneUsable };
        UpstreamId upstream { 0 };

        bool operator==(const Choice&) const = default;
    };

    explicit ReplicaSelector(Hooks);

    // distance: of the network path to the upstream. warmUpUntil: end of the upstream's warm-up, during which it is
    // slower.
    void setUpstream(UpstreamId, const Distance&, base::TimePoint warmUpUntil);

    // Chooses among the candidates that are not in tried. typical: median time of an attempt of this kind of request
    // over all upstreams.
    Choice choose(std::span<const UpstreamId> candidates, std::span<const UpstreamId> tried, base::Duration typical,
        base::TimePoint now);

    // Returns the expected latency of one more attempt.
    base::Duration expectedLatency(UpstreamId, base::Duration typical, base::TimePoint now) const;

    void onSent(UpstreamId, AttemptId, base::Duration typical, base::TimePoint now);

    // Records an answer, also one that arrived too late to be used.
    void onAnswered(UpstreamId, AttemptId, base::TimePoint now);

    // Records a failure caused by the upstream: a refused or lost connection, or an invalid response.
    void onFailed(UpstreamId, AttemptId, base::TimePoint now);

    // Removes an attempt whose outcome carries no information about the upstream.
    void onInconclusive(UpstreamId, AttemptId);

    std::size_t inFlight(UpstreamId) const;
    double slowness(UpstreamId, base::TimePoint now) const;
    double failureRate(UpstreamId, base::TimePoint now) const;

private:
    struct InFlight {
        AttemptId attempt { 0 };
        base::Duration typical { 0 };
        base::TimePoint sentAt;
    };

    struct Stats {
        Distance distance;
        base::TimePoint warmUpUntil;
        double slowness { 1 }; // mean ratio of answer time to typical time
        base::TimePoint slownessAt;
        double failureRate { 0 };
        base::TimePoint failureAt;
        base::TimePoint lastCandidateAt;
        base::Duration candidateInterval { 0 }; // mean time between requests with this upstream as a candidate
        std::uint32_t intervalCount { 0 }; // number of samples in candidateInterval
        double halfLifeFactor { 1 }; // multiplies the half-lives
        std::vector<InFlight> inFlight; // oldest first
    };

    Stats& stats(UpstreamId);
    static std::optional<InFlight> removeInFlight(Stats&, AttemptId);
    static void recordCandidate(Stats&, std::size_t candidates, base::TimePoint now);
    static double decayedSlowness(const Stats&, base::TimePoint now);
    static double decayedFailureRate(const Stats&, base::TimePoint now);
    static void updateSlowness(Stats&, double ratio, base::TimePoint now);

    Hooks hooks_;
    std::vector<Stats> stats_;
};

} // namespace flamingousher::balancing
