#pragma once

#include "balancing/tokenbucket.h"
#include "balancing/types.h"
#include "balancing/warmuppace.h"

#include <optional>

namespace flamingousher::balancing {

// Keeps the requests of this VM to one upstream within the limit that the upstream names and within the pace of a cold
// one, and pauses them when it asks for that.
// Load pattern: some replicas of many shards name a limit below their usual load for seconds, while the others take the
// rest. The limit counts for all VMs together, which cannot ask each other for each request, so each uses a fixed
// share.
class UpstreamPacer {
public:
    // share: this VM's fraction of the limit, above 0.
    void setShare(double share, base::TimePoint now);

    // Sets the pace until the upstream is warm. Without one a cold upstream is used like any other.
    void setWarmUp(base::TimePoint warmUpUntil, const std::optional<WarmUpPace>&, base::TimePoint now);

    // Called for each response of the upstream. Without a limit in it, an earlier one no longer holds.
    void onResponse(const UpstreamNotice&, base::TimePoint now);

    // Returns whether the upstream wants no requests from this VM now.
    bool isPaused(base::TimePoint now) const { return now < pausedUntil_; }
    base::TimePoint pausedUntil() const { return pausedUntil_; }

    // Returns whether the pace of a cold upstream applies.
    bool isWarmingUp(base::TimePoint now) const { return warmUpPace_ && now < warmUpUntil_ + warmUpPace_->handover; }

    // Returns whether the limit and the pace allow one more request.
    bool allows(base::TimePoint now) const;
    void onSent(base::TimePoint now);

    // Returns the time until the limit and the pace allow one more request.
    base::Duration waitTime(base::TimePoint now) const;

    // Returns the requests per second of this VM within the limit, or nothing without one.
    std::optional<double> rate() const;

    // Returns the requests per second that are allowed now, or nothing if they are not limited.
    std::optional<double> allowedRate(base::TimePoint now) const;

private:
    double share_ { 1 };
    std::optional<double> requestsPerSecond_; // of all VMs together
    TokenBucket limit_; // in use while a limit is named
    base::TimePoint warmUpUntil_;
    std::optional<WarmUpPace> warmUpPace_;
    TokenBucket warmUp_; // in use while the upstream is cold
    base::TimePoint pausedUntil_;
};

} // namespace flamingousher::balancing
