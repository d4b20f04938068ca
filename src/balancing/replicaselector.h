#pragma once

#include "balancing/types.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace flamingousher::balancing {

// Estimates how long each upstream would take for one more request, and chooses the quickest that has room.
// Load pattern: a few replicas of many shards pause for 0.1 s every few seconds, work several times slower for
// seconds, fall silent, or refuse part of their work while their health is good. An attempt that stays without
// answer counts against its upstream at once, long before it fails. In a large fleet one VM meets an upstream every few
// seconds: what it learns is kept the longer, the more seldom it could learn it anew.
class ReplicaSelector {
public:
    struct Hooks {
        // The upstream has a connection for one more request.
        std::function<bool(UpstreamId)> hasRoom;

        // Connections to it are, or may be, established.
        std::function<bool(UpstreamId)> isReachable;
    };

    enum class Verdict : std::uint8_t {
        Chosen,
        NoRoom, // every usable candidate is busy
        NoneUsable,
    };

    struct Choice {
        Verdict verdict { Verdict::NoneUsable };
        UpstreamId upstream { 0 };

        bool operator==(const Choice&) const = default;
    };

    explicit ReplicaSelector(Hooks);

    // distance: extra time of the way there. coldUntil: works slowly until then.
    void setUpstream(UpstreamId, base::Duration distance, base::TimePoint coldUntil);

    // typical: usual time of an attempt of this kind of request at any upstream.
    Choice choose(std::span<const UpstreamId> candidates, std::span<const UpstreamId> tried, base::Duration typical,
        base::TimePoint now);

    // Expected time of one more attempt.
    base::Duration expected(UpstreamId, base::Duration typical, base::TimePoint now) const;

    void onSent(UpstreamId, AttemptId, base::Duration typical, base::TimePoint now);

    // An answer, wanted or too late to be used.
    void onAnswered(UpstreamId, AttemptId, base::TimePoint now);

    // A failure that speaks against the upstream: refused, lost or broken.
    void onFailed(UpstreamId, AttemptId, base::TimePoint now);

    // The attempt ended in a way that says nothing about the upstream.
    void onEnded(UpstreamId, AttemptId);

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
        base::Duration distance { 0 };
        base::TimePoint coldUntil;
        double slowness { 1 }; // answer time relative to the usual
        base::TimePoint slownessAt;
        double failureRate { 0 };
        base::TimePoint failureAt;
        base::TimePoint lastConsidered;
        base::Duration considerInterval { 0 }; // mean time between requests that this upstream could take
        std::uint32_t intervals { 0 }; // that the mean is taken over
        double memoryFactor { 1 }; // of the half-lives
        std::vector<InFlight> inFlight; // oldest first
    };

    Stats& stats(UpstreamId);
    static std::optional<InFlight> take(Stats&, AttemptId);
    static void noteConsidered(Stats&, std::size_t candidates, base::TimePoint now);
    static double decayedSlowness(const Stats&, base::TimePoint now);
    static double decayedFailureRate(const Stats&, base::TimePoint now);
    static void learnSlowness(Stats&, double ratio, base::TimePoint now);

    Hooks hooks_;
    std::vector<Stats> stats_;
};

} // namespace flamingousher::balancing
