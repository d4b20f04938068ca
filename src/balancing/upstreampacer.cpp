#include "balancing/upstreampacer.h"

#include <algorithm>

namespace flamingousher::balancing {

namespace {

    // Over all VMs together. Without any request the VMs would not learn that the limit has ended.
    constexpr double MinRequestsPerSecond = 0.5;

    // A longer pause is taken for a damaged field, which must not keep an upstream out of use for good.
    constexpr std::chrono::duration<double> MaxPause = std::chrono::hours(1);
    constexpr std::chrono::duration<double> PauseAfterDamagedField = std::chrono::seconds(60);

    constexpr double FullBurst = 1e9; // more than any bucket holds

} // namespace

void UpstreamPacer::setShare(double share, base::TimePoint now)
{
    share_ = share;
    if (requestsPerSecond_)
        limit_.setRate(*rate(), now);
}

// A VM that starts, or whose part grows, has sent nothing that the others know of, so it begins without tokens.
void UpstreamPacer::setWarmUp(base::TimePoint warmUpUntil, const std::optional<WarmUpPace>& pace, base::TimePoint now)
{
    const bool wasWarmingUp = isWarmingUp(now);
    warmUpUntil_ = warmUpUntil;
    warmUpPace_ = pace;
    if (!isWarmingUp(now))
        return;
    if (wasWarmingUp)
        warmUp_.setRate(pace->requestsPerSecond, now);
    else
        warmUp_ = TokenBucket(pace->requestsPerSecond, 0, now);
}

void UpstreamPacer::onResponse(const UpstreamNotice& notice, base::TimePoint now)
{
    const auto pause = notice.pause <= MaxPause ? notice.pause : PauseAfterDamagedField;
    pausedUntil_ = std::max(pausedUntil_, now + std::chrono::ceil<base::Duration>(pause));
    if (requestsPerSecond_ == notice.requestsPerSecond)
        return;
    const bool wasLimited = requestsPerSecond_.has_value();
    requestsPerSecond_ = notice.requestsPerSecond;
    if (!requestsPerSecond_)
        return;
    if (wasLimited)
        limit_.setRate(*rate(), now);
    else
        limit_ = TokenBucket(*rate(), FullBurst, now);
}

std::optional<double> UpstreamPacer::rate() const
{
    if (!requestsPerSecond_)
        return std::nullopt;
    return std::max(*requestsPerSecond_, MinRequestsPerSecond) * share_;
}

std::optional<double> UpstreamPacer::allowedRate(base::TimePoint now) const
{
    const std::optional<double> limit = rate();
    if (!isWarmingUp(now))
        return limit;
    return std::min(warmUp_.rate(), limit.value_or(warmUp_.rate()));
}

bool UpstreamPacer::allows(base::TimePoint now) const
{
    return (!requestsPerSecond_ || limit_.allows(now)) && (!isWarmingUp(now) || warmUp_.allows(now));
}

void UpstreamPacer::onSent(base::TimePoint now)
{
    if (requestsPerSecond_)
        limit_.consume(now);
    if (isWarmingUp(now))
        warmUp_.consume(now);
}

base::Duration UpstreamPacer::waitTime(base::TimePoint now) const
{
    base::Duration wait = requestsPerSecond_ ? limit_.waitTime(now) : base::Duration::zero();
    if (isWarmingUp(now))
        wait = std::max(wait, std::min(warmUp_.waitTime(now), warmUpUntil_ + warmUpPace_->handover - now));
    return wait;
}

} // namespace flamingousher::balancing
