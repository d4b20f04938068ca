#pragma once

#include "base/types.h"

#include <cstdint>
#include <string>

namespace flamingousher::admission {

using TicketId = std::uint64_t;

struct GateSettings {
    double initialLimit { 32 }; // queries in progress
    double leastLimit { 2 };
    double mostLimit { 10'000 };
    base::Duration waitThreshold { std::chrono::milliseconds(8) }; // least slot wait above which the limit shrinks
    std::size_t waitingCapacity { 10'000 };

    bool operator==(const GateSettings&) const = default;
};

enum class Verdict : std::uint8_t {
    Admitted,
    Waiting,
    Refused, // proves that nothing was sent
};

struct Decision {
    Verdict verdict { Verdict::Refused };
    base::Duration retryAfter { 0 }; // for a refusal

    bool operator==(const Decision&) const = default;
};

} // namespace flamingousher::admission
