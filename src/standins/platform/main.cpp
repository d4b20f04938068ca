#include "http/server.h"
#include "runtime/fiberthread.h"
#include "runtime/usefiber.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <list>
#include <unistd.h>

DEFINE_string(address, "127.0.0.1", "IP address to listen on.");
DEFINE_uint32(port, 7000, "Port to listen on.");

namespace {

using namespace flamingousher;
namespace json = boost::json;

constexpr std::chrono::milliseconds WatchPollInterval { 10 };

struct Revision {
    std::uint64_t number { 0 };
    std::string routes;
    std::string pools;
};

// Stand-in for the platform: the configuration service and the list of live and leaving VMs.
class Platform {
public:
    explicit Platform(boost::asio::io_context& io)
        : io_(io)
    {
    }

    http::Response handle(const http::Request& request, http::Exchange&)
    {
        const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
        ++calls_;
        if (target.path == "/control")
            return control(request);
        if (isDown_)
            return http::makeJsonResponse(request, http::Status::service_unavailable, "{}");
        const bool isPut = request.method() == boost::beast::http::verb::put;
        if (target.path == "/v1/tables")
            return isPut ? publish(request) : watch(request, target);
        if (target.path == "/v1/vms") {
            if (isPut)
                vms_ = request.body();
            return http::makeJsonResponse(request, http::Status::ok, vms_);
        }
        return http::makeJsonResponse(request, http::Status::not_found, "{}");
    }

private:
    // Body: {"routes": text, "pools": text}. Absent members keep their values.
    http::Response publish(const http::Request& request)
    {
        boost::system::error_code error;
        const json::value document = json::parse(request.body(), error);
        if (error || !document.is_object())
            return http::makeJsonResponse(request, http::Status::bad_request, "{}");
        Revision next = history_.empty() ? Revision {} : history_.back();
        ++next.number;
        if (const json::value* routes = document.get_object().if_contains("routes"))
            next.routes = std::string(routes->as_string());
        if (const json::value* pools = document.get_object().if_contains("pools"))
            next.pools = std::string(pools->as_string());
        history_.push_back(std::move(next));
        return http::makeJsonResponse(
            request, http::Status::ok, "{\"revision\":" + std::to_string(history_.back().number) + "}\n");
    }

    // Returns the newest visible revision. Waits up to wait_ms while it equals the revision in after.
    http::Response watch(const http::Request& request, const http::Target& target)
    {
        const std::uint64_t after = std::stoull(target.parameter("after", "0"));
        const auto end = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::stoull(target.parameter("wait_ms", "0")));
        while (visibleRevision().number == after && std::chrono::steady_clock::now() < end && !isDown_) {
            boost::asio::steady_timer timer(io_, WatchPollInterval);
            boost::system::error_code ignored;
            timer.async_wait(runtime::useFiber[ignored]);
        }
        const Revision revision = visibleRevision();
        if (isDown_)
            return http::makeJsonResponse(request, http::Status::service_unavailable, "{}");
        if (revision.number == after || revision.number == 0)
            return http::makeResponse(request, http::Status::not_modified, "application/json", {});
        return http::makeJsonResponse(request, http::Status::ok,
            json::serialize(json::object {
                { "revision", revision.number }, { "routes", revision.routes }, { "pools", revision.pools } }));
    }

    Revision visibleRevision() const
    {
        Revision result;
        for (const Revision& revision : history_) {
            if (maxVisibleRevision_ == 0 || revision.number <= maxVisibleRevision_)
                result = revision;
        }
        return result;
    }

    // Body: {"down": bool, "shown_up_to": revision}. Simulates an outage, or a stale replica without newer revisions.
    // GET returns the number of calls.
    http::Response control(const http::Request& request)
    {
        if (request.method() == boost::beast::http::verb::get)
            return http::makeJsonResponse(request, http::Status::ok, "{\"calls\":" + std::to_string(calls_) + "}\n");
        const json::value document = json::parse(request.body());
        if (const json::value* down = document.as_object().if_contains("down"))
            isDown_ = down->as_bool();
        if (const json::value* shown = document.as_object().if_contains("shown_up_to"))
            maxVisibleRevision_ = shown->to_number<std::uint64_t>();
        return http::makeJsonResponse(request, http::Status::ok, "{}");
    }

    boost::asio::io_context& io_;
    std::list<Revision> history_;
    std::string vms_ { "[]" };
    std::uint64_t maxVisibleRevision_ { 0 };
    std::uint64_t calls_ { 0 };
    bool isDown_ { false };
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for the platform. See docs/PROTOCOLS.md.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    runtime::FiberThread thread("platform");
    std::unique_ptr<Platform> platform;
    std::unique_ptr<http::Server> server;
    const bool isListening = thread.call([&] {
        platform = std::make_unique<Platform>(thread.io());
        http::ServerLimits limits;
        limits.bodyBytes = 8 * 1024 * 1024;
        server = std::make_unique<http::Server>(
            thread.io(), limits, [&](const http::Request& request, http::Exchange& exchange) {
                return platform->handle(request, exchange);
            });
        return !server->listen(
            { boost::asio::ip::make_address(FLAGS_address), static_cast<std::uint16_t>(FLAGS_port) });
    });
    if (!isListening) {
        std::fputs("the port cannot be opened\n", stderr);
        std::_Exit(1);
    }
    std::puts("ready");
    std::fflush(stdout);
    for (;;)
        ::pause();
}
