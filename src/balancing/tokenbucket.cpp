#include "balancing/tokenbucket.h"

#include <algorithm>

namespace flamingousher::balancing {

namespace {

    constexpr base::Duration BurstTime = std::chrono::milliseconds(250);

    double maxTokens(double requestsPerSecond)
    {
        return std::max(1.0, requestsPerSecond * std::chrono::duration<double>(BurstTime).count());
    }

} // namespace

TokenBucket::TokenBucket(double requestsPerSecond, double tokens, base::TimePoint now)
    : requestsPerSecond_(requestsPerSecond)
    , tokens_(std::min(tokens, maxTokens(requestsPerSecond)))
    , tokensAt_(now)
{
}

double TokenBucket::tokens(base::TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - tokensAt_).count();
    return std::min(maxTokens(requestsPerSecond_), tokens_ + std::max(0.0, elapsed) * requestsPerSecond_);
}

void TokenBucket::setRate(double requestsPerSecond, base::TimePoint now)
{
    *this = TokenBucket(requestsPerSecond, tokens(now), now);
}

void TokenBucket::consume(base::TimePoint now)
{
    tokens_ = tokens(now) - 1;
    tokensAt_ = now;
}

base::Duration TokenBucket::waitTime(base::TimePoint now) const
{
    const double missing = 1 - tokens(now);
    if (missing <= 0)
        return base::Duration::zero();
    if (requestsPerSecond_ <= 0)
        return base::Duration::max();
    return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(missing / requestsPerSecond_));
}

} // namespace flamingousher::balancing
