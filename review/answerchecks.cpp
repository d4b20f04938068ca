#include "review/answerchecks.h"

#include "platform/names.h"

namespace flamingousher::review {

std::optional<std::string> findForeignSuccess(const World& world, const Outcome& outcome)
{
    if (!outcome.hasAnswer || outcome.answer.result_int() / 100 != 2)
        return std::nullopt;
    const std::string stamp = http::readField(outcome.answer, platform::field::Stamp);
    if (stamp.empty())
        return "a success without the searcher's stamp";
    for (const auto& searcher : world.searchers()) {
        const auto [first, last] = searcher->runs().equal_range(outcome.call.id);
        for (auto run = first; run != last; ++run) {
            if (run->second.stamp != stamp)
                continue;
            if (run->second.body == outcome.answer.body())
                return std::nullopt;
            return "a success with a body that isn't the searcher's";
        }
    }
    return "a success with the stamp of no run of this request";
}

std::size_t countRuns(const World& world, const std::string& requestId)
{
    std::size_t count = 0;
    for (const auto& searcher : world.searchers())
        count += searcher->runs().count(requestId);
    return count;
}

} // namespace flamingousher::review
