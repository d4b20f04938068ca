#include "http/client.h"
#include "quantile.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <vector>

DEFINE_string(daemons, "127.0.0.11", "IP addresses of the daemons, separated by commas.");
DEFINE_uint32(callers_port, 8080, "Callers' port of each daemon.");
DEFINE_uint32(operators_port, 8090, "Operators' port of each daemon.");
DEFINE_uint32(workers, 4, "Requests in progress at once.");
DEFINE_uint32(pause_ms, 5, "Pause of each worker between two requests.");
DEFINE_uint32(seconds, 10, "Seconds to run.");
DEFINE_uint32(reserve_each, 10, "One of this many requests is a reservation; 0: none.");
DEFINE_string(target, "/slings?q=denim", "Search to send.");

namespace {

using namespace flamingousher;
using boost::beast::http::verb;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ReadyInterval { 100 };
constexpr std::chrono::milliseconds RequestTimeout { 5'000 };

// Sends requests like callers behind a load balancer: only to daemons that report ready.
class Load {
public:
    explicit Load(boost::asio::io_context& io)
        : io_(io)
    {
        std::istringstream addresses(FLAGS_daemons);
        for (std::string address; std::getline(addresses, address, ',');)
            daemons_.push_back({ address, false });
    }

    void run()
    {
        const Clock::time_point end = Clock::now() + std::chrono::seconds(FLAGS_seconds);
        runtime::spawnFiber([this, end] { watchReadiness(end); });
        runtime::sleepFor(io_, 2 * ReadyInterval);
        std::uint32_t running = FLAGS_workers;
        for (std::uint32_t worker = 0; worker < FLAGS_workers; ++worker) {
            runtime::spawnFiber([this, end, worker, &running] {
                for (std::uint32_t count = worker; Clock::now() < end; ++count) {
                    sendOne(count);
                    runtime::sleepFor(io_, std::chrono::milliseconds(FLAGS_pause_ms));
                }
                --running;
            });
        }
        while (running > 0)
            runtime::sleepFor(io_, ReadyInterval);
        print();
    }

private:
    struct Daemon {
        std::string address;
        bool isReady { false };
    };

    http::Endpoint endpoint(const Daemon& daemon, std::uint32_t port) const
    {
        return { boost::asio::ip::make_address(daemon.address), static_cast<std::uint16_t>(port) };
    }

    void watchReadiness(Clock::time_point end)
    {
        while (Clock::now() < end) {
            for (Daemon& daemon : daemons_) {
                runtime::spawnFiber([this, &daemon] {
                    const auto response = http::fetch(io_, endpoint(daemon, FLAGS_operators_port),
                        http::makeRequest(verb::get, "/ready"), std::chrono::milliseconds(500));
                    daemon.isReady = response && response->result() == http::Status::ok;
                });
            }
            runtime::sleepFor(io_, ReadyInterval);
        }
    }

    const Daemon* choose(std::uint32_t count) const
    {
        for (std::size_t offset = 0; offset < daemons_.size(); ++offset) {
            const Daemon& daemon = daemons_[(count + offset) % daemons_.size()];
            if (daemon.isReady)
                return &daemon;
        }
        return nullptr;
    }

    void sendOne(std::uint32_t count)
    {
        const Daemon* daemon = choose(count);
        if (!daemon) {
            ++counts_["no_daemon_ready"];
            return;
        }
        if (FLAGS_reserve_each > 0 && count % FLAGS_reserve_each == 0)
            reserve(*daemon, count);
        else
            search(*daemon);
    }

    void search(const Daemon& daemon)
    {
        const Clock::time_point start = Clock::now();
        const auto response = http::fetch(
            io_, endpoint(daemon, FLAGS_callers_port), http::makeRequest(verb::get, FLAGS_target), RequestTimeout);
        latenciesMs_.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        if (!response) {
            ++counts_[response.error().step == base::Step::Connect ? "not_connected" : "cut"];
            return;
        }
        if (response->result() == http::Status::ok) {
            const bool isPartial = response->body().find("\"partial\":true") != std::string::npos;
            ++counts_[isPartial ? "partial" : "complete"];
            return;
        }
        ++counts_["search_" + errorOf(response->body())];
    }

    // Sends a reservation twice with one identity, through a different daemon than the one that issued it if possible.
    void reserve(const Daemon& daemon, std::uint32_t count)
    {
        const auto issued = http::fetch(io_, endpoint(daemon, FLAGS_callers_port),
            http::makeRequest(verb::post, "/flamingousher/identities"), RequestTimeout);
        const Daemon* other = choose(count + 1);
        if (!issued || !other || issued->result() != http::Status::created) {
            ++counts_["no_identity"];
            return;
        }
        const std::string identity(boost::json::parse(issued->body()).at("identity").as_string());
        for (int attempt = 0; attempt < 2; ++attempt) {
            http::Request request = http::makeRequest(verb::post, "/reservations", "sling " + identity);
            request.set("Flamingousher-Identity", identity);
            const auto response = http::fetch(io_, endpoint(*other, FLAGS_callers_port), request, RequestTimeout);
            if (!response)
                ++counts_[response.error().step == base::Step::Connect ? "not_connected" : "cut"];
            else if (response->result() == http::Status::created)
                ++counts_[attempt == 0 ? "reserved" : "reserved_again_same_answer"];
            else
                ++counts_["reserve_" + errorOf(response->body())];
        }
    }

    static std::string errorOf(const std::string& body)
    {
        boost::system::error_code error;
        const boost::json::value document = boost::json::parse(body, error);
        if (error || !document.is_object() || !document.get_object().contains("error"))
            return "unreadable";
        return std::string(document.at("error").as_string()) + ":" + std::string(document.at("run_state").as_string());
    }

    void print()
    {
        std::ranges::sort(latenciesMs_);
        boost::json::object document { { "p50_ms", quantile(latenciesMs_, 0.5) },
            { "p99_ms", quantile(latenciesMs_, 0.99) } };
        for (const char* name : { "complete", "partial", "cut", "not_connected", "reserved" })
            document[name] = 0;
        for (const auto& [name, count] : counts_)
            document[name] = count;
        std::puts(boost::json::serialize(document).c_str());
    }

    boost::asio::io_context& io_;
    std::vector<Daemon> daemons_;
    std::map<std::string, std::uint64_t> counts_;
    std::vector<double> latenciesMs_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Sends searches and reservations to daemons and counts their outcomes.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto* thread = new runtime::FiberThread("load"); // leaked: its fibers are not unwound
    thread->call([&] {
        Load load(thread->io());
        load.run();
    });
    std::fflush(stdout);
    std::_Exit(0);
}
