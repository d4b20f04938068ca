#pragma once

#include <chrono>
#include <random>

namespace flamingousher::soak {

// Random choices of one part of a run, from its seed.
class Draw {
public:
    explicit Draw(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::uint32_t below(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
    }

    std::chrono::milliseconds time(std::uint32_t leastMs, std::uint32_t mostMs)
    {
        return std::chrono::milliseconds(leastMs + below(mostMs - leastMs + 1));
    }

private:
    std::mt19937_64 random_;
};

} // namespace flamingousher::soak
