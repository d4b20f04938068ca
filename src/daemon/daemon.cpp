#include "daemon/daemon.h"

#include "http/client.h"
#include "runtime/usefiber.h"
#include "tables/tableparser.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <random>

namespace flamingousher::daemon {

namespace {

    constexpr std::chrono::milliseconds DrainCheckInterval { 10 };

    // Time for the balancer to see that the process is not ready, before it stops to accept.
    constexpr std::chrono::milliseconds ReadinessNotice { 500 };

    std::string makeIncarnation()
    {
        std::random_device random;
        const std::uint64_t high = random();
        return fmt::format("{:08x}{:08x}", high, random());
    }

    void sleepFor(boost::asio::io_context& io, std::chrono::milliseconds duration)
    {
        boost::asio::steady_timer timer(io, duration);
        boost::system::error_code ignored;
        timer.async_wait(runtime::useFiber[ignored]);
    }

} // namespace

Daemon::Daemon(settings::DaemonSettings settings)
    : settings_(std::move(settings))
    , incarnation_(makeIncarnation())
    , control_("control")
{
    for (std::uint32_t index = 0; index < settings_.trafficThreads; ++index) {
        const std::string name = incarnation_ + (index == 0 ? "" : "t" + std::to_string(index));
        traffic_.push_back(std::make_unique<traffic::TrafficThread>(settings_, name, index));
    }
}

tl::expected<void, std::string> Daemon::start()
{
    const boost::system::error_code operatorsError = control_.call([this] {
        operators_ = std::make_unique<http::Server>(
            control_.io(), http::ServerLimits {}, control::makeOperatorHandler(makeOperatorHooks()));
        return operators_->listen(settings_.operators);
    });
    if (operatorsError)
        return tl::unexpected(
            "operators' port " + http::toString(settings_.operators) + ": " + operatorsError.message());
    for (const auto& thread : traffic_) {
        const boost::system::error_code error = thread->listen();
        if (error)
            return tl::unexpected("callers' port " + http::toString(settings_.callers) + ": " + error.message());
    }
    control_.post([this] {
        watcher_ = std::make_unique<control::ConfigurationWatcher>(control_.io(), settings_.configuration,
            [this](const control::PublishedTables& published) { onPublished(published); });
        watcher_->run();
    });
    spdlog::info("{} started, incarnation {}, callers {}, operators {}", settings_.name, incarnation_,
        http::toString(settings_.callers), http::toString(settings_.operators));
    return {};
}

void Daemon::onPublished(const control::PublishedTables& published)
{
    if (tables_ && published.revision <= tables_->revision)
        return;
    const auto parsed = tables::parseTables(published.revision, published.routes, published.pools);
    if (!parsed) {
        refusedRevision_ = published.revision;
        refusedFaults_.clear();
        for (const tables::Fault& fault : parsed.error())
            refusedFaults_.push_back(toString(fault));
        spdlog::warn("configuration {} refused: {} faults, first: {}", published.revision, refusedFaults_.size(),
            refusedFaults_.front());
        return;
    }
    tables_ = std::make_shared<const tables::Tables>(*parsed);
    for (const auto& thread : traffic_)
        thread->applyTables(tables_);
    spdlog::info("configuration {} in force", tables_->revision);
}

control::OperatorHooks Daemon::makeOperatorHooks()
{
    return {
        [this] { return stateJson(); },
        [this] { return configurationJson(); },
        [] { return std::string("[]"); },
        [this] {
            metrics_.gauge("flamingousher_configuration_revision", "Revision of the configuration in force.")
                .set(tables_ ? static_cast<double>(tables_->revision) : 0);
            metrics_.gauge("flamingousher_configuration_refused_revision", "Newest revision refused, 0 if none.")
                .set(static_cast<double>(refusedRevision_));
            metrics::Snapshot snapshot = metrics_.snapshot();
            for (const auto& thread : traffic_)
                snapshot.merge(thread->metrics());
            return snapshot;
        },
        [this] { return isReady(); },
        [this](const std::string& id) {
            std::optional<accounts::RequestRecord> found;
            for (const auto& thread : traffic_) {
                if (!found)
                    found = thread->findRecord(id);
            }
            return found;
        },
    };
}

bool Daemon::isReady()
{
    return !isStopping_ && std::ranges::all_of(traffic_, [](const auto& thread) { return thread->isReady(); });
}

std::string Daemon::configurationJson() const
{
    boost::json::array faults;
    for (const std::string& fault : refusedFaults_)
        faults.emplace_back(fault);
    return boost::json::serialize(boost::json::object {
        { "revision", tables_ ? tables_->revision : 0 },
        { "refused_revision", refusedRevision_ },
        { "refused_faults", std::move(faults) },
        { "service_reachable", watcher_ && watcher_->isServiceReachable() },
    });
}

std::string Daemon::stateJson()
{
    boost::json::array threads;
    for (const auto& thread : traffic_)
        threads.push_back(boost::json::parse(thread->describeState()));
    return boost::json::serialize(boost::json::object {
        { "node", settings_.name },
        { "zone", settings_.zone },
        { "incarnation", incarnation_ },
        { "ready", isReady() },
        { "stopping", isStopping_ },
        { "configuration", boost::json::parse(configurationJson()) },
        { "traffic", std::move(threads) },
    });
}

bool Daemon::runUntilStopped()
{
    control_.call([this] {
        boost::asio::signal_set signals(control_.io(), SIGTERM, SIGINT);
        boost::system::error_code ignored;
        signals.async_wait(runtime::useFiber[ignored]);
    });
    return shutDown();
}

bool Daemon::shutDown()
{
    return control_.call([this] {
        isStopping_ = true;
        spdlog::info("{} is leaving: finishing what is in flight", settings_.name);
        sleepFor(control_.io(), ReadinessNotice);
        for (const auto& thread : traffic_)
            thread->beginShutdown();
        const auto isIdle = [](const auto& thread) { return thread->isIdle(); };
        const base::TimePoint end
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.shutdownTimeoutMs);
        while (!std::ranges::all_of(traffic_, isIdle)) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            sleepFor(control_.io(), DrainCheckInterval);
        }
        return true;
    });
}

} // namespace flamingousher::daemon
