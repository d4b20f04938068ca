#include "review/searcher.h"

#include "platform/names.h"
#include "runtime/sleep.h"

#include <cmath>

namespace flamingousher::review {

namespace field = platform::field;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds SlotPollInterval { 1 };

    http::ServerLimits serverLimits()
    {
        http::ServerLimits limits;
        limits.idleTimeout = std::chrono::seconds(300);
        return limits;
    }

} // namespace

Searcher::Searcher(boost::asio::io_context& io, Record& record, SearcherSpec spec)
    : io_(io)
    , record_(record)
    , spec_(std::move(spec))
    , random_(static_cast<std::mt19937::result_type>(std::hash<std::string> {}(spec_.id)))
    , server_(io, serverLimits(), [this](const http::Request& request, http::Exchange&) { return answer(request); })
{
}

http::Response Searcher::answer(const http::Request& request)
{
    const std::string requestId = http::readField(request, field::RequestId);
    const std::string expected = http::readField(request, field::ExpectedUpstream);
    if (!expected.empty() && expected != spec_.id)
        return refuse(request, http::Status::misdirected_request, requestId);
    if (requestId.empty())
        return refuse(request, http::Status::bad_request, requestId);
    if (queued_ >= spec_.queue)
        return refuse(request, http::Status::service_unavailable, requestId);
    return run(request, requestId);
}

http::Response Searcher::refuse(const http::Request& request, http::Status status, const std::string& requestId) const
{
    http::Response response = http::makeResponse(request, status, "text/plain", "");
    http::setField(response, field::NotRun, "1");
    if (!requestId.empty())
        http::setField(response, field::RequestId, requestId);
    return response;
}

http::Response Searcher::run(const http::Request& request, const std::string& requestId)
{
    const std::string target(request.target().data(), request.target().size());
    ++queued_;
    while (running_ >= spec_.slots)
        runtime::sleepFor(io_, SlotPollInterval);
    --queued_;
    ++running_;
    Run run { requestId, spec_.service + "." + spec_.id + "." + std::to_string(++lastStamp_) + "." + requestId,
        makeBody() };
    runs_.emplace(requestId, run);
    record_.write("run " + requestId + " at " + spec_.id + " of " + spec_.service);
    runtime::sleepFor(io_, drawWork(target));
    --running_;
    http::Response response = http::makeResponse(request, http::Status::ok, "application/octet-stream", run.body);
    http::setField(response, field::RequestId, requestId);
    http::setField(response, field::Stamp, run.stamp);
    if (fault_)
        fault_(run, response);
    return response;
}

std::chrono::microseconds Searcher::drawWork(const std::string& target)
{
    WorkTime work;
    for (const auto& [prefix, time] : work_) {
        if (target.starts_with(prefix))
            work = time;
    }
    std::lognormal_distribution<double> factor(-work.spread * work.spread / 2, work.spread);
    const double ms = std::min(work.maxMs, work.meanMs * factor(random_));
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

std::string Searcher::makeBody()
{
    std::string body(spec_.bodyBytes, '\0');
    for (char& byte : body)
        byte = static_cast<char>(random_());
    return body;
}

} // namespace flamingousher::review
