#pragma once

#include "base/types.h"

namespace flamingousher::balancing {

// Allows a rate of requests with bursts of what a short time allows, and of one request at least.
class TokenBucket {
public:
    TokenBucket() = default; // allows nothing

    // tokens: that it starts with, up to a burst.
    TokenBucket(double requestsPerSecond, double tokens, base::TimePoint now);

    // Keeps the tokens as far as they fit the new rate.
    void setRate(double requestsPerSecond, base::TimePoint now);

    bool allows(base::TimePoint now) const { return tokens(now) >= 1; }
    void consume(base::TimePoint now);

    // Returns the time until one more request is allowed; base::Duration::max() if none ever is.
    base::Duration waitTime(base::TimePoint now) const;

    double rate() const { return requestsPerSecond_; }

private:
    double tokens(base::TimePoint now) const;

    double requestsPerSecond_ { 0 };
    double tokens_ { 0 };
    base::TimePoint tokensAt_;
};

} // namespace flamingousher::balancing
