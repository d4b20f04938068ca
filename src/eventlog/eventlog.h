#pragma once

#include "base/types.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace flamingousher::eventlog {

struct EventLogSettings {
    double linesPerSecond { 40 }; // sustained; during a burst of failures some failed requests are not logged
    double burst { 200 }; // lines

    bool operator==(const EventLogSettings&) const = default;
};

// Writes one structured line per event. Decisions are rate-limited by a token bucket: dropped lines are counted, and
// the count is logged before the next decision that is written. Each thread has its own log.
class EventLog {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;

        // Receives one event as the members of a JSON object, without the opening brace. Must not block.
        std::function<void(const std::string& members)> write;
    };

    EventLog(const EventLogSettings&, Hooks);

    // Logs a frequent event; dropped when the rate limit is exceeded.
    void writeDecision(std::string_view event, const boost::json::object& fields);

    // Logs a state change. State changes are rare and always written.
    void writeChange(std::string_view event, const boost::json::object& fields);

    // Returns whether writeDecision() would write now, so that callers can skip collecting the fields.
    bool hasTokens();

    std::uint64_t written() const { return written_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    void refill();
    void write(std::string_view event, const boost::json::object& fields);

    EventLogSettings settings_;
    Hooks hooks_;
    double tokens_;
    base::TimePoint refilledAt_;
    std::uint64_t written_ { 0 };
    std::uint64_t dropped_ { 0 };
    std::uint64_t reportedDropped_ { 0 };
};

// Returns a function that writes to standard output from a background thread. When the output is too slow, the oldest
// queued lines are dropped.
std::function<void(const std::string& members)> makeStandardOutputWriter();

// Returns the duration in milliseconds, rounded to microseconds as in the log.
double milliseconds(base::Duration);

} // namespace flamingousher::eventlog
