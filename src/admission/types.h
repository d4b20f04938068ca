#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>

namespace flamingousher::admission {

using TicketId = std::uint64_t;

struct GateSettings {
    double initialLimit { 32 }; // in queries
    double minLimit { 2 };
    double maxLimit { 10'000 };
    base::Duration waitThreshold { std::chrono::milliseconds(8) }; // minimum slot wait that shrinks the limit
    std::size_t waitingCapacity { 10'000 };

    bool operator==(const GateSettings&) const = default;
};

enum class Result : std::uint8_t {
    Admitted,
    Waiting,
    Refused, // no sub-request has been sent
};

struct Decision {
    Result result { Result::Refused };
    base::Duration retryAfter { 0 }; // set only if refused

    bool operator==(const Decision&) const = default;
};

} // namespace flamingousher::admission
