#include "standins/searcher/searcher.h"

#include "runtime/usefiber.h"
#include "transport/upstreamprotocol.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <cstdlib>

namespace flamingousher::standins {

namespace json = boost::json;
namespace field = transport::field;

namespace {

    constexpr std::chrono::milliseconds CancelPollInterval { 2 };
    constexpr std::chrono::hours SilentDuration { 1 };
    constexpr int CrashExitCode = 9;

    std::string getHeader(const http::Request& request, std::string_view name)
    {
        const auto found = request.find(std::string(name));
        return found == request.end() ? std::string() : std::string(found->value());
    }

    std::uint64_t parseNumber(const std::string& text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    template <typename Value> void readMember(const json::object& object, const char* name, Value& value)
    {
        if (const json::value* member = object.if_contains(name))
            value = json::value_to<Value>(*member);
    }

    void readVersions(const json::object& object, std::set<query::IndexVersion>& versions)
    {
        const json::value* member = object.if_contains("versions");
        if (!member)
            return;
        versions.clear();
        for (const json::value& version : member->as_array())
            versions.insert(version.to_number<query::IndexVersion>());
    }

} // namespace

Searcher::Searcher(boost::asio::io_context& io, std::shared_ptr<const ShardIndex> index, std::uint32_t shard,
    std::uint32_t shards, std::uint32_t slots, const http::ServerLimits& limits, const Behaviour& behaviour)
    : io_(io)
    , index_(std::move(index))
    , shard_(shard)
    , shards_(shards)
    , slots_(slots)
    , behaviour_(behaviour)
    , random_(shard)
    , server_(io, limits,
          [this](const http::Request& request, http::Exchange& exchange) { return handle(request, exchange); })
{
}

http::Response Searcher::handle(const http::Request& request, http::Exchange& exchange)
{
    const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
    if (target.path == "/control")
        return control(request);
    if (behaviour_.isSilent) {
        const bool isNeverCancelled = false;
        waitFor(SilentDuration, isNeverCancelled);
    }
    if (target.path == transport::SearchPath)
        return search(request, exchange, target);
    if (target.path == transport::StatusPath)
        return status(request);
    if (target.path.starts_with(transport::RequestsPath))
        return cancel(request, target.path.substr(transport::RequestsPath.size()));
    return post(request);
}

http::Response Searcher::search(const http::Request& request, http::Exchange& exchange, const http::Target& target)
{
    const std::string text = target.parameter("q");
    if (!behaviour_.crashOn.empty() && text.find(behaviour_.crashOn) != std::string::npos)
        std::_Exit(CrashExitCode);
    if (behaviour_.isDraining)
        return refuse(request, "draining");
    if (behaviour_.isShedding)
        return refuse(request, "shed");
    const std::uint64_t version = parseNumber(getHeader(request, field::Version));
    if (!behaviour_.versions.contains(version))
        return refuse(request, "version-not-served");
    if (running_ >= slots_) {
        ++overSlots_;
        return refuse(request, "shed");
    }
    ++running_;
    ++searches_;
    maxRunning_ = std::max(maxRunning_, running_);
    bool isCancelled = false;
    const std::string name = getHeader(request, field::Request);
    cancelFlags_[name] = &isCancelled;
    exchange.onPeerGone = [&] { isCancelled = true; };
    std::chrono::milliseconds work { behaviour_.serviceMs };
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (draw < behaviour_.straggleFraction)
        work += std::chrono::milliseconds(behaviour_.straggleMs);
    const std::chrono::milliseconds timeout { parseNumber(getHeader(request, field::DeadlineMs)) };
    waitFor(std::min(work, timeout), isCancelled);
    exchange.onPeerGone = nullptr;
    cancelFlags_.erase(name);
    --running_;
    if (isCancelled)
        return refuse(request, "cancelled", false);
    if (work > timeout)
        return refuse(request, "deadline", false);
    const std::uint32_t shards = behaviour_.shards ? behaviour_.shards : shards_;
    query::SubAnswer answer { { version, shard_, shards },
        index_->search(text, parseNumber(target.parameter("k", "10"))) };
    return http::makeJsonResponse(request, http::Status::ok, transport::encodeSearchAnswer(answer));
}

http::Response Searcher::post(const http::Request& request)
{
    if (behaviour_.isDraining)
        return refuse(request, "draining");
    if (behaviour_.isShedding || running_ >= slots_)
        return refuse(request, "shed");
    ++running_;
    const std::string identity = getHeader(request, field::Identity);
    const std::uint32_t runs = ++runs_[identity.empty() ? request.body() : identity];
    const bool isNeverCancelled = false;
    waitFor(std::chrono::milliseconds(behaviour_.serviceMs + behaviour_.straggleMs), isNeverCancelled);
    --running_;
    return http::makeJsonResponse(request, http::Status::created, "{\"runs\":" + std::to_string(runs) + "}\n");
}

http::Response Searcher::status(const http::Request& request) const
{
    transport::UpstreamStatus status { behaviour_.isDraining, behaviour_.reportedLoad, {} };
    for (query::IndexVersion version : behaviour_.versions)
        status.served.push_back({ version, shard_, behaviour_.shards ? behaviour_.shards : shards_ });
    return http::makeJsonResponse(request, http::Status::ok, transport::encodeStatus(status));
}

http::Response Searcher::cancel(const http::Request& request, const std::string& name)
{
    const auto found = cancelFlags_.find(name);
    if (found == cancelFlags_.end())
        return http::makeJsonResponse(request, http::Status::not_found, "{}");
    if (request.method() == boost::beast::http::verb::delete_ && !behaviour_.ignoresCancel)
        *found->second = true;
    return http::makeJsonResponse(request, http::Status::ok, "{\"state\":\"running\"}");
}

http::Response Searcher::control(const http::Request& request)
{
    if (request.method() == boost::beast::http::verb::get) {
        std::uint32_t maxRuns = 0;
        for (const auto& [identity, runs] : runs_)
            maxRuns = std::max(maxRuns, runs);
        return http::makeJsonResponse(request, http::Status::ok,
            json::serialize(json::object { { "searches", searches_ }, { "most_running", maxRunning_ },
                { "over_slots", overSlots_ }, { "requests_run", runs_.size() }, { "most_runs", maxRuns },
                { "open_connections", server_.counters().open },
                { "refused_connections", server_.counters().refusedConnections } }));
    }
    boost::system::error_code error;
    const json::value document = json::parse(request.body(), error);
    if (error || !document.is_object())
        return http::makeJsonResponse(request, http::Status::bad_request, "{}");
    const json::object& object = document.get_object();
    try {
        readMember(object, "service_ms", behaviour_.serviceMs);
        readMember(object, "straggle_ms", behaviour_.straggleMs);
        readMember(object, "straggle_fraction", behaviour_.straggleFraction);
        readMember(object, "draining", behaviour_.isDraining);
        readMember(object, "shedding", behaviour_.isShedding);
        readMember(object, "silent", behaviour_.isSilent);
        readMember(object, "ignores_cancel", behaviour_.ignoresCancel);
        readMember(object, "load", behaviour_.reportedLoad);
        readMember(object, "crash_on", behaviour_.crashOn);
        readMember(object, "shards", behaviour_.shards);
        readVersions(object, behaviour_.versions);
    } catch (const std::exception&) {
        return http::makeJsonResponse(request, http::Status::bad_request, "{}");
    }
    return http::makeJsonResponse(request, http::Status::ok, "{}");
}

http::Response Searcher::refuse(const http::Request& request, const std::string& reason, bool isNotRun) const
{
    http::Response response = http::makeJsonResponse(request, http::Status::service_unavailable, "{}");
    response.set(std::string(field::Reason), reason);
    if (isNotRun)
        response.set(std::string(field::RunState), "not-run");
    return response;
}

void Searcher::waitFor(std::chrono::milliseconds duration, const bool& isCancelled)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (!isCancelled && std::chrono::steady_clock::now() < end) {
        const auto remaining = end - std::chrono::steady_clock::now();
        boost::asio::steady_timer timer(io_, std::min<std::chrono::nanoseconds>(remaining, CancelPollInterval));
        boost::system::error_code ignored;
        timer.async_wait(runtime::useFiber[ignored]);
    }
}

} // namespace flamingousher::standins
