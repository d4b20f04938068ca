// Runs one VM as a process with little memory and few descriptors in front of sound searchers, and crowds of clients
// that keep to no limits at each of its ports in turn. Prints one "name value" a line.

#include "hostileclients/crowd.h"
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

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

#include <sys/resource.h>

DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_string(bytes, "trailers",
    "What the crowd sends: trailers, heads, large-chunks, small-chunks, length, silence, pipeline, or all of these at "
    "once, beside searchers that answer without end.");
DEFINE_uint32(slot, 180, "Loopback addresses are 127.(10 + slot).x.y; runs at the same time need different slots.");
DEFINE_double(memory_mb, 64, "Memory of the VM as stated in its settings.");
DEFINE_uint32(descriptors, 512, "Limit on the open descriptors of the VM.");

namespace {

using namespace flamingousher;
using std::chrono::milliseconds;
using std::chrono::seconds;
using trial::Bytes;
using trial::Crowd;

constexpr std::size_t Searchers = 3; // of each service
constexpr std::uint16_t StorePort = 8229;
constexpr std::uint16_t SearcherPort = 8100;
constexpr std::size_t BodyLimit = 1024 * 1024;
constexpr std::size_t EndlessRequests = 30;
constexpr milliseconds CallerTimeout { 10'000 };
constexpr milliseconds StartCheckInterval { 50 };
constexpr std::size_t MaxStartChecks = 200;

const std::vector<Bytes> AllBytes { Bytes::Trailers, Bytes::Heads, Bytes::LargeChunks, Bytes::SmallChunks,
    Bytes::Length, Bytes::Silence, Bytes::Pipeline };

struct Port {
    const char* name;
    std::uint16_t number;
};

constexpr std::array<Port, 4> Ports { { { "callers", soak::CallersPort }, { "fanouts", soak::FanoutsPort },
    { "operators", soak::OperatorsPort }, { "readiness", soak::ReadinessPort } } };

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
        for (std::size_t index = 0; index < Searchers; ++index) {
            sound_.push_back(std::make_unique<platform::SearcherStandIn>(
                io_, "one", id(index), platform::SearcherBehaviour { .slots = 20 }));
            publish(*sound_.back(), "one", index);
            endless_.push_back(std::make_unique<platform::EndlessSearcher>(io_, platform::EndlessBytes::Body));
            publish(*endless_.back(), "endless", Searchers + index);
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
        startWithFewDescriptors();
        for (std::size_t check = 0; check < MaxStartChecks && !isAnswered("GET", 0); ++check)
            runtime::sleepFor(io_, StartCheckInterval);
    }

    // A request inside the limits, in calm, with the largest body.
    bool servesLargestBody() { return isAnswered("POST", BodyLimit); }

    void run(const std::vector<Bytes>& kinds)
    {
        for (const Port& port : Ports) {
            std::vector<std::unique_ptr<Crowd>> crowds;
            for (Bytes bytes : kinds) {
                crowds.push_back(std::make_unique<Crowd>(portEndpoint(port.number), bytes, "h", BodyLimit));
                crowds.back()->send();
            }
            if (kinds.size() > 1)
                askEndlessSearchers();
            const bool isServed = vm_->isRunning() && isAnswered("GET", 0);
            const bool isRunning = vm_->isRunning();
            std::size_t closed = 0;
            for (const auto& crowd : crowds)
                closed += crowd->closedByServer();
            std::printf("%s_ended %d\n%s_served %d\n%s_descriptors %zu\n%s_peak_mb %.0f\n%s_closed %zu\n", port.name,
                isRunning ? 0 : 1, port.name, isServed ? 1 : 0, port.name, isRunning ? openDescriptors() : 0, port.name,
                isRunning ? peakMemoryMb() : 0, port.name, closed);
            std::fflush(stdout);
        }
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

    static http::Endpoint portEndpoint(std::uint16_t port) { return *http::parseEndpoint(endpoint(1, 0, port)); }
    static std::string id(std::size_t index) { return "i-" + std::to_string(index); }

    // The process inherits the limit, which this one needs only while it starts it.
    void startWithFewDescriptors()
    {
        rlimit own {};
        ::getrlimit(RLIMIT_NOFILE, &own);
        rlimit few = own;
        few.rlim_cur = FLAGS_descriptors;
        ::setrlimit(RLIMIT_NOFILE, &few);
        vm_->start();
        ::setrlimit(RLIMIT_NOFILE, &own);
    }

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
        configuration.limits.bodyBytes = BodyLimit;
        for (const char* service : { "one", "endless" }) {
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

    http::Request makeRequest(boost::beast::http::verb method, const std::string& service, std::size_t bodyBytes)
    {
        const std::string id = "request-" + std::to_string(++lastRequest_);
        http::Request request = http::makeRequest(method, "/" + service + "/" + id, std::string(bodyBytes, 'a'));
        request.set(boost::beast::http::field::host, "h");
        http::setField(request, platform::field::RequestId, id);
        http::setField(request, platform::field::DeadlineMs, "3000");
        return request;
    }

    // One ordinary request over a connection of its own.
    bool isAnswered(const std::string& method, std::size_t bodyBytes)
    {
        const auto response = http::fetch(io_, portEndpoint(soak::CallersPort),
            makeRequest(boost::beast::http::string_to_verb(method), "one", bodyBytes), CallerTimeout);
        return response && response->result() == http::Status::ok;
    }

    void askEndlessSearchers()
    {
        for (std::size_t index = 0; index < EndlessRequests; ++index)
            runtime::spawnFiber([this] {
                static_cast<void>(http::fetch(io_, portEndpoint(soak::CallersPort),
                    makeRequest(boost::beast::http::verb::get, "endless", 0), CallerTimeout));
            });
    }

    std::size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator entries("/proc/" + std::to_string(vm_->id()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
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
    std::vector<std::unique_ptr<platform::SearcherStandIn>> sound_;
    std::vector<std::unique_ptr<platform::EndlessSearcher>> endless_;
    std::unique_ptr<soak::VmProcess> vm_;
    std::size_t lastRequest_ { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures a VM whose clients keep to no limits.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto single = trial::parseBytes(FLAGS_bytes);
    if (!single && FLAGS_bytes != "all") {
        std::fprintf(stderr, "unknown kind of bytes\n");
        return 2;
    }
    std::filesystem::create_directories(FLAGS_folder);
    runtime::FiberThread thread("trial");
    thread.call([&] {
        auto* trial = new Trial(thread.io()); // fibers use it until this process exits
        trial->start();
        std::printf("largest_body_served %d\n", trial->servesLargestBody() ? 1 : 0);
        trial->run(single ? std::vector { *single } : AllBytes);
        trial->stop();
    });
    std::_Exit(0);
}
