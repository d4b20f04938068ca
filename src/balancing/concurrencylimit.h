#pragma once

#include "balancing/types.h"

#include <cstddef>
#include <optional>

namespace flamingousher::balancing {

// Bounds of a learned limit, in concurrent requests of this VM at one upstream.
struct ConcurrencyBounds {
    double min { 1 }; // this VM's part of the upstream's slots: all VMs at their minimum fill them
    double initial { 1 };
    double max { 1 };

    bool operator==(const ConcurrencyBounds&) const = default;
};

// Learns how many concurrent requests of this VM an upstream takes well.
// Load pattern: a burst of several times the usual load, of kinds with different work, beside replicas that are several
// times slower or slow down long before they are full. Each VM sees only its own requests, of many VMs that send to the
// upstream. Work beyond the limit waits in the VM, where it is ordered by goal, and not in the upstream's queue.
// Used on one thread.
class ConcurrencyLimit {
public:
    // Keeps what has been learned within the new bounds.
    void setBounds(const ConcurrencyBounds&);

    // Returns whether one more request may be sent, beside those in flight. Below one, the limit is a pause after each
    // request.
    bool allows(std::size_t inFlight, base::TimePoint now) const;

    // Returns the time until one more request may be sent, if no other is in flight by then.
    base::Duration waitTime(base::TimePoint now) const;

    // Called when a request had to wait since the limit did not allow it.
    void onWaiting() { isBinding_ = true; }

    // Records a response. latencyGoal: of its route, from the arrival of the caller's request to the answer. Refusals
    // do not count: an upstream that is full is slow too, and one that refuses for other reasons is not full.
    // load: that the upstream states in the response, if it does.
    void onAnswered(base::TimePoint sentAt, base::Duration latencyGoal, base::TimePoint now,
        const std::optional<UpstreamLoad>& load = std::nullopt);

    // Records that a request is given up, since its response is no longer needed. Counts only if it took long by then.
    void onDropped(base::TimePoint sentAt, base::Duration latencyGoal, base::TimePoint now);

    // Returns whether responses have shown a short time ago that the limit was too high.
    bool isCongested(base::TimePoint now) const;

    double value() const { return limit_; }
    const ConcurrencyBounds& bounds() const { return bounds_; }

private:
    static bool isSlow(base::Duration latency, base::Duration latencyGoal);
    static bool isFull(base::Duration latency, base::Duration latencyGoal, const std::optional<UpstreamLoad>&);
    void onSlow(base::TimePoint sentAt, base::TimePoint now);
    void pauseAfter(base::Duration latency, base::TimePoint now);

    ConcurrencyBounds bounds_;
    double limit_ { 1 };
    bool isInitialized_ { false };
    bool isBinding_ { false }; // has kept a request waiting since it last changed
    std::optional<base::TimePoint> slowSince_; // last slow response, without one in time since
    base::TimePoint decreasedAt_;
    base::TimePoint pausedUntil_; // while the limit is below one
};

} // namespace flamingousher::balancing
