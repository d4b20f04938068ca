#pragma once

#include "base/types.h"
#include "http/types.h"

#include <optional>

namespace flamingousher::entry {

// What a caller's time limits leave for the work on its request.
struct AnswerTimes {
    base::TimePoint goal; // an answer that is decided by then reaches the caller within its goal
    base::TimePoint deadline; // likewise for the time that the caller waits

    bool operator==(const AnswerTimes&) const = default;
};

struct TimeLimits {
    base::Duration goal; // from the caller's sending to its reading
    base::Duration allowed; // likewise
    base::Duration reserve; // to merge and to write an answer
};

// Load pattern: callers far away. At the median an answer over many shards waits for a straggler until the last moment,
// so a moment that ignores the way to the caller turns half of the answers late.
AnswerTimes computeAnswerTimes(
    base::TimePoint receivedAt, const TimeLimits&, std::optional<base::Duration> roundTrip, bool isFirstOnConnection);

} // namespace flamingousher::entry
