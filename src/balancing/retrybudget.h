#pragma once

#include "balancing/types.h"

#include <array>

namespace flamingousher::balancing {

struct RetryBudgetSettings {
    double ratio { 0.2 }; // extra attempts for each request
    double slack { 4 }; // extra attempts in a window whatever the requests: this VM's part of the fleet's
    base::Duration window { std::chrono::seconds(10) };

    bool operator==(const RetryBudgetSettings&) const = default;
};

// Limits the attempts beyond the first at one service, in a sliding window. Load pattern: upstreams that shed or
// straggle all at once, where each VM sees only its own attempts; every VM keeps to its own requests' part, so the
// sum of all VMs stays within the service's. Hedges leave a reserve for retries.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings = {});

    void setSettings(const RetryBudgetSettings&);
    void onRequest(base::TimePoint now);

    // False when the budget is spent.
    bool take(Extra, base::TimePoint now);

    double allowance(base::TimePoint now);
    double used(base::TimePoint now);

private:
    static constexpr std::size_t Buckets = 22; // one window in 20 parts, and two more against the rounding of time

    struct Bucket {
        std::uint32_t requests { 0 };
        std::uint32_t extras { 0 };
    };

    void advance(base::TimePoint now);

    RetryBudgetSettings settings_;
    std::array<Bucket, Buckets> buckets_ {};
    std::int64_t current_ { 0 }; // number of the newest bucket since the clock's epoch
};

} // namespace flamingousher::balancing
