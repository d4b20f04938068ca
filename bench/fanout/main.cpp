#include "http/client.h"
#include "quantile.h"
#include "runtime/fiberthread.h"
#include "runtime/signal.h"
#include "runtime/usefiber.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <gflags/gflags.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

DEFINE_string(daemon, "127.0.0.11:8080", "Callers' port of the daemon.");
DEFINE_uint32(daemon_pid, 0, "Process ID of the daemon, to measure its CPU time.");
DEFINE_string(searchers, "127.0.0.1", "IP address of the searchers.");
DEFINE_uint32(searchers_port, 20000, "Port of the searcher of shard 0; the next ones follow.");
DEFINE_uint32(shards, 75, "Shards.");
DEFINE_uint32(queries, 2000, "Queries of each measurement.");
DEFINE_uint32(concurrency, 1, "Queries in progress at once.");
DEFINE_string(query, "denim", "Text to search for.");

namespace {

using namespace flamingousher;
using boost::asio::ip::tcp;
using boost::beast::http::verb;
using boost::system::error_code;
using runtime::useFiber;
using Clock = std::chrono::steady_clock;

struct Result {
    double queriesPerSecond { 0 };
    double p50Ms { 0 };
    double p99Ms { 0 };
    double cpuPerSubRequestUs { 0 };
};

// Returns the CPU time of another process in seconds.
double processCpu(std::uint32_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stream, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double currentProcessCpu()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + 1e-6 * time.tv_usec; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class Connection {
public:
    Connection(boost::asio::io_context& io, const http::Endpoint& endpoint)
        : socket_(io)
    {
        socket_.async_connect(endpoint, useFiber);
        socket_.set_option(tcp::no_delay(true));
    }

    bool exchange(const http::Request& request)
    {
        error_code error;
        boost::beast::http::async_write(socket_, request, useFiber[error]);
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        if (!error)
            boost::beast::http::async_read(socket_, buffer_, parser, useFiber[error]);
        return !error && parser.get().result() == http::Status::ok;
    }

private:
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

http::Request makeKeepAliveRequest(const std::string& target)
{
    http::Request request = http::makeRequest(verb::get, target);
    request.keep_alive(true);
    return request;
}

Result summarize(std::vector<double>& latenciesMs, double seconds, double cpuSeconds)
{
    std::ranges::sort(latenciesMs);
    const double count = static_cast<double>(latenciesMs.size());
    return { count / seconds, quantile(latenciesMs, 0.5), quantile(latenciesMs, 0.99),
        1e6 * cpuSeconds / (count * FLAGS_shards) };
}

// Runs the given number of workers, each in a fiber, until all queries are done.
template <typename MakeWorker> std::pair<std::vector<double>, double> runWorkers(MakeWorker makeWorker)
{
    std::vector<double> latenciesMs;
    std::uint32_t started = 0;
    std::uint32_t running = FLAGS_concurrency;
    runtime::Signal done;
    std::vector<decltype(makeWorker())> workers;
    for (std::uint32_t index = 0; index < FLAGS_concurrency; ++index)
        workers.push_back(makeWorker());
    const Clock::time_point start = Clock::now();
    for (auto& worker : workers) {
        runtime::spawnFiber([&] {
            while (started++ < FLAGS_queries) {
                const Clock::time_point begin = Clock::now();
                if (!worker->query())
                    std::fputs("a query failed\n", stderr);
                latenciesMs.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
            }
            if (--running == 0)
                done.notify();
        });
    }
    done.wait();
    return { std::move(latenciesMs), std::chrono::duration<double>(Clock::now() - start).count() };
}

// Baseline: sends the same requests to every shard over reused connections, without routing decisions.
class BareWorker {
public:
    explicit BareWorker(boost::asio::io_context& io)
    {
        for (std::uint32_t shard = 0; shard < FLAGS_shards; ++shard) {
            const http::Endpoint endpoint { boost::asio::ip::make_address(FLAGS_searchers),
                static_cast<std::uint16_t>(FLAGS_searchers_port + shard) };
            http::Request request = makeKeepAliveRequest("/v1/search?q=" + FLAGS_query + "&k=10");
            request.set("Flamingousher-Request", "bench");
            request.set("Flamingousher-Version", "1");
            request.set("Flamingousher-Shard", std::to_string(shard) + "/" + std::to_string(FLAGS_shards));
            request.set("Flamingousher-Deadline-Ms", "1000");
            requests_.push_back(std::move(request));
            lanes_.push_back(std::make_unique<Lane>(io, endpoint));
        }
        for (std::uint32_t shard = 0; shard < FLAGS_shards; ++shard)
            runtime::spawnFiber([this, shard] { serve(shard); });
    }

    bool query()
    {
        pending_ = FLAGS_shards;
        didSucceed_ = true;
        for (const auto& lane : lanes_)
            lane->go.notify();
        finished_.wait();
        return didSucceed_;
    }

private:
    struct Lane {
        Lane(boost::asio::io_context& io, const http::Endpoint& endpoint)
            : connection(io, endpoint)
        {
        }

        Connection connection;
        runtime::Signal go;
    };

    void serve(std::uint32_t shard)
    {
        for (;;) {
            lanes_[shard]->go.wait();
            didSucceed_ = lanes_[shard]->connection.exchange(requests_[shard]) && didSucceed_;
            if (--pending_ == 0)
                finished_.notify();
        }
    }

    std::vector<http::Request> requests_;
    std::vector<std::unique_ptr<Lane>> lanes_;
    runtime::Signal finished_;
    std::uint32_t pending_ { 0 };
    bool didSucceed_ { true };
};

class DaemonWorker {
public:
    explicit DaemonWorker(boost::asio::io_context& io)
        : connection_(io, *http::parseEndpoint(FLAGS_daemon))
        , request_(makeKeepAliveRequest("/slings?q=" + FLAGS_query + "&k=10"))
    {
    }

    bool query() { return connection_.exchange(request_); }

private:
    Connection connection_;
    http::Request request_;
};

template <typename Worker, typename Cpu> Result measure(boost::asio::io_context& io, Cpu cpu)
{
    const auto makeWorker = [&] { return std::make_unique<Worker>(io); };
    const double cpuBefore = cpu();
    auto [latencies, seconds] = runWorkers(makeWorker);
    return summarize(latencies, seconds, cpu() - cpuBefore);
}

void print(const char* name, const Result& result)
{
    std::printf("| %s | %.0f | %.3f | %.3f | %.1f |\n", name, result.queriesPerSecond, result.p50Ms, result.p99Ms,
        result.cpuPerSubRequestUs);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Compares the daemon with a bare loop that sends the same requests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto* thread = new runtime::FiberThread("bench"); // leaked: its fibers are not unwound
    thread->call([&] {
        const auto bareCpu = [] { return currentProcessCpu(); };
        const auto daemonCpu = [] { return processCpu(FLAGS_daemon_pid); };
        measure<BareWorker>(thread->io(), bareCpu);
        measure<DaemonWorker>(thread->io(), daemonCpu);
        const Result bare = measure<BareWorker>(thread->io(), bareCpu);
        const Result daemon = measure<DaemonWorker>(thread->io(), daemonCpu);
        std::puts("| what | queries/s | p50 ms | p99 ms | CPU per sub-request, us |");
        std::puts("| --- | --- | --- | --- | --- |");
        print("bare loop", bare);
        print("daemon", daemon);
        std::printf("| ratio | %.2f | %.2f | %.2f | %.2f |\n", daemon.queriesPerSecond / bare.queriesPerSecond,
            daemon.p50Ms / bare.p50Ms, daemon.p99Ms / bare.p99Ms, daemon.cpuPerSubRequestUs / bare.cpuPerSubRequestUs);
    });
    std::fflush(stdout);
    std::_Exit(0);
}
