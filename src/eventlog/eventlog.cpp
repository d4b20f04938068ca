#include "eventlog/eventlog.h"

#include <boost/json/serialize.hpp>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <cmath>

namespace flamingousher::eventlog {

namespace {

    constexpr std::size_t MaxQueuedLines = 512;

} // namespace

EventLog::EventLog(const EventLogSettings& settings, Hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
    , tokens_(settings.burst)
    , refilledAt_(hooks_.now())
{
}

void EventLog::refill()
{
    const base::TimePoint now = hooks_.now();
    tokens_ = std::min(
        settings_.burst, tokens_ + std::chrono::duration<double>(now - refilledAt_).count() * settings_.linesPerSecond);
    refilledAt_ = now;
}

bool EventLog::hasTokens()
{
    refill();
    return tokens_ >= 1;
}

void EventLog::writeDecision(std::string_view event, const boost::json::object& fields)
{
    if (!hasTokens()) {
        ++dropped_;
        return;
    }
    tokens_ -= 1;
    if (dropped_ > reportedDropped_) {
        write("lines_dropped", { { "count", dropped_ - reportedDropped_ } });
        reportedDropped_ = dropped_;
    }
    write(event, fields);
}

void EventLog::writeChange(std::string_view event, const boost::json::object& fields)
{
    write(event, fields);
}

void EventLog::write(std::string_view event, const boost::json::object& fields)
{
    ++written_;
    boost::json::object line { { "event", event }, { "steady_ms", milliseconds(hooks_.now().time_since_epoch()) } };
    for (const auto& [key, value] : fields)
        line.emplace(key, value);
    hooks_.write(boost::json::serialize(line).substr(1));
}

std::function<void(const std::string&)> makeStandardOutputWriter()
{
    spdlog::init_thread_pool(MaxQueuedLines, 1);
    auto logger = std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v)");
    return [logger](const std::string& members) { logger->info(members); };
}

double milliseconds(base::Duration duration)
{
    return std::round(base::toMilliseconds(duration) * 1'000) / 1'000;
}

} // namespace flamingousher::eventlog
