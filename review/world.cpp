#include "review/world.h"

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/storeentries.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"

#include <array>
#include <fstream>
#include <stdexcept>

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::uint16_t StorePort = 8229;
    constexpr std::uint16_t SearcherPort = 8100;
    constexpr std::size_t SeedCount = 3;
    constexpr double ProcessorShare = 0.25;
    constexpr double RetrySlack = 58;

    constexpr milliseconds HeartbeatInterval { 1'200 };
    constexpr milliseconds SupervisionInterval { 20 };
    constexpr milliseconds RestartDelay { 500 };
    constexpr milliseconds ReadinessTimeout { 500 };
    constexpr milliseconds ReadinessInterval { 200 };
    constexpr seconds StartTimeout { 15 };
    constexpr seconds SettleTime { 3 }; // for the VMs to know each other

    constexpr std::uint32_t MinSlot = 64;
    constexpr std::uint32_t SlotCount = 160;

    const std::array<const char*, 2> Zones { "a", "b" };

    std::string makeAddress(std::uint32_t slot, std::uint32_t group, std::size_t index)
    {
        return "127." + std::to_string(slot) + "." + std::to_string(group) + "." + std::to_string(index + 1);
    }

    bool isFree(boost::asio::io_context& io, const std::string& address, std::uint16_t port)
    {
        boost::asio::ip::tcp::acceptor acceptor(io);
        return !runtime::listenOn(acceptor, { boost::asio::ip::make_address(address), port });
    }

} // namespace

std::uint32_t findFreeSlot(boost::asio::io_context& io, std::uint32_t first)
{
    for (std::uint32_t offset = 0; offset < SlotCount; ++offset) {
        const std::uint32_t slot = MinSlot + (first + offset) % SlotCount;
        if (isFree(io, makeAddress(slot, 1, 0), soak::CallersPort) && isFree(io, makeAddress(slot, 2, 0), SearcherPort)
            && isFree(io, makeAddress(slot, 3, 0), StorePort))
            return slot;
    }
    throw std::runtime_error("no free loopback addresses");
}

World::World(boost::asio::io_context& io, Record& record, const CaseOptions& options)
    : io_(io)
    , record_(record)
    , options_(options)
    , store_(io)
    , bornMs_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

std::string World::address(std::uint32_t group, std::size_t index) const
{
    return makeAddress(options_.slot, group, index);
}

std::string World::endpoint(std::uint32_t group, std::size_t index, std::uint16_t port) const
{
    return address(group, index) + ":" + std::to_string(port);
}

http::Endpoint World::callersEndpoint(std::size_t vm) const
{
    return *http::parseEndpoint(endpoint(1, vm, soak::CallersPort));
}

void World::addSearcher(const SearcherSpec& spec)
{
    searchers_.push_back(std::make_unique<Searcher>(io_, record_, spec));
    if (searchers_.back()->listen(*http::parseEndpoint(endpoint(2, searchers_.size() - 1, SearcherPort))))
        throw std::runtime_error("cannot listen for searcher " + spec.id);
}

void World::publish(const routing::Configuration& configuration)
{
    store_.put(platform::configurationKey(), platform::encodeConfiguration(configuration));
    record_.write("configuration " + std::to_string(configuration.version) + " acknowledged");
}

void World::reportSearchers()
{
    ++sequence_;
    for (std::size_t index = 0; index < searchers_.size(); ++index) {
        const SearcherSpec& spec = searchers_[index]->spec();
        const discovery::UpstreamEntry entry { .id = spec.id,
            .service = spec.service,
            .endpoint = endpoint(2, index, SearcherPort),
            .zone = spec.zone,
            .slots = spec.slots,
            .startedAt = bornMs_,
            .sequence = sequence_ };
        store_.put(platform::upstreamKey(spec.id), platform::encodeUpstream(entry));
    }
}

bool World::start(std::size_t vmCount, const routing::Configuration& configuration)
{
    const std::string store = endpoint(3, 0, StorePort);
    if (store_.listen(*http::parseEndpoint(store)))
        throw std::runtime_error("cannot listen for the store");
    reportSearchers();
    runtime::spawnFiber([this] {
        while (!isStopping_) {
            runtime::sleepFor(io_, HeartbeatInterval);
            reportSearchers();
        }
    });
    publish(configuration);
    std::vector<std::string> seeds;
    for (std::size_t vm = 0; vm < std::min(SeedCount, vmCount); ++vm)
        seeds.push_back(endpoint(1, vm, soak::GossipPort));
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        soak::VmSpec spec { options_.daemon, options_.folder, "vm-" + std::to_string(vm + 1), address(1, vm),
            Zones[vm % Zones.size()], *http::parseEndpoint(store), seeds, ProcessorShare, RetrySlack };
        vms_.push_back(std::make_unique<soak::VmProcess>(std::move(spec)));
        startProcess(vm);
    }
    if (!awaitReadiness())
        return false;
    runtime::sleepFor(io_, SettleTime);
    return true;
}

// The script that runs the case ends the processes of this list if this one is cut short.
void World::startProcess(std::size_t vm)
{
    vms_[vm]->start();
    std::ofstream(options_.folder + "/processes", std::ios::app) << vms_[vm]->id() << '\n';
    record_.write("start vm-" + std::to_string(vm + 1));
}

bool World::isReady(std::size_t vm)
{
    const http::Request request
        = http::makeRequest(boost::beast::http::verb::get, std::string(platform::ReadinessPath));
    const auto response
        = http::fetch(io_, *http::parseEndpoint(endpoint(1, vm, soak::ReadinessPort)), request, ReadinessTimeout);
    return response && response->result() == http::Status::ok;
}

bool World::awaitReadiness()
{
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    for (std::size_t vm = 0; vm < vms_.size();) {
        if (isReady(vm)) {
            ++vm;
            continue;
        }
        if (!vms_[vm]->isRunning() || std::chrono::steady_clock::now() >= deadline)
            return false;
        runtime::sleepFor(io_, ReadinessInterval);
    }
    return true;
}

void World::superviseProcesses()
{
    while (!isStopping_) {
        for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
            if (vms_[vm]->id() == 0 || vms_[vm]->isRunning())
                continue;
            processEnds_.push_back({ vm, std::chrono::steady_clock::now(), vms_[vm]->lastStatus() });
            record_.write("ended vm-" + std::to_string(vm + 1) + " by itself, wait status "
                + std::to_string(vms_[vm]->lastStatus()));
            runtime::spawnFiber([this, vm] {
                runtime::sleepFor(io_, RestartDelay);
                if (isStopping_)
                    return;
                startProcess(vm);
            });
        }
        runtime::sleepFor(io_, SupervisionInterval);
    }
}

void World::stop()
{
    isStopping_ = true;
    vms_.clear();
}

} // namespace flamingousher::review
