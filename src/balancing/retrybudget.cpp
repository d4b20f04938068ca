#include "balancing/retrybudget.h"

#include <algorithm>

namespace flamingousher::balancing {

namespace {

    constexpr std::int64_t BucketsInWindow = 20;

    // Margin for attempts that reach the upstream slightly later than they are counted here.
    constexpr double SafetyFactor = 0.9;

    // Fraction of the allowance available to hedges.
    constexpr double HedgeShare = 0.6;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings_(settings)
{
}

void RetryBudget::setSettings(const RetryBudgetSettings& settings)
{
    settings_ = settings;
}

void RetryBudget::advance(base::TimePoint now)
{
    const std::int64_t bucket = now.time_since_epoch() / (settings_.window / BucketsInWindow);
    const std::int64_t steps = std::min<std::int64_t>(bucket - currentBucket_, BucketCount);
    for (std::int64_t step = 0; step < steps; ++step)
        buckets_[static_cast<std::size_t>((bucket - step) % static_cast<std::int64_t>(BucketCount))] = {};
    currentBucket_ = std::max(currentBucket_, bucket);
}

void RetryBudget::onRequest(base::TimePoint now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(currentBucket_ % static_cast<std::int64_t>(BucketCount))].requests;
}

double RetryBudget::allowance(base::TimePoint now)
{
    advance(now);
    double requests = 0;
    for (std::int64_t age = 0; age < BucketsInWindow; ++age)
        requests += buckets_[static_cast<std::size_t>((currentBucket_ - age) % static_cast<std::int64_t>(BucketCount))]
                        .requests;
    return SafetyFactor * settings_.ratio * requests + settings_.slack;
}

double RetryBudget::used(base::TimePoint now)
{
    advance(now);
    double extras = 0;
    for (const Bucket& bucket : buckets_)
        extras += bucket.extras;
    return extras;
}

bool RetryBudget::tryAcquire(ExtraAttempt kind, base::TimePoint now)
{
    const double share = kind == ExtraAttempt::Hedge ? HedgeShare : 1.0;
    if (used(now) + 1 > share * allowance(now))
        return false;
    ++buckets_[static_cast<std::size_t>(currentBucket_ % static_cast<std::int64_t>(BucketCount))].extras;
    return true;
}

} // namespace flamingousher::balancing
