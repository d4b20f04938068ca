#pragma once

#include "base/types.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace flamingousher::eventlog {

struct EventLogSettings {
    double linesPerSecond { 40 }; // sustained; a request that fails in a flood of failures may go unlogged
    double burst { 200 }; // lines

    bool operator==(const EventLogSettings&) const = default;
};

// Writes one structured line for each decision, up to a rate. Lines beyond it are counted, and the count is written
// once lines are allowed again. One log a thread.
class EventLog {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;

        // Takes one event as the members of a JSON object. Must not block.
        std::function<void(const std::string& members)> write;
    };

    EventLog(const EventLogSettings&, Hooks);

    // For events of which there may be many: dropped beyond the rate.
    void decision(std::string_view event, const boost::json::object& fields);

    // For changes of state, which are few: always written.
    void change(std::string_view event, const boost::json::object& fields);

    // True when a decision would be written now: lets callers skip the work of collecting its fields.
    bool hasRoom();

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

// Writes to standard output from a thread of its own, which drops the oldest lines when the output is too slow.
std::function<void(const std::string& members)> makeStandardOutputWriter();

// Milliseconds with microsecond precision, as the log shows times.
double milliseconds(base::Duration);

} // namespace flamingousher::eventlog
