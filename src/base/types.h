#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace flamingousher::base {

// Monotonic time. The core modules never read a clock: callers pass in the current time.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Priority of a request, most urgent first.
enum class Rank : std::uint8_t {
    Urgent,
    Normal,
    Background,
};

inline constexpr std::size_t RankCount = 3;
inline constexpr std::array<Rank, RankCount> AllRanks { Rank::Urgent, Rank::Normal, Rank::Background };

// What is known for certain about whether an upstream executed a request.
enum class RunState : std::uint8_t {
    NotRun,
    Run,
    Unknown,
};

std::string_view toString(Rank);
std::string_view toString(RunState);
std::optional<Rank> rankFromString(std::string_view);

constexpr std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

double toMilliseconds(Duration);

} // namespace flamingousher::base
