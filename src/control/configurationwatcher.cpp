#include "control/configurationwatcher.h"

#include "http/client.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>

#include <algorithm>

namespace flamingousher::control {

namespace {

    constexpr std::chrono::milliseconds LongPollTime { 20'000 };
    constexpr std::chrono::milliseconds LongPollTimeout { 25'000 };
    constexpr base::Duration RetryDelay = std::chrono::milliseconds(500);
    constexpr base::Duration PauseCheckInterval = std::chrono::milliseconds(100);

    std::optional<PublishedTables> decodeTables(const std::string& body)
    {
        boost::system::error_code error;
        const boost::json::value document = boost::json::parse(body, error);
        if (error || !document.is_object())
            return std::nullopt;
        const boost::json::object& object = document.get_object();
        const auto* revision = object.if_contains("revision");
        const auto* routes = object.if_contains("routes");
        const auto* pools = object.if_contains("pools");
        if (!revision || !revision->is_int64() || revision->get_int64() <= 0 || !routes || !routes->is_string()
            || !pools || !pools->is_string())
            return std::nullopt;
        return PublishedTables { static_cast<tables::Revision>(revision->get_int64()),
            std::string(routes->get_string()), std::string(pools->get_string()) };
    }

} // namespace

ConfigurationWatcher::ConfigurationWatcher(
    boost::asio::io_context& io, const http::Endpoint& endpoint, Listener listener)
    : io_(io)
    , endpoint_(endpoint)
    , listener_(std::move(listener))
{
}

void ConfigurationWatcher::setKnownRevision(tables::Revision revision)
{
    knownRevision_ = std::max(knownRevision_, revision);
}

void ConfigurationWatcher::run()
{
    while (!isStopping_) {
        if (isPaused_) {
            runtime::sleepFor(io_, PauseCheckInterval);
            continue;
        }
        isReachable_ = poll();
        if (!isReachable_)
            runtime::sleepFor(io_, RetryDelay);
    }
}

bool ConfigurationWatcher::poll()
{
    ++counters_.calls;
    const std::chrono::milliseconds wait = hasAnswered_ ? LongPollTime : std::chrono::milliseconds(0);
    const std::string target
        = "/v1/tables?after=" + std::to_string(knownRevision_) + "&wait_ms=" + std::to_string(wait.count());
    const auto response
        = http::fetch(io_, endpoint_, http::makeRequest(boost::beast::http::verb::get, target), LongPollTimeout);
    if (!response || (response->result() != http::Status::ok && response->result() != http::Status::not_modified)) {
        ++counters_.failures;
        return false;
    }
    if (response->result() == http::Status::not_modified) {
        hasAnswered_ = true;
        return true;
    }
    std::optional<PublishedTables> published = decodeTables(response->body());
    if (!published) {
        ++counters_.failures;
        return false;
    }
    hasAnswered_ = true;
    if (published->revision <= knownRevision_) {
        // A stale replica of the service does not hold the long poll, so delay the next call.
        ++counters_.staleReads;
        runtime::sleepFor(io_, RetryDelay);
        return true;
    }
    knownRevision_ = published->revision;
    listener_(*std::move(published));
    return true;
}

} // namespace flamingousher::control
