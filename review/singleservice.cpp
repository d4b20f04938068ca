#include "review/singleservice.h"

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::size_t VmCount = 9;
    constexpr std::size_t SearcherCount = 7;
    constexpr std::size_t CallerCount = 30; // about 45 requests a second
    constexpr std::uint32_t RequestsPerConnection = 20;
    constexpr std::uint32_t MaxPauseMs = 1'000;
    constexpr const char* Host = "sklep.example";
    constexpr const char* Prefix = "/nocny/";
    constexpr const char* Service = "kontrola";
    constexpr std::uint32_t MaxConnections = 110;
    constexpr std::size_t RequestBytes = 300;

    // As on the sheet of the site.
    constexpr milliseconds Goal { 1'000 };
    constexpr milliseconds TimeLimit { 3'000 };
    constexpr WorkTime Work { 120, 0.5, 720 };

} // namespace

SingleServiceTrial::SingleServiceTrial(World& world)
    : world_(world)
{
}

routing::Configuration SingleServiceTrial::makeConfiguration()
{
    routing::Configuration configuration;
    configuration.version = 1;
    configuration.routes = { { .name = "nocny",
        .host = Host,
        .pathPrefix = Prefix,
        .isIdempotent = false,
        .timeout = TimeLimit,
        .goal = Goal,
        .priority = 2,
        .maxAttempts = 2,
        .services = { { Service, 1 } } } };
    configuration.services = { { Service, MaxConnections } };
    return configuration;
}

bool SingleServiceTrial::start()
{
    for (std::size_t searcher = 0; searcher < SearcherCount; ++searcher) {
        world_.addSearcher({ Service, "k-" + std::to_string(searcher), searcher % 2 == 0 ? "a" : "b", 6, 24, 6'000 });
        world_.searchers().back()->setWork(Prefix, Work);
    }
    if (!world_.start(VmCount, makeConfiguration()))
        return false;
    runtime::spawnFiber([this] { world_.superviseProcesses(); });
    for (std::size_t caller = 0; caller < CallerCount; ++caller)
        runtime::spawnFiber([this] { runCaller(); });
    return true;
}

void SingleServiceTrial::wait(milliseconds duration)
{
    runtime::sleepFor(world_.io(), duration);
}

void SingleServiceTrial::finish()
{
    isStopping_ = true;
    wait(TimeLimit + seconds(1));
}

void SingleServiceTrial::runCaller()
{
    while (!isStopping_) {
        Caller caller(world_, random_() % VmCount);
        for (std::uint32_t request = 0; request < RequestsPerConnection && !isStopping_; ++request) {
            const std::string number = std::to_string(++lastRequest_);
            outcomes_.push_back(caller.send(
                { "q" + number, "nocny", Host, Prefix + number, std::string(RequestBytes, 'x'), TimeLimit }));
            if (!outcomes_.back().hasAnswer)
                break;
            runtime::sleepFor(world_.io(), milliseconds(random_() % MaxPauseMs));
        }
    }
}

} // namespace flamingousher::review
