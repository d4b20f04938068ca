// Runs VMs of the product as processes, cuts the links of some of them to the searchers, and counts how their callers
// and those of the other VMs are served. Prints one "name value" a line.

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/searcherstandin.h"
#include "platform/standins/storeentries.h"
#include "platform/standins/storestandin.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "soak/portowners.h"
#include "soak/proxy.h"
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
DEFINE_string(scenario, "reset",
    "reset or refuse (six of nine VMs), delegates (two of four large VMs, which run requests of small ones), service "
    "(one "
    "service, from six VMs), all (all VMs) or gone (one service, which no VM reaches).");
DEFINE_uint32(slot, 180, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_uint64(seed, 1, "Seed of the VMs that get the requests.");

namespace {

using namespace flamingousher;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t VmCount = 9;
constexpr std::size_t LargeVms = 4;
constexpr std::size_t Shards = 6;
constexpr std::size_t Replicas = 3;
constexpr std::uint16_t StorePort = 8229;
constexpr std::uint16_t LinkPort = 8100;
constexpr std::uint16_t SearcherPort = 8101;
constexpr milliseconds RequestInterval { 8 };
constexpr milliseconds CallerTimeout { 1'500 };
constexpr seconds SettleTime { 5 };
constexpr seconds CutTime { 10 };
constexpr seconds RestoredTime { 7 };

// The rule counts requests that are sent later than this after the cut began. The links are used again as soon after
// their return.
constexpr seconds StableWindow { 4 };

const std::array<std::string, 3> Prefixes { "/one/", "/unsafe/", "/all/" };

struct Outcome {
    TimePoint sentAt;
    std::string id;
    std::string prefix;
    bool isAtCutVm { false };
    milliseconds elapsed { 0 };
    unsigned status { 0 }; // 0: no answer
};

// A searcher behind its link, through which all VMs reach it.
struct LinkedSearcher {
    std::string service;
    std::uint32_t address { 0 }; // of the link
    std::unique_ptr<platform::SearcherStandIn> searcher;
    std::unique_ptr<soak::Proxy> link;
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
        store_.put(platform::configurationKey(), platform::encodeConfiguration(makeConfiguration()));
        std::vector<std::string> seeds;
        for (std::size_t vm = 0; vm < 3; ++vm)
            seeds.push_back(endpoint(1, vm, soak::GossipPort));
        for (std::size_t vm = 0; vm < VmCount; ++vm) {
            vms_.push_back(std::make_unique<soak::VmProcess>(
                soak::VmSpec { FLAGS_daemon, FLAGS_folder, "vm-" + std::to_string(vm), address(1, vm),
                    vm % 2 == 0 ? "a" : "b", *http::parseEndpoint(endpoint(3, 0, StorePort)), seeds, processor(vm) }));
            vms_.back()->start();
        }
        runtime::sleepFor(io_, SettleTime);
    }

    void run()
    {
        runtime::spawnFiber([this] { sendRequests(); });
        runtime::sleepFor(io_, seconds(2));
        cutAt_ = std::chrono::steady_clock::now();
        for (LinkedSearcher& searcher : searchers_) {
            if (!isCutService(searcher.service))
                continue;
            searcher.link->setRefusedCallers([this, peer = searcher.address](std::uint16_t port) {
                return isCut({ port, peer });
            });
            if (FLAGS_scenario != "refuse")
                searcher.link->resetRefusedCallers();
        }
        runtime::sleepFor(io_, CutTime);
        restoredAt_ = std::chrono::steady_clock::now();
        for (LinkedSearcher& searcher : searchers_)
            searcher.link->setRefusedCallers({});
        runtime::sleepFor(io_, RestoredTime);
        isStopping_ = true;
        runtime::sleepFor(io_, seconds(2));
    }

    void stop() { vms_.clear(); }

    void print() const
    {
        const auto isDuringCut = [&](const Outcome& outcome) {
            return outcome.sentAt >= cutAt_ + StableWindow && outcome.sentAt < restoredAt_;
        };
        for (const std::string& prefix : Prefixes) {
            const std::string name = prefix.substr(1, prefix.size() - 2);
            const auto isOfRoute = [&](const Outcome& outcome) { return outcome.prefix == prefix; };
            printServed("cut_" + name, [&](const Outcome& outcome) {
                return isDuringCut(outcome) && isOfRoute(outcome) && outcome.isAtCutVm;
            });
            printServed("other_" + name, [&](const Outcome& outcome) {
                return isDuringCut(outcome) && isOfRoute(outcome) && !outcome.isAtCutVm;
            });
        }
        printServed("restored", [&](const Outcome& outcome) { return outcome.sentAt >= restoredAt_ + StableWindow; });
        const auto runs = countRuns();
        std::size_t brokenPromises = 0;
        std::size_t repeated = 0;
        std::size_t uncertain = 0;
        milliseconds slowestRefusal { 0 };
        for (const Outcome& outcome : outcomes_) {
            const auto found = runs.find(outcome.id);
            const std::uint32_t count = found == runs.end() ? 0 : found->second;
            const bool isRefused = outcome.status == 503;
            brokenPromises += isRefused && outcome.prefix != "/all/" && count > 0 ? 1 : 0;
            repeated += outcome.prefix == "/unsafe/" && count > 1 ? 1 : 0;
            const bool mayHaveRun = outcome.status == 502 || outcome.status == 504;
            uncertain += isDuringCut(outcome) && mayHaveRun && count == 0 ? 1 : 0;
            if (isDuringCut(outcome) && isRefused)
                slowestRefusal = std::max(slowestRefusal, outcome.elapsed);
        }
        std::printf("broken_promises %zu\nrepeated %zu\nuncertain %zu\nslowest_refusal_ms %ld\n", brokenPromises,
            repeated, uncertain, slowestRefusal.count());
    }

private:
    static std::string address(std::uint32_t group, std::size_t index)
    {
        return "127." + std::to_string(10 + FLAGS_slot) + "." + std::to_string(group) + "." + std::to_string(index + 1);
    }

    static std::string endpoint(std::uint32_t group, std::size_t index, std::uint16_t port)
    {
        return address(group, index) + ":" + std::to_string(port);
    }

    // The large VMs run the requests over many shards of the small ones.
    static double processor(std::size_t vm)
    {
        if (FLAGS_scenario != "delegates")
            return 0;
        return vm < LargeVms ? 0.5 : 0.12;
    }

    static bool isCutVm(std::size_t vm)
    {
        if (FLAGS_scenario == "all" || FLAGS_scenario == "gone")
            return true;
        return vm < (FLAGS_scenario == "delegates" ? LargeVms / 2 : 6);
    }

    static bool isCutService(const std::string& service)
    {
        return (FLAGS_scenario != "service" && FLAGS_scenario != "gone") || service == "single";
    }

    bool isCut(const soak::PortAndPeer& connection)
    {
        if (!portOwners_.contains(connection)) {
            std::vector<pid_t> processes;
            for (const auto& vm : vms_)
                processes.push_back(vm->id());
            portOwners_ = soak::findPortOwners(processes);
        }
        const auto owner = portOwners_.find(connection);
        for (std::size_t vm = 0; vm < VmCount && owner != portOwners_.end(); ++vm) {
            if (vms_[vm]->id() == owner->second)
                return isCutVm(vm);
        }
        return false;
    }

    void addSearcher(const std::string& service, std::size_t replica)
    {
        const std::size_t index = searchers_.size();
        const std::string id = "i-" + std::to_string(index);
        const std::string published = endpoint(2, index, LinkPort);
        const http::Endpoint behindLink = *http::parseEndpoint(endpoint(2, index, SearcherPort));
        const http::Endpoint link = *http::parseEndpoint(published);
        LinkedSearcher linked { service, link.address().to_v4().to_uint(),
            std::make_unique<platform::SearcherStandIn>(io_, service, id, platform::SearcherBehaviour {}),
            std::make_unique<soak::Proxy>(io_, behindLink) };
        if (linked.searcher->listen(behindLink) || linked.link->listen(link))
            throw std::runtime_error("cannot listen");
        searchers_.push_back(std::move(linked));
        const discovery::UpstreamEntry entry { .id = id,
            .service = service,
            .endpoint = published,
            .zone = replica % 2 == 0 ? "a" : "b",
            .slots = 4,
            .startedAt = 1,
            .sequence = 1 };
        store_.put(platform::upstreamKey(id), platform::encodeUpstream(entry));
    }

    static routing::Configuration makeConfiguration()
    {
        routing::Configuration configuration;
        configuration.version = 1;
        routing::Route one { .name = "one",
            .host = "h",
            .pathPrefix = "/one/",
            .isIdempotent = true,
            .timeout = milliseconds(900),
            .goal = milliseconds(500),
            .maxAttempts = 2,
            .services = { { "single", 1 } } };
        routing::Route unsafe = one;
        unsafe.name = "unsafe";
        unsafe.pathPrefix = "/unsafe/";
        unsafe.isIdempotent = false;
        routing::Route all { .name = "all",
            .host = "h",
            .pathPrefix = "/all/",
            .isIdempotent = true,
            .timeout = milliseconds(900),
            .goal = milliseconds(200),
            .maxAttempts = 2,
            .recordLimit = 5,
            .minCoverage = 0.8 };
        configuration.services.push_back({ "single", 80 });
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            all.shards.push_back("shard" + std::to_string(shard));
            configuration.services.push_back({ all.shards.back(), 80 });
        }
        configuration.routes = { one, unsafe, all };
        return configuration;
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
        http::setField(request, platform::field::RequestId, id);
        http::setField(request, platform::field::DeadlineMs, "900");
        Outcome outcome { std::chrono::steady_clock::now(), id, prefix, isCutVm(vm) };
        const auto response
            = http::fetch(io_, *http::parseEndpoint(endpoint(1, vm, soak::CallersPort)), request, CallerTimeout);
        outcome.elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - outcome.sentAt);
        outcome.status = response ? response->result_int() : 0;
        outcomes_.push_back(std::move(outcome));
    }

    template <typename Filter> void printServed(const std::string& name, Filter isCounted) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const Outcome& outcome : outcomes_) {
            if (!isCounted(outcome))
                continue;
            ++sent;
            served += outcome.status == 200 ? 1 : 0;
        }
        std::printf("%s_sent %zu\n%s_served %zu\n", name.c_str(), sent, name.c_str(), served);
    }

    // Requests to a single service run once; those over many shards once for each.
    std::map<std::string, std::uint32_t> countRuns() const
    {
        std::map<std::string, std::uint32_t> runs;
        for (const LinkedSearcher& searcher : searchers_) {
            for (const auto& [id, count] : searcher.searcher->runs())
                runs[id] += count;
        }
        return runs;
    }

    boost::asio::io_context& io_;
    platform::StoreStandIn store_;
    std::vector<LinkedSearcher> searchers_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<soak::VmProcess>> vms_;
    std::map<soak::PortAndPeer, pid_t> portOwners_;
    TimePoint cutAt_;
    TimePoint restoredAt_;
    bool isStopping_ { false };
    std::vector<Outcome> outcomes_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures how callers are served while VMs have lost their links to the searchers.");
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
