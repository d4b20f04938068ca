#include "traffic/trafficcontext.h"

#include "runtime/sleep.h"

namespace flamingousher::traffic {

namespace {

    constexpr std::size_t MaxRecords = 1'000;

} // namespace

TrafficContext::TrafficContext(boost::asio::io_context& ioContext, const std::string& incarnationText,
    const std::string& identityEndpoint, std::uint64_t boot, std::uint64_t seed)
    : io(ioContext)
    , incarnation(incarnationText)
    , now([] { return std::chrono::steady_clock::now(); })
    , random(seed)
    , chooser({ [this](std::size_t bound) { return random() % bound; }, [](query::UpstreamId) { return 1.0; } })
    , identities(identityEndpoint, boot, {}, [this] { return random(); })
    , quarantine({})
    , records(MaxRecords)
{
}

std::shared_ptr<PoolState> TrafficContext::pool(const std::string& name) const
{
    const auto found = pools.find(name);
    return found == pools.end() ? nullptr : found->second;
}

void TrafficContext::sleepFor(base::Duration duration)
{
    runtime::sleepFor(io, duration);
}

} // namespace flamingousher::traffic
