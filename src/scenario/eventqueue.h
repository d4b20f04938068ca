#pragma once

#include "base/types.h"

#include <functional>
#include <queue>
#include <vector>

namespace flamingousher::scenario {

// Runs scheduled functions in the order of their virtual time; functions due at the same time run in the order in
// which they were scheduled.
class EventQueue {
public:
    base::TimePoint now() const { return now_; }

    void scheduleAt(base::TimePoint time, std::function<void()> function)
    {
        events_.push({ std::max(time, now_), ++lastOrder_, std::move(function) });
    }

    void scheduleAfter(base::Duration duration, std::function<void()> function)
    {
        scheduleAt(now_ + duration, std::move(function));
    }

    void runUntil(base::TimePoint end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.function();
        }
        now_ = end;
    }

private:
    struct Event {
        base::TimePoint time;
        std::uint64_t order { 0 };
        std::function<void()> function;

        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    base::TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t lastOrder_ { 0 };
    std::priority_queue<Event> events_;
};

} // namespace flamingousher::scenario
