#include "soak/callers.h"

#include "http/client.h"
#include "platform/names.h"
#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "runtime/usefiber.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace flamingousher::soak {

namespace beast = boost::beast;
using runtime::useFiber;

namespace {

    constexpr std::chrono::milliseconds ConnectTimeout { 1'000 };
    constexpr std::chrono::milliseconds FanoutTimeout { 800 };
    constexpr std::chrono::milliseconds SingleTimeout { 1'500 };
    constexpr std::chrono::milliseconds ExtraWait { 1'000 }; // after the timeout of the request
    constexpr std::uint32_t MaxRequestsPerConnection = 40;
    constexpr std::uint32_t MaxPauseMs = 30;
    constexpr std::uint32_t FanoutPerTen = 7;

    // Parses the stamps of stand-ins, which have the form "SERVICE.REQUEST".
    std::vector<ResponseStamp> parseStamps(const std::string& header)
    {
        std::vector<std::string> texts;
        boost::algorithm::split(texts, header, boost::algorithm::is_any_of(","));
        std::vector<ResponseStamp> stamps;
        for (std::string& text : texts) {
            boost::algorithm::trim(text);
            const std::size_t dot = text.find('.');
            if (dot != std::string::npos)
                stamps.push_back({ text.substr(0, dot), text.substr(dot + 1) });
        }
        return stamps;
    }

    ReceivedAnswer parseAnswer(const http::Response& response, bool isFanout)
    {
        const std::string missing = http::readField(response, platform::field::MissingParts);
        return { response.result_int(),
            parseStamps(http::readField(response, isFanout ? platform::field::PartStamps : platform::field::Stamp)),
            missing.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(missing)), response.body() };
    }

} // namespace

Callers::Callers(boost::asio::io_context& io, Deployment& deployment, Promises& promises,
    std::function<TimePoint()> now, std::uint64_t seed)
    : io_(io)
    , deployment_(deployment)
    , promises_(promises)
    , now_(std::move(now))
    , draw_(seed)
{
}

void Callers::start(std::size_t count)
{
    for (std::size_t caller = 0; caller < count; ++caller)
        runtime::spawnFiber([this] { run(); });
}

void Callers::run()
{
    while (!isStopping_) {
        useConnection(draw_.below(static_cast<std::uint32_t>(deployment_.vmCount())));
        runtime::sleepFor(io_, draw_.time(1, MaxPauseMs));
    }
}

void Callers::useConnection(std::size_t vm)
{
    const std::uint32_t start = deployment_.vm(vm).startCount();
    auto socket = runtime::connectWithin(io_, deployment_.callersEndpoint(vm), ConnectTimeout);
    if (!socket)
        return;
    beast::tcp_stream stream(*std::move(socket));
    const std::uint32_t requests = 1 + draw_.below(MaxRequestsPerConnection);
    for (std::uint32_t request = 0; request < requests && !isStopping_; ++request) {
        if (!exchange(stream, vm, start))
            return;
        runtime::sleepFor(io_, draw_.time(1, MaxPauseMs));
    }
}

// Sends one request and reads its response. Returns false if the connection cannot be reused.
bool Callers::exchange(beast::tcp_stream& stream, std::size_t vm, std::uint32_t start)
{
    const bool isFanout = draw_.below(10) < FanoutPerTen;
    const std::chrono::milliseconds timeout = isFanout ? FanoutTimeout : SingleTimeout;
    const std::string id = "r" + std::to_string(++sent_);
    http::Request request = http::makeRequest(
        beast::http::verb::get, (isFanout ? "/all/" : "/one/") + std::to_string(draw_.below(1'000)));
    request.set(beast::http::field::host, "soak");
    http::setField(request, platform::field::RequestId, id);
    http::setField(request, platform::field::DeadlineMs, std::to_string(timeout.count()));
    request.keep_alive(true);
    promises_.onSent({ id, vm, start, isFanout, timeout, now_() });
    boost::system::error_code error;
    stream.expires_after(timeout + ExtraWait);
    beast::http::async_write(stream, request, useFiber[error]);
    beast::flat_buffer buffer;
    http::Response response;
    if (!error)
        beast::http::async_read(stream, buffer, response, useFiber[error]);
    if (error == beast::error::timeout)
        promises_.onTimeout(id, now_());
    else if (error)
        promises_.onConnectionLost(id, now_());
    else
        promises_.onAnswered(id, parseAnswer(response, isFanout), now_());
    return !error && response.keep_alive();
}

} // namespace flamingousher::soak
