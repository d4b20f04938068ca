#pragma once

#include "balancing/types.h"

#include <optional>

namespace flamingousher::balancing {

// Keeps the requests of this VM to one upstream within the limit that the upstream names, and pauses them when it asks
// for that.
// Load pattern: some replicas of many shards name a limit below their usual load for seconds, while the others take the
// rest. The limit counts for all VMs together, which cannot ask each other for each request, so each uses a fixed
// share.
class UpstreamPacer {
public:
    // share: this VM's fraction of the limit, above 0.
    void setShare(double share) { share_ = share; }

    // Called for each response of the upstream. Without a limit in it, an earlier one no longer holds.
    void onResponse(const UpstreamNotice&, base::TimePoint now);

    // Returns whether the upstream wants no requests from this VM now.
    bool isPaused(base::TimePoint now) const { return now < pausedUntil_; }
    base::TimePoint pausedUntil() const { return pausedUntil_; }

    // Returns whether the limit allows one more request.
    bool allows(base::TimePoint now) const;
    void onSent(base::TimePoint now);

    // Returns the time until the limit allows one more request.
    base::Duration waitTime(base::TimePoint now) const;

    // Returns the requests per second of this VM, or nothing without a limit.
    std::optional<double> rate() const;

private:
    double tokens(base::TimePoint now) const;
    double maxTokens() const;

    double share_ { 1 };
    std::optional<double> requestsPerSecond_; // of all VMs together
    double tokens_ { 0 };
    base::TimePoint tokensAt_;
    base::TimePoint pausedUntil_;
};

} // namespace flamingousher::balancing
