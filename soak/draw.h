#pragma once

#include <chrono>
#include <random>

namespace flamingousher::soak {

// Seeded source of random choices.
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

    std::chrono::milliseconds time(std::uint32_t minMs, std::uint32_t maxMs)
    {
        return std::chrono::milliseconds(minMs + below(maxMs - minMs + 1));
    }

private:
    std::mt19937_64 random_;
};

} // namespace flamingousher::soak
