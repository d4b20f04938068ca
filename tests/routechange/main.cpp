// Runs VMs of the product as processes while the operator renames, removes and brings back every route under requests
// in progress, and counts how the callers are served. Prints one "name value" a line.

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/searcherstandin.h"
#include "platform/standins/storeentries.h"
#include "platform/standins/storestandin.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "soak/vmprocess.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <random>

DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_uint32(slot, 190, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_uint64(seed, 1, "Seed of the VMs and routes that get the requests.");

namespace {

using namespace flamingousher;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t VmCount = 6;
constexpr std::size_t LargeVms = 4; // run requests over many shards of the others
constexpr std::size_t Shards = 6;
constexpr std::size_t Replicas = 3;
constexpr std::uint32_t MaxConnections = 120;
constexpr std::uint16_t StorePort = 8229;
constexpr std::uint16_t SearcherPort = 8100;
constexpr milliseconds RequestInterval { 8 };
constexpr milliseconds CallerTimeout { 3'000 };
constexpr milliseconds VersionInterval { 700 };
constexpr seconds SettleTime { 5 };
constexpr seconds RunTime { 14 };

// Versions until a route has its former name again. Some requests last longer than that.
constexpr std::uint64_t NameCount = 2;

const std::array<std::string, 3> Prefixes { "/one/", "/unsafe/", "/all/" };

// Service times of the searchers. Most requests are still in progress when the next version comes.
constexpr std::array<std::uint32_t, 6> ServiceMs { 100, 300, 500, 700, 900, 200 };

// As long as that of a phone.
const std::string UserAgent(150, 'u');

struct Outcome {
    std::string id;
    std::string prefix;
    unsigned status { 0 }; // 0: no answer
};

class Trial {
public:
    explicit Trial(boost::asio::io_context& io)
        : io_(io)
        , store_(io)
        , random_(FLAGS_seed)
    {
    }

    void start()
    {
        if (store_.listen(*http::parseEndpoint(endpoint(3, 0, StorePort))))
            throw std::runtime_error("cannot listen");
        for (std::size_t replica = 0; replica < 2 * Replicas; ++replica)
            addSearcher("single", replica);
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            for (std::size_t replica = 0; replica < Replicas; ++replica)
                addSearcher("shard" + std::to_string(shard), replica);
        }
        publish();
        std::vector<std::string> seeds;
        for (std::size_t vm = 0; vm < 3; ++vm)
            seeds.push_back(endpoint(1, vm, soak::GossipPort));
        for (std::size_t vm = 0; vm < VmCount; ++vm) {
            vms_.push_back(std::make_unique<soak::VmProcess>(soak::VmSpec { FLAGS_daemon, FLAGS_folder,
                "vm-" + std::to_string(vm), address(1, vm), vm % 2 == 0 ? "a" : "b",
                *http::parseEndpoint(endpoint(3, 0, StorePort)), seeds, vm < LargeVms ? 0.5 : 0.12 }));
            vms_.back()->start();
        }
        runtime::sleepFor(io_, SettleTime);
    }

    void run()
    {
        runtime::spawnFiber([this] { sendRequests(); });
        const auto end = std::chrono::steady_clock::now() + RunTime;
        while (std::chrono::steady_clock::now() < end) {
            runtime::sleepFor(io_, VersionInterval);
            publish();
        }
        isStopping_ = true;
        runtime::sleepFor(io_, CallerTimeout);
    }

    void print()
    {
        std::size_t ended = 0;
        for (const auto& vm : vms_) {
            if (vm->isRunning())
                continue;
            ++ended;
            std::printf("%s_status %d\n", vm->spec().name.c_str(), vm->lastStatus());
        }
        std::size_t served = 0;
        std::size_t unanswered = 0;
        std::size_t repeated = 0;
        std::size_t brokenPromises = 0;
        const auto runs = countRuns();
        for (const Outcome& outcome : outcomes_) {
            const auto found = runs.find(outcome.id);
            const std::uint32_t count = found == runs.end() ? 0 : found->second;
            served += outcome.status == 200 ? 1 : 0;
            unanswered += outcome.status == 0 ? 1 : 0;
            repeated += outcome.prefix == "/unsafe/" && count > 1 ? 1 : 0;
            brokenPromises += outcome.prefix == "/unsafe/" && outcome.status == 503 && count > 0 ? 1 : 0;
        }
        std::printf(
            "versions %lu\nended %zu\nsent %zu\nserved %zu\nunanswered %zu\nrepeated %zu\nbroken_promises %zu\n",
            version_, ended, outcomes_.size(), served, unanswered, repeated, brokenPromises);
    }

    void stop() { vms_.clear(); }

private:
    static std::string address(std::uint32_t group, std::size_t index)
    {
        return "127." + std::to_string(10 + FLAGS_slot) + "." + std::to_string(group) + "." + std::to_string(index + 1);
    }

    static std::string endpoint(std::uint32_t group, std::size_t index, std::uint16_t port)
    {
        return address(group, index) + ":" + std::to_string(port);
    }

    void addSearcher(const std::string& service, std::size_t replica)
    {
        const std::size_t index = searchers_.size();
        const std::string id = "i-" + std::to_string(index);
        const std::string published = endpoint(2, index, SearcherPort);
        platform::SearcherBehaviour behaviour;
        behaviour.serviceMs = ServiceMs.at(index % ServiceMs.size());
        behaviour.slots = 30;
        searchers_.push_back(std::make_unique<platform::SearcherStandIn>(io_, service, id, behaviour));
        if (searchers_.back()->listen(*http::parseEndpoint(published)))
            throw std::runtime_error("cannot listen");
        const discovery::UpstreamEntry entry { .id = id,
            .service = service,
            .endpoint = published,
            .zone = replica % 2 == 0 ? "a" : "b",
            .slots = behaviour.slots,
            .startedAt = 1,
            .sequence = 1 };
        store_.put(platform::upstreamKey(id), platform::encodeUpstream(entry));
    }

    // Every route gets another name, and its former one back later. One more route is added and the last one removed.
    void publish()
    {
        ++version_;
        const std::string suffix = "-" + std::to_string(version_ % NameCount);
        routing::Configuration configuration;
        configuration.version = version_;
        routing::Route one { .name = "one" + suffix,
            .host = "h",
            .pathPrefix = "/one/",
            .isIdempotent = true,
            .timeout = milliseconds(2'500),
            .goal = milliseconds(1'500 + 100 * (version_ % 3)),
            .maxAttempts = 2,
            .services = { { "single", 1 } } };
        routing::Route unsafe = one;
        unsafe.name = "unsafe" + suffix;
        unsafe.pathPrefix = "/unsafe/";
        unsafe.isIdempotent = false;
        routing::Route all = one;
        all.name = "all" + suffix;
        all.pathPrefix = "/all/";
        all.services.clear();
        all.recordLimit = 5;
        all.minCoverage = 0.8;
        configuration.services.push_back({ "single", MaxConnections });
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            all.shards.push_back("shard" + std::to_string(shard));
            configuration.services.push_back({ all.shards.back(), MaxConnections });
        }
        routing::Route extra = one;
        extra.name = "extra-" + std::to_string(version_);
        extra.pathPrefix = "/" + extra.name + "/";
        configuration.routes = { one, unsafe, all, extra };
        store_.put(platform::configurationKey(), platform::encodeConfiguration(configuration));
    }

    void sendRequests()
    {
        for (std::uint64_t number = 0; !isStopping_; ++number) {
            const std::size_t vm = random_() % VmCount;
            const std::string& prefix = Prefixes.at(random_() % Prefixes.size());
            runtime::spawnFiber([this, vm, prefix, number] { send(vm, prefix, "request-" + std::to_string(number)); });
            runtime::sleepFor(io_, RequestInterval);
        }
    }

    void send(std::size_t vm, const std::string& prefix, const std::string& id)
    {
        http::Request request = http::makeRequest(boost::beast::http::verb::get, prefix + id);
        request.set(boost::beast::http::field::host, "h");
        request.set(boost::beast::http::field::user_agent, UserAgent);
        http::setField(request, platform::field::RequestId, id);
        http::setField(request, platform::field::DeadlineMs, "2500");
        const auto response
            = http::fetch(io_, *http::parseEndpoint(endpoint(1, vm, soak::CallersPort)), request, CallerTimeout);
        outcomes_.push_back({ id, prefix, response ? response->result_int() : 0 });
    }

    std::map<std::string, std::uint32_t> countRuns() const
    {
        std::map<std::string, std::uint32_t> runs;
        for (const auto& searcher : searchers_) {
            for (const auto& [id, count] : searcher->runs())
                runs[id] += count;
        }
        return runs;
    }

    boost::asio::io_context& io_;
    platform::StoreStandIn store_;
    std::vector<std::unique_ptr<platform::SearcherStandIn>> searchers_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<soak::VmProcess>> vms_;
    std::uint64_t version_ { 0 };
    bool isStopping_ { false };
    std::vector<Outcome> outcomes_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures how callers are served while the operator changes every route in use.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::filesystem::create_directories(FLAGS_folder);
    runtime::FiberThread thread("trial");
    thread.call([&] {
        auto* trial = new Trial(thread.io()); // fibers use it until this process exits
        trial->start();
        trial->run();
        trial->print();
        std::fflush(stdout);
        trial->stop();
    });
    std::_Exit(0);
}
