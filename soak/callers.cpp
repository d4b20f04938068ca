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
    constexpr std::chrono::milliseconds GatherAllowed { 800 };
    constexpr std::chrono::milliseconds SingleAllowed { 1'500 };
    constexpr std::chrono::milliseconds Patience { 1'000 }; // beyond the time allowed
    constexpr std::uint32_t MostRequestsOfAConnection = 40;
    constexpr std::uint32_t MostPauseMs = 30;
    constexpr std::uint32_t GatheredOfTen = 7;

    // A proof of a stand-in is "SERVICE.REQUEST".
    std::vector<Part> readParts(const std::string& proofs)
    {
        std::vector<std::string> texts;
        boost::algorithm::split(texts, proofs, boost::algorithm::is_any_of(","));
        std::vector<Part> parts;
        for (std::string& text : texts) {
            boost::algorithm::trim(text);
            const std::size_t dot = text.find('.');
            if (dot != std::string::npos)
                parts.push_back({ text.substr(0, dot), text.substr(dot + 1) });
        }
        return parts;
    }

    ReadAnswer readAnswer(const http::Response& response, bool asksShards)
    {
        const std::string missing = http::readField(response, platform::field::MissingParts);
        return { response.result_int(),
            readParts(http::readField(response, asksShards ? platform::field::PartStamps : platform::field::Stamp)),
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
        runtime::sleepFor(io_, draw_.time(1, MostPauseMs));
    }
}

void Callers::useConnection(std::size_t vm)
{
    const std::uint32_t start = deployment_.vm(vm).starts();
    auto socket = runtime::connectWithin(io_, deployment_.callersEndpoint(vm), ConnectTimeout);
    if (!socket)
        return;
    beast::tcp_stream stream(*std::move(socket));
    const std::uint32_t requests = 1 + draw_.below(MostRequestsOfAConnection);
    for (std::uint32_t request = 0; request < requests && !isStopping_; ++request) {
        if (!exchange(stream, vm, start))
            return;
        runtime::sleepFor(io_, draw_.time(1, MostPauseMs));
    }
}

// One request and its response. False when the connection is of no more use.
bool Callers::exchange(beast::tcp_stream& stream, std::size_t vm, std::uint32_t start)
{
    const bool asksShards = draw_.below(10) < GatheredOfTen;
    const std::chrono::milliseconds allowed = asksShards ? GatherAllowed : SingleAllowed;
    const std::string id = "r" + std::to_string(++sent_);
    http::Request request = http::makeRequest(
        beast::http::verb::get, (asksShards ? "/all/" : "/one/") + std::to_string(draw_.below(1'000)));
    request.set(beast::http::field::host, "soak");
    http::setField(request, platform::field::RequestId, id);
    http::setField(request, platform::field::DeadlineMs, std::to_string(allowed.count()));
    request.keep_alive(true);
    promises_.onSent({ id, vm, start, asksShards, allowed, now_() });
    boost::system::error_code error;
    stream.expires_after(allowed + Patience);
    beast::http::async_write(stream, request, useFiber[error]);
    beast::flat_buffer buffer;
    http::Response response;
    if (!error)
        beast::http::async_read(stream, buffer, response, useFiber[error]);
    if (error == beast::error::timeout)
        promises_.onUnanswered(id, now_());
    else if (error)
        promises_.onCut(id, now_());
    else
        promises_.onAnswered(id, readAnswer(response, asksShards), now_());
    return !error && response.keep_alive();
}

} // namespace flamingousher::soak
