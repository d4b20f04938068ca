#include "base/types.h"

namespace flamingousher::base {

std::string_view toString(Rank rank)
{
    switch (rank) {
    case Rank::Urgent:
        return "urgent";
    case Rank::Normal:
        return "normal";
    case Rank::Background:
        return "background";
    }
    return "invalid";
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::Run:
        return "run";
    case RunState::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::optional<Rank> rankFromString(std::string_view text)
{
    for (Rank rank : AllRanks) {
        if (toString(rank) == text)
            return rank;
    }
    return std::nullopt;
}

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace flamingousher::base
