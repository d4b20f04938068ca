// Runs one VM as a process in front of searchers that send bytes without end, and of a sound service, and measures the
// memory of the VM and how the sound service is served. Prints one "name value" a line.

#include "http/client.h"
#include "platform/names.h"
#include "platform/standins/endlesssearcher.h"
#include "platform/standins/searcherstandin.h"
#include "platform/standins/storeentries.h"
#include "platform/standins/storestandin.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "soak/vmprocess.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>

DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_string(bytes, "body", "What the faulty searchers send: body, chunks, head, interim or trickle.");
DEFINE_uint32(slot, 191, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_double(memory_mb, 160, "Memory of the VM as stated in its settings; 0: not stated.");

namespace {

using namespace flamingousher;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t FaultySearchers = 6;
constexpr std::size_t SoundSearchers = 6;
constexpr std::uint16_t StorePort = 8229;
constexpr std::uint16_t SearcherPort = 8100;
constexpr milliseconds RequestInterval { 4 };
constexpr milliseconds CallerTimeout { 4'000 };
constexpr std::size_t SoundInterval = 3; // one of this many requests is for the sound service
constexpr seconds SettleTime { 3 };
constexpr seconds RunTime { 12 };

struct Count {
    std::size_t sent { 0 };
    std::size_t served { 0 };
    std::size_t unanswered { 0 };
};

class Trial {
public:
    explicit Trial(boost::asio::io_context& io)
        : io_(io)
        , store_(io)
    {
    }

    void start()
    {
        if (store_.listen(*http::parseEndpoint(endpoint(3, 0, StorePort))))
            throw std::runtime_error("cannot listen");
        const auto bytes = platform::parseEndlessBytes(FLAGS_bytes);
        if (!bytes)
            throw std::runtime_error("unknown kind of bytes");
        for (std::size_t index = 0; index < FaultySearchers; ++index) {
            faulty_.push_back(std::make_unique<platform::EndlessSearcher>(io_, *bytes));
            publish(*faulty_.back(), "faulty", index);
        }
        for (std::size_t index = FaultySearchers; index < FaultySearchers + SoundSearchers; ++index) {
            sound_.push_back(std::make_unique<platform::SearcherStandIn>(
                io_, "sound", id(index), platform::SearcherBehaviour { .slots = 20 }));
            publish(*sound_.back(), "sound", index);
        }
        store_.put(platform::configurationKey(), platform::encodeConfiguration(makeConfiguration()));
        vm_ = std::make_unique<soak::VmProcess>(soak::VmSpec { .daemon = FLAGS_daemon,
            .folder = FLAGS_folder,
            .name = "vm",
            .address = address(1, 0),
            .zone = "a",
            .store = *http::parseEndpoint(endpoint(3, 0, StorePort)),
            .seeds = { endpoint(1, 0, soak::GossipPort) },
            .memoryMb = FLAGS_memory_mb });
        vm_->start();
        runtime::sleepFor(io_, SettleTime);
    }

    void run()
    {
        const auto end = std::chrono::steady_clock::now() + RunTime;
        for (std::size_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
            const std::string service = number % SoundInterval == 0 ? "sound" : "faulty";
            runtime::spawnFiber([this, service, number] { send(service, "request-" + std::to_string(number)); });
            runtime::sleepFor(io_, RequestInterval);
        }
        runtime::sleepFor(io_, CallerTimeout);
    }

    void print()
    {
        const bool isRunning = vm_->isRunning();
        std::printf("ended %d\npeak_mb %.0f\n", isRunning ? 0 : 1, isRunning ? peakMemoryMb() : 0);
        for (const auto& [service, count] : counts_)
            std::printf("%s_sent %zu\n%s_served %zu\n%s_unanswered %zu\n", service.c_str(), count.sent, service.c_str(),
                count.served, service.c_str(), count.unanswered);
    }

    void stop() { vm_ = nullptr; }

private:
    static std::string address(std::uint32_t group, std::size_t index)
    {
        return "127." + std::to_string(10 + FLAGS_slot) + "." + std::to_string(group) + "." + std::to_string(index + 1);
    }

    static std::string endpoint(std::uint32_t group, std::size_t index, std::uint16_t port)
    {
        return address(group, index) + ":" + std::to_string(port);
    }

    static std::string id(std::size_t index) { return "i-" + std::to_string(index); }

    template <typename Searcher> void publish(Searcher& searcher, const std::string& service, std::size_t index)
    {
        const std::string published = endpoint(2, index, SearcherPort);
        if (searcher.listen(*http::parseEndpoint(published)))
            throw std::runtime_error("cannot listen");
        const discovery::UpstreamEntry entry { .id = id(index),
            .service = service,
            .endpoint = published,
            .zone = "a",
            .slots = 20,
            .startedAt = 1,
            .sequence = 1 };
        store_.put(platform::upstreamKey(entry.id), platform::encodeUpstream(entry));
    }

    static routing::Configuration makeConfiguration()
    {
        routing::Configuration configuration;
        configuration.version = 1;
        for (const char* service : { "faulty", "sound" }) {
            configuration.services.push_back({ service, 200 });
            configuration.routes.push_back({ .name = service,
                .host = "h",
                .pathPrefix = "/" + std::string(service) + "/",
                .isIdempotent = true,
                .timeout = milliseconds(3'000),
                .goal = milliseconds(1'000),
                .maxAttempts = 2,
                .services = { { service, 1 } } });
        }
        return configuration;
    }

    void send(const std::string& service, const std::string& requestId)
    {
        http::Request request = http::makeRequest(boost::beast::http::verb::get, "/" + service + "/" + requestId);
        request.set(boost::beast::http::field::host, "h");
        http::setField(request, platform::field::RequestId, requestId);
        http::setField(request, platform::field::DeadlineMs, "3000");
        const auto response
            = http::fetch(io_, *http::parseEndpoint(endpoint(1, 0, soak::CallersPort)), request, CallerTimeout);
        Count& count = counts_[service];
        ++count.sent;
        count.served += response && response->result() == http::Status::ok ? 1 : 0;
        count.unanswered += response ? 0 : 1;
    }

    double peakMemoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(vm_->id()) + "/status");
        for (std::string name; status >> name;) {
            double kilobytes = 0;
            if (name == "VmHWM:" && status >> kilobytes)
                return kilobytes * 1'024 / 1e6;
        }
        throw std::runtime_error("no peak memory of the VM");
    }

    boost::asio::io_context& io_;
    platform::StoreStandIn store_;
    std::vector<std::unique_ptr<platform::EndlessSearcher>> faulty_;
    std::vector<std::unique_ptr<platform::SearcherStandIn>> sound_;
    std::unique_ptr<soak::VmProcess> vm_;
    std::map<std::string, Count> counts_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the memory of a VM whose upstreams send bytes without end.");
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
