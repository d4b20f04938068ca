#pragma once

#include "base/types.h"
#include "http/types.h"

#include <optional>

namespace flamingousher::entry {

// Points in time by which the response to a request must be decided on.
struct AnswerTimes {
    base::TimePoint goal; // a response decided by then reaches the caller within its latency goal
    base::TimePoint deadline; // a response decided by then reaches the caller within its timeout

    bool operator==(const AnswerTimes&) const = default;
};

struct TimeLimits {
    base::Duration goal; // measured by the caller, from sending the request to receiving the response
    base::Duration timeout; // measured likewise
    base::Duration reserve; // for merging and writing the response
};

// Subtracts the network time to and from the caller and the reserve from the limits. At least half of the responses
// over many shards wait for a straggler until the goal, so ignoring the network time makes these late for distant
// callers.
AnswerTimes computeAnswerTimes(
    base::TimePoint receivedAt, const TimeLimits&, std::optional<base::Duration> roundTrip, bool isFirstOnConnection);

} // namespace flamingousher::entry
