#include "second/caller.h"

#include "http/client.h"
#include "platform/names.h"
#include "runtime/sleep.h"
#include "runtime/usefiber.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <optional>

#include <sys/socket.h>

namespace flamingousher::review {

namespace beast = boost::beast;
namespace field = platform::field;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::seconds ConnectTimeout { 1 };
    constexpr std::chrono::milliseconds ReconnectDelay { 50 };

    // Beyond the time limit, for an answer that is on its way.
    constexpr std::chrono::milliseconds Patience { 500 };

    // Returns whether the VM has closed the connection while it was idle.
    bool isEnded(beast::tcp_stream& stream)
    {
        char byte = 0;
        const auto received = ::recv(stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    http::Request makeRequest(const CallerSpec& spec, const std::string& id)
    {
        http::Request request { beast::http::string_to_verb(spec.method), spec.path + id, 11 };
        request.set(beast::http::field::host, spec.host);
        http::setField(request, field::RequestId, id);
        http::setField(request, field::DeadlineMs, std::to_string(spec.timeLimit.count()));
        request.body() = std::string(spec.bodyBytes, 'q');
        request.prepare_payload();
        return request;
    }

} // namespace

Caller::Caller(
    boost::asio::io_context& io, const CallerSpec& spec, Record& record, std::map<std::string, Outcome>& outcomes)
    : io_(io)
    , spec_(spec)
    , record_(record)
    , outcomes_(outcomes)
{
}

std::chrono::milliseconds Caller::patience()
{
    if (spec_.leavesWithin.count() == 0)
        return spec_.timeLimit + Patience;
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(1, spec_.leavesWithin.count())(random_));
}

void Caller::run(TimePoint until)
{
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    bool isKept = false;
    while (std::chrono::steady_clock::now() < until) {
        error_code error;
        if (stream && isEnded(*stream))
            stream.reset();
        if (!stream) {
            stream.emplace(io_);
            buffer.clear();
            isKept = false;
            stream->expires_after(ConnectTimeout);
            stream->async_connect(spec_.vm, useFiber[error]);
            if (error) {
                stream.reset();
                runtime::sleepFor(io_, ReconnectDelay);
                continue;
            }
        }
        const std::string id = spec_.name + "-" + std::to_string(++sent_);
        Outcome outcome;
        outcome.isKept = isKept;
        outcome.sentMs = record_.elapsedMs();
        http::Request request = makeRequest(spec_, id);
        stream->expires_after(patience());
        beast::http::async_write(*stream, request, useFiber[error]);
        http::Response response;
        // An answer may precede the end of a long body.
        error_code readError;
        beast::http::async_read(*stream, buffer, response, useFiber[readError]);
        outcome.endedMs = record_.elapsedMs();
        if (!readError) {
            outcome.status = response.result_int();
            outcome.stamp = http::readField(response, field::Stamp);
            const auto parts = response.equal_range(field::PartStamps);
            for (auto part = parts.first; part != parts.second; ++part)
                outcome.partStamps += (outcome.partStamps.empty() ? "" : ",") + std::string(part->value());
        } else {
            outcome.isClosed = readError != beast::error::timeout;
        }
        if (spec_.isRecorded)
            record_.write(id + " at " + http::toString(spec_.vm) + (isKept ? " on a kept connection" : "") + " gets "
                + (outcome.status != 0     ? std::to_string(outcome.status)
                        : outcome.isClosed ? "a closed connection"
                                           : "no answer in time")
                + (outcome.stamp.empty() ? "" : " with stamp " + outcome.stamp));
        outcomes_[id] = outcome;
        isKept = true;
        if (readError || error || !response.keep_alive())
            stream.reset();
        if (spec_.pause.count() > 0)
            runtime::sleepFor(io_, spec_.pause);
    }
}

} // namespace flamingousher::review
