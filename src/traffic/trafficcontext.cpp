#include "traffic/trafficcontext.h"

namespace flamingousher::traffic {

namespace {

    constexpr std::size_t KeptRecords = 1'000;

} // namespace

TrafficContext::TrafficContext(
    boost::asio::io_context& ioContext, const std::string& incarnationText, std::uint64_t seed)
    : io(ioContext)
    , incarnation(incarnationText)
    , now([] { return std::chrono::steady_clock::now(); })
    , random(seed)
    , chooser({ [this](std::size_t bound) { return random() % bound; }, [](query::UpstreamId) { return 1.0; } })
    , records(KeptRecords)
{
}

PoolState* TrafficContext::pool(const std::string& name)
{
    const auto found = pools.find(name);
    return found == pools.end() ? nullptr : &found->second;
}

} // namespace flamingousher::traffic
