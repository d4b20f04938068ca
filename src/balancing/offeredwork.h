#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>

namespace flamingousher::balancing {

// Measures the work that arrives for a service by the priority of its route, as seconds of work a second.
// Load pattern: kinds of requests of several priorities compete for the same upstreams in a burst of one or all of
// them. What is admitted of a lower priority must leave room for the requests of higher ones that arrive while it
// waits.
class OfferedWork {
public:
    // priority: 0 is the highest.
    void onArrival(std::uint32_t priority, base::Duration work, base::TimePoint now);

    // Returns the work of all priorities above the given one.
    double above(std::uint32_t priority, base::TimePoint now) const;

private:
    static constexpr std::size_t PriorityCount = 4; // lower ones are counted together

    struct Rate {
        double perSecond { 0 };
        base::TimePoint at;
    };

    static double decayed(const Rate&, base::TimePoint now);

    std::array<Rate, PriorityCount> rates_ {};
};

// Returns the fraction of a service that requests of a priority may count on: what higher ones leave, and a minimum
// share in any case.
double availableFraction(double workAbove, double parallelism);

} // namespace flamingousher::balancing
