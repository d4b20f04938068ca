#include "second/world.h"

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/storeentries.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <boost/algorithm/string/join.hpp>

#include <csignal>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace flamingousher::review {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

    constexpr std::uint16_t PortsPerVm = 5; // callers, readiness, gossip, operators, fanouts
    constexpr unsigned VmGroup = 1;
    constexpr unsigned SearcherGroup = 2;
    constexpr unsigned StoreGroup = 3;
    constexpr milliseconds RestartDelay { 300 };
    constexpr milliseconds CheckInterval { 20 };
    constexpr milliseconds ReadyInterval { 100 };
    constexpr std::size_t MaxReadyChecks = 200;

    bool isFree(boost::asio::io_context& io, const tcp::endpoint& endpoint)
    {
        boost::system::error_code error;
        tcp::acceptor acceptor(io);
        acceptor.open(endpoint.protocol(), error);
        if (!error)
            acceptor.bind(endpoint, error);
        return !error;
    }

} // namespace

Vm::Vm(const Spec& spec, Record& record)
    : spec_(spec)
    , record_(record)
{
    std::ofstream file(spec.folder + "/" + spec.name + ".yaml");
    const auto at = [&](std::uint16_t offset) { return http::toString(endpoint(offset)); };
    file << "[node]\nname = " << spec.name << "\naddress = " << spec.address << "\nzone = " << spec.zone
         << "\nregion = gujarat-west\nzones = " << spec.zones << "\nprocessor = " << spec.size.processor
         << "\nmemory_mb = " << spec.size.memoryMb << "\nmax_fds = " << spec.size.descriptors
         << "\nshutdown_ms = 6e3\n[listen]\ncallers = " << at(0) << "\nreadiness = " << at(1)
         << "\noperators = " << at(3) << "\nfanouts = " << at(4)
         << "\n[platform]\nkind = store\nstore = " << http::toString(spec.store) << "\n[peers]\ngossip = " << at(2)
         << "\nkey = flamingousher-fleet-datagrams\nseeds = " << boost::algorithm::join(spec.seeds, ",")
         << "\n[retries]\nratio = 0.2\nslack = 192\nwindow_ms = 10e3\n[warmup]\nfactor = 1.5\nslack = 5\n";
}

Vm::~Vm()
{
    end();
}

void Vm::end()
{
    if (process_ == 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
}

http::Endpoint Vm::endpoint(std::uint16_t offset) const
{
    return { boost::asio::ip::make_address(spec_.address), static_cast<std::uint16_t>(spec_.firstPort + offset) };
}

void Vm::start()
{
    const std::string log = spec_.folder + "/" + spec_.name + ".log";
    std::string daemon = spec_.daemon;
    std::string option = "--settings";
    std::string settings = spec_.folder + "/" + spec_.name + ".yaml";
    char* const arguments[] = { daemon.data(), option.data(), settings.data(), nullptr };
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&files, 1, 2);
    const int error = ::posix_spawn(&process_, daemon.c_str(), &files, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        throw std::runtime_error("cannot start " + daemon);
    record_.write(spec_.name + " starts");
}

bool Vm::isRunning()
{
    int status = 0;
    if (process_ == 0 || ::waitpid(process_, &status, WNOHANG) != process_)
        return process_ != 0;
    process_ = 0;
    if (++endCount_ == 1)
        firstEndMs_ = record_.elapsedMs();
    record_.write(spec_.name + " has ended"
        + (WIFSIGNALED(status) ? " by signal " + std::to_string(WTERMSIG(status))
                               : " with exit code " + std::to_string(WEXITSTATUS(status)))
        + ", by itself");
    return false;
}

World::World(boost::asio::io_context& io, const Spec& spec, Record& record)
    : io_(io)
    , spec_(spec)
    , record_(record)
    , net_(20 + static_cast<unsigned>(::getpid()) % 200)
    , store_(io)
{
    std::random_device random;
    const auto areFree = [&] {
        for (std::uint16_t offset = 0; offset < PortsPerVm; ++offset) {
            const auto port = static_cast<std::uint16_t>(firstPort_ + offset);
            for (unsigned group : { VmGroup, SearcherGroup, StoreGroup }) {
                if (!isFree(io_, { boost::asio::ip::make_address(address(group, 0)), port }))
                    return false;
            }
        }
        return true;
    };
    for (int attempt = 0; attempt < 20; ++attempt) {
        firstPort_ = static_cast<std::uint16_t>(8'000 + random() % 2'000);
        if (areFree())
            break;
    }
    const http::Endpoint storeEndpoint { boost::asio::ip::make_address(address(StoreGroup, 0)), firstPort_ };
    if (store_.listen(storeEndpoint))
        throw std::runtime_error("cannot listen as the store");
    const std::set<std::string> zones(spec.vmZones.begin(), spec.vmZones.end());
    std::vector<std::string> zoneTexts;
    for (const std::string& zone : zones)
        zoneTexts.push_back(zone + "=gujarat-west");
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(3, spec.vmZones.size()); ++index)
        seeds.push_back(address(VmGroup, index) + ":" + std::to_string(firstPort_ + 2));
    for (std::size_t index = 0; index < spec.vmZones.size(); ++index) {
        vms_.push_back(std::make_unique<Vm>(Vm::Spec { .daemon = spec.daemon,
                                                .folder = spec.folder,
                                                .name = "front-" + std::to_string(index + 1),
                                                .address = address(VmGroup, index),
                                                .zone = spec.vmZones[index],
                                                .zones = boost::algorithm::join(zoneTexts, ","),
                                                .size = spec.vmSize,
                                                .store = storeEndpoint,
                                                .seeds = seeds,
                                                .firstPort = firstPort_ },
            record));
    }
}

std::string World::address(unsigned group, std::size_t index) const
{
    return "127." + std::to_string(net_) + "." + std::to_string(group) + "." + std::to_string(index + 1);
}

Searcher& World::addSearcher(const std::string& service, const std::string& zone, SearcherSpec spec)
{
    const std::size_t index = searchers_.size();
    spec.service = service;
    spec.id = "i-" + service + "-" + std::to_string(index);
    spec.endpoint = { boost::asio::ip::make_address(address(SearcherGroup, index)), firstPort_ };
    searchers_.push_back(std::make_unique<Searcher>(io_, spec, record_));
    if (searchers_.back()->listen())
        throw std::runtime_error("cannot listen as a searcher");
    const discovery::UpstreamEntry entry { .id = spec.id,
        .service = service,
        .endpoint = http::toString(spec.endpoint),
        .zone = zone,
        .slots = spec.slots,
        .startedAt = 1'700'000'000'000,
        .sequence = 1 };
    store_.put(platform::upstreamKey(entry.id), platform::encodeUpstream(entry));
    return *searchers_.back();
}

void World::publish(const routing::Configuration& configuration)
{
    store_.put(platform::configurationKey(), platform::encodeConfiguration(configuration));
}

bool World::isReady(const Vm& vm)
{
    const auto response = http::fetch(io_, vm.readiness(),
        http::makeRequest(boost::beast::http::verb::get, std::string(platform::ReadinessPath)), milliseconds(500));
    return response && response->result() == http::Status::ok;
}

void World::start()
{
    for (const auto& vm : vms_)
        vm->start();
    for (const auto& vm : vms_) {
        std::size_t checks = 0;
        while (!isReady(*vm)) {
            if (!vm->isRunning() || ++checks > MaxReadyChecks)
                throw std::runtime_error(vm->name() + " does not become ready");
            runtime::sleepFor(io_, ReadyInterval);
        }
    }
    record_.write("all VMs are ready");
}

void World::superviseProcesses()
{
    for (const auto& vm : vms_) {
        runtime::spawnFiber([this, &vm = *vm] {
            while (!isStopping_) {
                runtime::sleepFor(io_, CheckInterval);
                if (vm.isRunning())
                    continue;
                runtime::sleepFor(io_, RestartDelay);
                if (!isStopping_)
                    vm.start();
            }
        });
    }
}

void World::stop()
{
    isStopping_ = true;
    for (const auto& vm : vms_)
        vm->end();
}

} // namespace flamingousher::review
