#include "searchers.h"

#include "http/client.h"
#include "platform/standins/searcherstandin.h"
#include "platform/standins/storeentries.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace flamingousher::crashtest {

namespace {

    constexpr std::chrono::milliseconds CheckInterval { 20 };
    constexpr std::chrono::milliseconds RestartTime { 3'000 };

} // namespace

Searchers::Searchers(boost::asio::io_context& io, platform::StoreStandIn& store, std::string events)
    : io_(io)
    , store_(store)
    , events_(std::move(events))
{
}

void Searchers::stop()
{
    isStopped_ = true;
    for (const SearcherProcess& searcher : searchers_) {
        if (searcher.process == 0)
            continue;
        ::kill(searcher.process, SIGKILL);
        ::waitpid(searcher.process, nullptr, 0);
    }
}

void Searchers::add(const std::string& service, const std::string& zone, const std::string& endpoint)
{
    searchers_.push_back({ { .service = service, .endpoint = endpoint, .zone = zone, .slots = 4 }, 0, {} });
    start(searchers_.back());
}

void Searchers::start(SearcherProcess& searcher)
{
    if (!searcher.entry.id.empty())
        store_.erase(platform::upstreamKey(searcher.entry.id));
    searcher.entry.id = "i-" + std::to_string(++starts_);
    searcher.entry.startedAt = static_cast<std::int64_t>(starts_);
    searcher.entry.sequence = 1;
    std::vector<std::string> texts { "/proc/self/exe", "--searcher=" + searcher.entry.id,
        "--service=" + searcher.entry.service, "--endpoint=" + searcher.entry.endpoint, "--events=" + events_ };
    std::vector<char*> arguments;
    for (std::string& text : texts)
        arguments.push_back(text.data());
    arguments.push_back(nullptr);
    if (::posix_spawn(&searcher.process, arguments.front(), nullptr, nullptr, arguments.data(), environ) != 0)
        throw std::runtime_error("cannot start a searcher");
    store_.put(platform::upstreamKey(searcher.entry.id), platform::encodeUpstream(searcher.entry));
}

void Searchers::keepRunning()
{
    while (!isStopped_) {
        const auto now = std::chrono::steady_clock::now();
        for (SearcherProcess& searcher : searchers_) {
            if (searcher.process != 0 && ::waitpid(searcher.process, nullptr, WNOHANG) == searcher.process) {
                searcher.process = 0;
                searcher.endedAt = now;
            }
            if (searcher.process == 0 && now - searcher.endedAt >= RestartTime)
                start(searcher);
        }
        runtime::sleepFor(io_, CheckInterval);
    }
}

void Searchers::kill(const std::string& service, std::size_t index)
{
    for (const SearcherProcess& searcher : searchers_) {
        if (searcher.entry.service != service || index-- > 0)
            continue;
        if (searcher.process != 0)
            ::kill(searcher.process, SIGKILL);
        return;
    }
}

std::vector<base::TimePoint> Searchers::crashingArrivals() const
{
    std::vector<base::TimePoint> arrivals;
    std::ifstream file(events_);
    std::int64_t nanoseconds = 0;
    while (file >> nanoseconds)
        arrivals.emplace_back(std::chrono::nanoseconds(nanoseconds));
    return arrivals;
}

// The steady clock is the same for all processes of a machine.
void runSearcher(
    const std::string& id, const std::string& service, const std::string& endpoint, const std::string& events)
{
    const int file = ::open(events.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    runtime::FiberThread thread("searcher");
    thread.call([&] {
        auto* searcher = new platform::SearcherStandIn(thread.io(), service, id, {});
        searcher->onRun = [file](const std::string& requestId) {
            if (!requestId.starts_with(CrashingPrefix))
                return;
            const std::string line = std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()) + "\n";
            const bool isWritten = ::write(file, line.data(), line.size()) > 0;
            ::_exit(isWritten ? 1 : 2);
        };
        if (searcher->listen(*http::parseEndpoint(endpoint)))
            ::_exit(3);
    });
    for (;;)
        ::pause();
}

} // namespace flamingousher::crashtest
