#pragma once

#include "query/types.h"

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace flamingousher::query {

// Chooses between replicas by the latency, work in flight and failures that this process has observed.
// Ignores health and load endpoints.
class ReplicaChooser {
public:
    // random: returns a uniform number below bound. costFactor: 1 or more, greater for other zones.
    struct Hooks {
        std::function<std::size_t(std::size_t bound)> random;
        std::function<double(UpstreamId)> costFactor;
    };

    explicit ReplicaChooser(Hooks);

    // Returns the replica with the lowest cost (work of the rank in flight, service time) among a few candidates, or
    // among two random ones of many. Skips draining upstreams, and ejected ones unless they are more than half of the
    // candidates or no other is left.
    std::optional<UpstreamId> choose(const std::vector<UpstreamId>& candidates, base::Rank, base::TimePoint now);

    void onSent(UpstreamId, base::Rank);

    // total: response time. queued: the time of it that the sub-request waited for a slot.
    void onAnswered(UpstreamId, base::Rank, base::Duration queued, base::Duration total);

    // Ends a sub-request with an error, which counts as a failure if it is evidence against the upstream.
    void onError(UpstreamId, base::Rank, const base::Error&, base::TimePoint now);

    // Ends a sub-request with a failure that counts towards ejection. Cancelled and refused work does not.
    void onFailed(UpstreamId, base::Rank, base::TimePoint now);

    // Ends a sub-request that was cancelled after this time, a lower bound of its response time.
    void onCancelled(UpstreamId, base::Rank, base::Duration elapsed, base::TimePoint now);

    // Ends a sub-request without a result that counts for or against the upstream.
    void onReleased(UpstreamId, base::Rank);

    void setDraining(UpstreamId, bool isDraining);
    bool isEjected(UpstreamId, base::TimePoint now) const;

private:
    struct Stats {
        double serviceMs { 0 };
        double responseMs { 0 }; // includes the wait for a slot
        std::array<std::uint32_t, base::RankCount> inFlight {};
        std::uint32_t consecutiveFailures { 0 };
        std::uint32_t ejections { 0 };
        std::uint32_t answers { 0 };
        bool isDraining { false };
        base::TimePoint ejectedUntil;
    };

    Stats& stats(UpstreamId);
    double cost(UpstreamId, base::Rank);
    bool isAvailable(UpstreamId, base::TimePoint now);

    Hooks hooks_;
    std::vector<Stats> stats_;
};

} // namespace flamingousher::query
