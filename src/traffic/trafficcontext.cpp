#include "traffic/trafficcontext.h"

#include "runtime/sleep.h"

namespace flamingousher::traffic {

namespace {

    constexpr std::size_t MaxRecords = 1'000;

    // A request that no upstream has answered yet runs on one at a time, so that two crashes cannot be one event.
    constexpr std::uint32_t QuarantineThreshold = 2;

} // namespace

TrafficContext::TrafficContext(boost::asio::io_context& ioContext, const std::string& incarnationText,
    const std::string& identityEndpoint, std::uint64_t boot, std::uint64_t seed)
    : io(ioContext)
    , incarnation(incarnationText)
    , now([] { return std::chrono::steady_clock::now(); })
    , random(seed)
    , chooser({ [this](std::size_t bound) { return random() % bound; }, [](query::UpstreamId) { return 1.0; } })
    , identities(identityEndpoint, boot, {}, [this] { return random(); })
    , quarantine({ .threshold = QuarantineThreshold })
    , records(MaxRecords)
{
}

void TrafficContext::onCrash(
    quarantine::Fingerprint fingerprint, std::uint32_t crashesWhenSent, query::UpstreamId upstream)
{
    const auto record = quarantine.onCrash(fingerprint, crashesWhenSent, directory.at(upstream).name, now());
    if (record && reportCrash)
        reportCrash(*record);
}

void TrafficContext::onAnswered(quarantine::Fingerprint fingerprint)
{
    const auto record = quarantine.onAnswered(fingerprint, now());
    if (record && reportCrash)
        reportCrash(*record);
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
