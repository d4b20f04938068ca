#include "review/caller.h"

#include "http/client.h"
#include "platform/names.h"
#include "runtime/usefiber.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace flamingousher::review {

namespace beast = boost::beast;
namespace field = platform::field;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::seconds ConnectTimeout { 1 };

    // The web views of phones name themselves at length.
    const std::array<const char*, 5> UserAgents {
        "Mozilla/5.0 (Linux; Android 14; Pixel 8 Build/AP1A.240405.002; wv) AppleWebKit/537.36 (KHTML, like Gecko) "
        "Version/4.0 Chrome/124.0.6367.82 Mobile Safari/537.36",
        "Mozilla/5.0 (Linux; Android 13; SM-A536B Build/TP1A.220624.014; wv) AppleWebKit/537.36 (KHTML, like Gecko) "
        "Version/4.0 Chrome/123.0.6312.99 Mobile Safari/537.36",
        "Mozilla/5.0 (Linux; Android 14; SM-A145R Build/UP1A.231005.007; wv) AppleWebKit/537.36 (KHTML, like Gecko) "
        "Version/4.0 Chrome/124.0.6367.54 Mobile Safari/537.36",
        "Mozilla/5.0 (Linux; Android 12; moto g52 Build/S1SRS32.38; wv) AppleWebKit/537.36 (KHTML, like Gecko) "
        "Version/4.0 Chrome/122.0.6261.64 Mobile Safari/537.36",
        "Mozilla/5.0 (iPhone; CPU iPhone OS 17_4_1 like Mac OS X) AppleWebKit/605.1.15 (KHTML, like Gecko) "
        "Version/17.4.1 Mobile/15E148 Safari/604.1",
    };

} // namespace

Caller::Caller(World& world, std::size_t vm)
    : world_(world)
    , vm_(vm)
{
}

bool Caller::connect()
{
    stream_.emplace(world_.io());
    buffer_.clear();
    error_code error;
    stream_->expires_after(ConnectTimeout);
    stream_->async_connect(world_.callersEndpoint(vm_), useFiber[error]);
    if (error)
        stream_.reset();
    return !error;
}

http::Request Caller::makeRequest(const Call& call) const
{
    const auto method = call.body.empty() ? beast::http::verb::get : beast::http::verb::post;
    http::Request request = http::makeRequest(method, call.path, call.body);
    request.set(beast::http::field::host, call.host);
    http::setField(request, field::RequestId, call.id);
    http::setField(request, field::DeadlineMs, std::to_string(call.timeLimit.count()));
    request.set(beast::http::field::user_agent, UserAgents.at(std::hash<std::string> {}(call.id) % UserAgents.size()));
    request.keep_alive(true);
    return request;
}

Outcome Caller::send(const Call& call)
{
    Outcome outcome { call, vm_, std::chrono::steady_clock::now() };
    const std::string name = call.id + " on " + call.route + " at vm-" + std::to_string(vm_ + 1);
    error_code error;
    if (!stream_ && !connect()) {
        world_.record().write("unconnected " + name);
        outcome.endedAt = std::chrono::steady_clock::now();
        return outcome;
    }
    world_.record().write("send " + name);
    const http::Request request = makeRequest(call);
    stream_->expires_after(call.timeLimit);
    beast::http::async_write(*stream_, request, useFiber[error]);
    outcome.isSent = !error;
    outcome.sentAt = std::chrono::steady_clock::now();
    if (!error)
        beast::http::async_read(*stream_, buffer_, outcome.answer, useFiber[error]);
    outcome.endedAt = std::chrono::steady_clock::now();
    outcome.hasAnswer = !error;
    outcome.isTimedOut = error == beast::error::timeout;
    world_.record().write((outcome.hasAnswer ? "answer " + std::to_string(outcome.answer.result_int()) + " to "
                                  : outcome.isTimedOut ? std::string("no answer in time to ")
                                                       : "closed (" + error.message() + ") without an answer to ")
        + name);
    if (error || !outcome.answer.keep_alive())
        stream_.reset();
    return outcome;
}

} // namespace flamingousher::review
