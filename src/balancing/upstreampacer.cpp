#include "balancing/upstreampacer.h"

#include <algorithm>

namespace flamingousher::balancing {

namespace {

    // Requests may come in bursts of what this time allows, and of one at least.
    constexpr base::Duration BurstTime = std::chrono::milliseconds(250);

    // Over all VMs together. Without any request the VMs would not learn that the limit has ended.
    constexpr double MinRequestsPerSecond = 0.5;

    // A longer pause is taken for a damaged field, which must not keep an upstream out of use for good.
    constexpr std::chrono::duration<double> MaxPause = std::chrono::hours(1);
    constexpr std::chrono::duration<double> PauseAfterDamagedField = std::chrono::seconds(60);

} // namespace

void UpstreamPacer::onResponse(const UpstreamNotice& notice, base::TimePoint now)
{
    const auto pause = notice.pause <= MaxPause ? notice.pause : PauseAfterDamagedField;
    pausedUntil_ = std::max(pausedUntil_, now + std::chrono::ceil<base::Duration>(pause));
    if (requestsPerSecond_ == notice.requestsPerSecond)
        return;
    const bool wasLimited = requestsPerSecond_.has_value();
    const double before = tokens(now);
    requestsPerSecond_ = notice.requestsPerSecond;
    tokens_ = requestsPerSecond_ ? std::min(wasLimited ? before : maxTokens(), maxTokens()) : 0;
    tokensAt_ = now;
}

std::optional<double> UpstreamPacer::rate() const
{
    if (!requestsPerSecond_)
        return std::nullopt;
    return std::max(*requestsPerSecond_, MinRequestsPerSecond) * share_;
}

double UpstreamPacer::maxTokens() const
{
    return std::max(1.0, rate().value_or(0) * std::chrono::duration<double>(BurstTime).count());
}

double UpstreamPacer::tokens(base::TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - tokensAt_).count();
    return std::min(maxTokens(), tokens_ + std::max(0.0, elapsed) * rate().value_or(0));
}

bool UpstreamPacer::allows(base::TimePoint now) const
{
    return !requestsPerSecond_ || tokens(now) >= 1;
}

void UpstreamPacer::onSent(base::TimePoint now)
{
    if (!requestsPerSecond_)
        return;
    tokens_ = tokens(now) - 1;
    tokensAt_ = now;
}

base::Duration UpstreamPacer::waitTime(base::TimePoint now) const
{
    if (allows(now))
        return base::Duration::zero();
    const std::chrono::duration<double> wait((1 - tokens(now)) / *rate());
    return std::chrono::ceil<base::Duration>(wait);
}

} // namespace flamingousher::balancing
