#include "soak/deployment.h"

#include "http/client.h"
#include "platform/standins/storeentries.h"

#include <stdexcept>

namespace flamingousher::soak {

namespace {

    constexpr std::size_t ShardSets = 3;
    constexpr std::size_t ShardsPerSet = 3;
    constexpr std::size_t Replicas = 2;
    constexpr std::uint32_t MaxConnections = 40; // per upstream
    constexpr std::uint16_t UpstreamPort = 8100;
    constexpr std::uint16_t StorePort = 8229;
    constexpr std::size_t MaxSeeds = 3;
    // The small VMs delegate requests over many shards to the large ones, as long as enough of these are up.
    constexpr std::size_t LargeVms = 3;
    constexpr double LargeProcessor = 0.5;
    constexpr double SmallProcessor = 0.12;

    constexpr std::size_t RecordLimit = 7;
    constexpr double MinCoverage = 0.6;

    // Groups of loopback addresses.
    constexpr std::uint32_t VmGroup = 1;
    constexpr std::uint32_t UpstreamGroup = 2;
    constexpr std::uint32_t StoreGroup = 3;
    constexpr std::uint32_t CallerGroup = 4;

    std::vector<std::string> shardsOf(std::uint64_t version)
    {
        std::vector<std::string> shards;
        for (std::size_t shard = 0; shard < ShardsPerSet; ++shard)
            shards.push_back("set" + std::to_string(version % ShardSets) + "-" + std::to_string(shard));
        return shards;
    }

    void throwIfFailed(const boost::system::error_code& error, const http::Endpoint& endpoint)
    {
        if (error)
            throw std::runtime_error("cannot listen at " + http::toString(endpoint) + ": " + error.message());
    }

} // namespace

Deployment::Deployment(
    boost::asio::io_context& io, const DeploymentSpec& spec, Promises& promises, std::function<TimePoint()> now)
    : io_(io)
    , spec_(spec)
    , promises_(promises)
    , now_(std::move(now))
    , store_(io)
{
}

http::Endpoint Deployment::endpoint(std::uint32_t group, std::size_t index, std::uint16_t port) const
{
    const auto low = static_cast<std::uint32_t>(index + 1);
    return { boost::asio::ip::address_v4((127U << 24) | ((10 + spec_.slot) << 16) | (group << 8) | low), port };
}

http::Endpoint Deployment::callersEndpoint(std::size_t vm) const
{
    return endpoint(CallerGroup, vm, CallersPort);
}

void Deployment::start()
{
    const http::Endpoint store = endpoint(StoreGroup, spec_.vms, StorePort);
    throwIfFailed(store_.listen(store), store);
    for (std::size_t set = 0; set < ShardSets; ++set) {
        for (const std::string& service : shardsOf(set)) {
            for (std::size_t replica = 0; replica < Replicas; ++replica)
                add(service, replica == 0 ? "a" : "b");
        }
    }
    for (std::size_t replica = 0; replica < Replicas; ++replica)
        add("single", replica == 0 ? "a" : "b");
    publishNext();
    std::vector<std::string> seeds;
    for (std::size_t vm = 0; vm < std::min(spec_.vms, MaxSeeds); ++vm)
        seeds.push_back(http::toString(endpoint(VmGroup, vm, GossipPort)));
    for (std::size_t vm = 0; vm < spec_.vms; ++vm) {
        const http::Endpoint storeProxyEndpoint = endpoint(StoreGroup, vm, StorePort);
        storeProxies_.push_back(std::make_unique<Proxy>(io_, store));
        throwIfFailed(storeProxies_.back()->listen(storeProxyEndpoint), storeProxyEndpoint);
        callerProxies_.push_back(std::make_unique<Proxy>(io_, endpoint(VmGroup, vm, CallersPort)));
        throwIfFailed(callerProxies_.back()->listen(callersEndpoint(vm)), callersEndpoint(vm));
        vms_.push_back(std::make_unique<VmProcess>(VmSpec { spec_.daemon, spec_.folder, "vm-" + std::to_string(vm),
            endpoint(VmGroup, vm, 0).address().to_string(), vm % 2 == 0 ? "a" : "b", storeProxyEndpoint, seeds,
            vm < LargeVms ? LargeProcessor : SmallProcessor }));
        vms_.back()->start();
    }
}

void Deployment::add(const std::string& service, const std::string& zone)
{
    const std::size_t index = upstreams_.size();
    Upstream upstream;
    upstream.entry = { .id = "i-" + std::to_string(index),
        .service = service,
        .endpoint = http::toString(endpoint(UpstreamGroup, index, UpstreamPort)),
        .zone = zone,
        .slots = 4,
        .startedAt = static_cast<std::int64_t>(index + 1),
        .sequence = 1 };
    upstream.standIn
        = std::make_unique<platform::SearcherStandIn>(io_, service, upstream.entry.id, platform::SearcherBehaviour {});
    upstream.standIn->onArrived
        = [this, id = upstream.entry.id](const std::string& request) { promises_.onArrived(id, request, now_()); };
    upstream.standIn->onRun = [this](const std::string& request) { promises_.onRun(request); };
    const http::Endpoint standInEndpoint { boost::asio::ip::make_address("127.0.0.1"), 0 };
    throwIfFailed(upstream.standIn->listen(standInEndpoint), standInEndpoint);
    upstream.proxy = std::make_unique<Proxy>(io_, upstream.standIn->endpoint());
    const http::Endpoint published = endpoint(UpstreamGroup, index, UpstreamPort);
    throwIfFailed(upstream.proxy->listen(published), published);
    upstreams_.push_back(std::move(upstream));
    if (zone == evacuatedZone_)
        promises_.onEvacuated(upstreams_.back().entry.id, now_());
    list(index);
}

void Deployment::evacuate(const std::string& zone)
{
    evacuatedZone_ = zone;
    store_.put(platform::evacuationKey(zone), "{}");
    for (const Upstream& upstream : upstreams_) {
        if (upstream.entry.zone == zone)
            promises_.onEvacuated(upstream.entry.id, now_());
    }
}

void Deployment::endEvacuation()
{
    for (const Upstream& upstream : upstreams_)
        promises_.onEvacuationEnded(upstream.entry.id);
    store_.erase(platform::evacuationKey(std::exchange(evacuatedZone_, {})));
}

void Deployment::publishNext()
{
    routing::Configuration configuration;
    configuration.version = ++version_;
    configuration.routes = { { .name = "all",
                                 .host = "soak",
                                 .pathPrefix = "/all/",
                                 .isIdempotent = true,
                                 .timeout = std::chrono::milliseconds(800),
                                 .goal = std::chrono::milliseconds(120),
                                 .maxAttempts = 2,
                                 .shards = shardsOf(version_),
                                 .recordLimit = RecordLimit,
                                 .minCoverage = MinCoverage },
        { .name = "one",
            .host = "soak",
            .pathPrefix = "/one/",
            .isIdempotent = false,
            .timeout = std::chrono::milliseconds(1'500),
            .goal = std::chrono::milliseconds(500),
            .priority = 2,
            .maxAttempts = 2,
            .services = { { "single", 1 } } } };
    configuration.services.push_back({ "single", MaxConnections });
    for (std::size_t set = 0; set < ShardSets; ++set) {
        for (const std::string& service : shardsOf(set))
            configuration.services.push_back({ service, MaxConnections });
    }
    store_.put(platform::configurationKey(), platform::encodeConfiguration(configuration));
    promises_.onPublished({ version_, shardsOf(version_), MinCoverage, RecordLimit, now_() });
}

void Deployment::list(std::size_t index)
{
    Upstream& upstream = upstreams_.at(index);
    ++upstream.entry.sequence;
    upstream.isListed = true;
    store_.put(platform::upstreamKey(upstream.entry.id), platform::encodeUpstream(upstream.entry));
}

void Deployment::unlist(std::size_t index)
{
    upstreams_.at(index).isListed = false;
    store_.erase(platform::upstreamKey(upstreams_.at(index).entry.id));
}

void Deployment::setDraining(std::size_t index)
{
    upstreams_.at(index).entry.isDraining = true;
    list(index);
    promises_.onDraining(upstreams_.at(index).entry.id, now_());
}

void Deployment::replace(std::size_t index)
{
    unlist(index);
    add(upstreams_.at(index).entry.service, upstreams_.at(index).entry.zone);
}

} // namespace flamingousher::soak
