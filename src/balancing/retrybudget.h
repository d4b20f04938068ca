#pragma once

#include "balancing/types.h"

#include <array>

namespace flamingousher::balancing {

struct RetryBudgetSettings {
    double ratio { 0.2 }; // extra attempts per request
    double slack { 4 }; // extra attempts per window regardless of requests: this VM's share of the fleet's slack
    base::Duration window { std::chrono::seconds(10) };

    bool operator==(const RetryBudgetSettings&) const = default;
};

// Limits the retries and hedges sent to one service within a sliding window. Load pattern: all upstreams shed load or
// slow down at the same time, while each VM sees only its own attempts. Each VM's limit is proportional to its own
// requests, so the sum over all VMs stays within the service's limit. Hedges leave a reserve for retries.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings = {});

    void setSettings(const RetryBudgetSettings&);
    void onRequest(base::TimePoint now);

    // Consumes one extra attempt. Returns false when the budget is exhausted.
    bool tryAcquire(ExtraAttempt, base::TimePoint now);

    double allowance(base::TimePoint now);
    double used(base::TimePoint now);

private:
    static constexpr std::size_t BucketCount = 22; // 20 for the window, and 2 more to cover rounding of the time

    struct Bucket {
        std::uint32_t requests { 0 };
        std::uint32_t extras { 0 };
    };

    void advance(base::TimePoint now);

    RetryBudgetSettings settings_;
    std::array<Bucket, BucketCount> buckets_ {};
    std::int64_t currentBucket_ { 0 }; // index of the newest bucket, counted from the clock's epoch
};

} // namespace flamingousher::balancing
