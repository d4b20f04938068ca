#pragma once

#include "query/types.h"

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace flamingousher::query {

// Chooses between replicas by what this process has observed of them: latency, work in flight and
// failures. Health and load endpoints have no say.
class ReplicaChooser {
public:
    // random: uniform numbers below the argument. distance: factor of at least 1 for far zones.
    struct Hooks {
        std::function<std::size_t(std::size_t bound)> random;
        std::function<double(UpstreamId)> distance;
    };

    explicit ReplicaChooser(Hooks);

    // The least work of the rank in flight and service time, of a few replicas or of two at random out of many. Ejected
    // and draining upstreams are passed over, unless more than half of the candidates are ejected.
    std::optional<UpstreamId> choose(const std::vector<UpstreamId>& candidates, base::Rank, base::TimePoint now);

    void onSent(UpstreamId, base::Rank);

    // queued: the part of the time that the sub-request waited for a slot.
    void onAnswered(UpstreamId, base::Rank, base::Duration queued, base::Duration total);

    // Ends a sub-request by an error, which counts as a failure when it is evidence against the upstream.
    void onError(UpstreamId, base::Rank, const base::Error&, base::TimePoint now);

    // A failure that is evidence against the upstream. Cancelled and refused work is not.
    void onFailed(UpstreamId, base::Rank, base::TimePoint now);

    // The answer was no longer wanted after this time: the upstream is at least that slow.
    void onCancelled(UpstreamId, base::Rank, base::Duration elapsed, base::TimePoint now);

    // The sub-request ended in a way that says nothing about the upstream.
    void onReleased(UpstreamId, base::Rank);

    void setDraining(UpstreamId, bool isDraining);
    bool isEjected(UpstreamId, base::TimePoint now) const;

private:
    struct Stats {
        double serviceMs { 0 };
        double responseMs { 0 }; // with the wait for a slot
        std::array<std::uint32_t, base::RankCount> inFlight {};
        std::uint32_t consecutiveFailures { 0 };
        std::uint32_t ejections { 0 };
        std::uint32_t answers { 0 };
        bool isDraining { false };
        base::TimePoint ejectedUntil;
    };

    Stats& stats(UpstreamId);
    double cost(UpstreamId, base::Rank);
    bool mayReceive(UpstreamId, base::TimePoint now);

    Hooks hooks_;
    std::vector<Stats> stats_;
};

} // namespace flamingousher::query
