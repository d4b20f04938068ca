// Runs VMs of the product and searchers as processes, and a request that ends every searcher that runs it. Prints what
// the searchers and the callers have seen, one "name value" a line.

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/storeentries.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "searchers.h"
#include "soak/vmprocess.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <random>

DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_string(scenario, "service", "service, gather, delegated, unsafe, rare, return, restart, frozen or killed.");
DEFINE_uint32(slot, 190, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_uint64(seed, 1, "Seed of the VMs that get the requests.");
DEFINE_string(searcher, "", "Runs a searcher with this id; for this program's own processes.");
DEFINE_string(service, "", "Service of the searcher.");
DEFINE_string(endpoint, "", "Endpoint of the searcher.");
DEFINE_string(events, "", "File of the searcher's events.");

namespace {

using namespace flamingousher;
using namespace flamingousher::crashtest;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t VmCount = 6;
constexpr std::size_t SingleSearchers = 6;
constexpr std::size_t Shards = 6;
constexpr std::size_t Replicas = 3;
constexpr std::uint16_t StorePort = 8229;
constexpr std::uint16_t SearcherPort = 8100;
constexpr milliseconds InnocentInterval { 12 };
constexpr milliseconds CallerTimeout { 1'500 };

// The rule counts requests that are sent later than this after the third crash.
constexpr seconds StableWindow { 4 };
constexpr std::size_t ToleratedCrashes = 3;

// From then on after the third crash, the crashed searchers are back and all others must be served as usual.
constexpr seconds RecoveryTime { 8 };

struct Outcome {
    TimePoint sentAt;
    milliseconds elapsed { 0 };
    unsigned status { 0 }; // 0: no answer
};

class Trial {
public:
    explicit Trial(boost::asio::io_context& io)
        : io_(io)
        , store_(io)
        , searchers_(io, store_, FLAGS_folder + "/events")
        , random_(FLAGS_seed)
    {
    }

    void start()
    {
        if (store_.listen(*http::parseEndpoint(endpoint(3, 0, StorePort))))
            throw std::runtime_error("cannot listen");
        for (std::size_t index = 0; index < SingleSearchers; ++index)
            addSearcher("single", index);
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
        runtime::spawnFiber([this] { searchers_.keepRunning(); });
        runtime::sleepFor(io_, seconds(5));
        runtime::spawnFiber([this] { sendInnocent(); });
    }

    void run()
    {
        if (FLAGS_scenario == "killed")
            killInTurn();
        else if (FLAGS_scenario == "rare")
            sendCrashing(seconds(21), milliseconds(5'000)); // each visit later than the window after the last
        else if (FLAGS_scenario == "return")
            sendTwice([this] { runtime::sleepFor(io_, seconds(10)); });
        else if (FLAGS_scenario == "restart")
            sendTwice([this] { restartAll(); });
        else if (FLAGS_scenario == "frozen")
            sendAroundFreeze();
        else
            sendCrashing(seconds(16), milliseconds(150));
        isStopping_ = true;
        runtime::sleepFor(io_, seconds(2));
    }

    // Ends all processes.
    void stop()
    {
        searchers_.stop();
        vms_.clear();
    }

    void print() const
    {
        const std::vector<TimePoint> arrivals = searchers_.crashingArrivals();
        const TimePoint third
            = arrivals.size() >= ToleratedCrashes ? arrivals[ToleratedCrashes - 1] : TimePoint::max() - seconds(60);
        std::printf("crashes %zu\nlate_arrivals %td\n", arrivals.size(),
            std::ranges::count_if(arrivals, [&](TimePoint at) { return at > third + StableWindow; }));
        const bool hasCrashes = arrivals.size() >= ToleratedCrashes;
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const Outcome& outcome : innocent_) {
            if (hasCrashes && outcome.sentAt < third + RecoveryTime)
                continue;
            ++sent;
            served += outcome.status == 200 ? 1 : 0;
        }
        std::printf("innocent %zu\nserved %zu\nunserved %zu\n", sent, served, sent - served);
        std::map<unsigned, std::size_t> statuses;
        milliseconds slowest { 0 };
        for (const Outcome& outcome : crashing_) {
            if (outcome.sentAt < third + StableWindow)
                continue;
            ++statuses[outcome.status];
            slowest = std::max(slowest, outcome.elapsed);
        }
        std::size_t refused = 0;
        std::size_t other = 0;
        for (const auto& [status, count] : statuses) {
            std::printf("late_status_%u %zu\n", status, count);
            (status == 503 ? refused : other) += count;
        }
        std::printf("late_refused %zu\nlate_not_refused %zu\nlate_slowest_ms %ld\n", refused, other, slowest.count());
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

    void addSearcher(const std::string& service, std::size_t replica)
    {
        searchers_.add(service, replica % 2 == 0 ? "a" : "b", endpoint(2, searcherCount_++, SearcherPort));
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

    // Half of the VMs delegate requests over many shards to the others if they are much smaller.
    static double processor(std::size_t vm)
    {
        if (FLAGS_scenario != "delegated")
            return 0;
        return vm < VmCount / 2 ? 0.5 : 0.12;
    }

    std::string prefix() const
    {
        if (FLAGS_scenario == "unsafe")
            return "/unsafe/";
        const bool isGather = FLAGS_scenario == "gather" || FLAGS_scenario == "delegated" || FLAGS_scenario == "rare";
        return isGather ? "/all/" : "/one/";
    }

    Outcome send(std::size_t vm, const std::string& target, const std::string& id)
    {
        http::Request request = http::makeRequest(boost::beast::http::verb::get, target);
        request.set(boost::beast::http::field::host, "h");
        http::setField(request, platform::field::RequestId, id);
        http::setField(request, platform::field::DeadlineMs, "900");
        Outcome outcome { std::chrono::steady_clock::now() };
        const auto response
            = http::fetch(io_, *http::parseEndpoint(endpoint(1, vm, soak::CallersPort)), request, CallerTimeout);
        outcome.elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - outcome.sentAt);
        outcome.status = response ? response->result_int() : 0;
        return outcome;
    }

    // VMs that are down or frozen are left out: their callers go to others.
    std::size_t chooseVm()
    {
        for (;;) {
            const std::size_t vm = random_() % VmCount;
            if (vm != excludedVm_)
                return vm;
        }
    }

    void sendInnocent()
    {
        for (std::uint64_t number = 0; !isStopping_; ++number) {
            runtime::spawnFiber([this, number, vm = chooseVm()] {
                innocent_.push_back(send(vm, prefix() + std::to_string(number), "innocent-" + std::to_string(number)));
            });
            runtime::sleepFor(io_, InnocentInterval);
        }
    }

    void sendCrashing(base::Duration time, milliseconds interval, std::optional<std::size_t> onlyVm = {})
    {
        const TimePoint until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            runtime::spawnFiber([this, vm = onlyVm.value_or(chooseVm()), number = ++crashingCount_] {
                crashing_.push_back(send(vm, prefix() + "same", CrashingPrefix + std::to_string(number)));
            });
            runtime::sleepFor(io_, interval);
        }
    }

    template <typename Between> void sendTwice(Between between)
    {
        sendCrashing(seconds(6), milliseconds(150));
        between();
        sendCrashing(seconds(6), milliseconds(150));
    }

    // A VM that has just started is excused for the stable window.
    void restartAll()
    {
        for (std::size_t vm = 0; vm < VmCount; ++vm) {
            excludedVm_ = vm;
            vms_[vm]->signal(SIGKILL);
            while (vms_[vm]->isRunning())
                runtime::sleepFor(io_, milliseconds(20));
            vms_[vm]->start();
            runtime::sleepFor(io_, seconds(2));
        }
        excludedVm_ = VmCount;
        runtime::sleepFor(io_, StableWindow);
    }

    // One VM is frozen while the request crashes searchers, and gets it once the stable window is over.
    void sendAroundFreeze()
    {
        constexpr std::size_t Frozen = VmCount - 1;
        excludedVm_ = Frozen;
        vms_[Frozen]->signal(SIGSTOP);
        sendCrashing(seconds(8), milliseconds(150));
        vms_[Frozen]->signal(SIGCONT);
        runtime::sleepFor(io_, StableWindow);
        excludedVm_ = VmCount;
        sendCrashing(seconds(6), milliseconds(300), Frozen);
    }

    void killInTurn()
    {
        for (std::size_t index = 0; index < SingleSearchers / 2; ++index) {
            runtime::sleepFor(io_, seconds(2));
            searchers_.kill("single", index);
        }
        runtime::sleepFor(io_, seconds(6));
    }

    boost::asio::io_context& io_;
    platform::StoreStandIn store_;
    Searchers searchers_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<soak::VmProcess>> vms_;
    std::size_t searcherCount_ { 0 };
    std::size_t excludedVm_ { VmCount };
    std::uint64_t crashingCount_ { 0 };
    bool isStopping_ { false };
    std::vector<Outcome> innocent_;
    std::vector<Outcome> crashing_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures what a request does that ends every searcher that runs it.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!FLAGS_searcher.empty())
        runSearcher(FLAGS_searcher, FLAGS_service, FLAGS_endpoint, FLAGS_events);
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
