#pragma once

#include "base/types.h"

#include <cstdint>

namespace flamingousher::balancing {

// Handle of an upstream process, stable while this process runs.
using UpstreamId = std::uint32_t;

// Identifies one attempt at an upstream within this process. Never reused.
using AttemptId = std::uint64_t;

// Why an attempt beyond the first of a request is made.
enum class Extra : std::uint8_t {
    Retry, // the last attempt failed
    Hedge, // the last attempt is slow
};

} // namespace flamingousher::balancing
